#include <gateway/TargetChoice.h>

#include <algorithm>
#include <utility>

#include <gateway/PresentSpeed.h>

namespace papayaway::gateway {

namespace {

/** Candidates whose cost is at most this many times the lowest cost are treated
 *  as equal. */
constexpr double kTieFactor = 1.1;
/** This fraction of requests is sent to a random preferred candidate, whatever
 *  its cost, so that the speed of new and recovered targets becomes known. */
constexpr double kExplorationFraction = 0.06;
/** With all slots in use, runs take longer by this fraction. */
constexpr double kFullLoadSlowdown = 0.3;
/** Reported success rates below this value are raised to it. */
constexpr double kMinSuccessRate = 0.05;
/** A target without free slots counts as if this fraction of its slots were
 *  free, because its report may be old. */
constexpr double kMinFreeFraction = 0.1;

Millis
DistanceCost(Distance aDistance, const ChoiceCosts& aCosts)
{
  switch (aDistance) {
    case Distance::SameDataCentre:
      return {};
    case Distance::SameRegion:
      return aCosts.mOtherDataCentre;
    case Distance::OtherRegion:
      break;
  }
  return aCosts.mOtherRegion;
}

double
Utilization(const TargetCandidate& aCandidate)
{
  const TargetLoad& load = aCandidate.mLoad;
  return static_cast<double>(load.mRunning + load.mWaiting +
                             aCandidate.mSentSinceReport) /
         std::max(1, load.mSlots);
}

Millis
ExpectedRunTime(const TargetCandidate& aCandidate,
                const RequestRequirements& aRequirements)
{
  const double utilization = std::min(1.0, Utilization(aCandidate));
  return aCandidate.mLoad.mMeanRunTime *
         DiscountedSlowdown(aCandidate.mLoad.mSlowdown, aCandidate.mReportAge) *
         (aRequirements.mRunTimeRatio *
          (1 + kFullLoadSlowdown * utilization * utilization));
}

Millis
FailurePenalty(const TargetCandidate& aCandidate, const ChoiceCosts& aCosts)
{
  const double failureRate =
    1 - std::max(kMinSuccessRate, aCandidate.mLoad.mSuccessRate);
  return aCosts.mFailure * failureRate;
}

/** @return the expected time to a successful response. */
Millis
ExpectedTime(const TargetCandidate& aCandidate,
             const RequestRequirements& aRequirements,
             const ChoiceCosts& aCosts)
{
  return ExpectedWait(aCandidate) + ExpectedRunTime(aCandidate, aRequirements) +
         FailurePenalty(aCandidate, aCosts);
}

/** @return whether the candidate is expected to meet the objective. In the same
 *    data centre the mean run time decides. For other data centres a margin is
 *    added, because their traffic is billed also if the objective is missed. */
bool
MeetsObjective(const TargetCandidate& aCandidate,
               const RequestRequirements& aRequirements,
               const ChoiceCosts& aCosts)
{
  const double margin = aCandidate.mDistance == Distance::SameDataCentre
                          ? 1
                          : aCosts.mRunTimeMargin;
  return ExpectedWait(aCandidate) +
           ExpectedRunTime(aCandidate, aRequirements) * margin +
           FailurePenalty(aCandidate, aCosts) <=
         aRequirements.mObjectiveLeft;
}

/** @return the indexes and costs of the nearest candidates that are expected to
 *    meet the objective, or of all candidates if none is. */
std::vector<std::pair<std::size_t, Millis>>
PreferredCandidates(std::span<const TargetCandidate> aCandidates,
                    const RequestRequirements& aRequirements,
                    const ChoiceCosts& aCosts)
{
  std::vector<std::pair<std::size_t, Millis>> result;
  for (const Distance distance : { Distance::SameDataCentre,
                                   Distance::SameRegion,
                                   Distance::OtherRegion }) {
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      if (aCandidates[i].mDistance == distance &&
          MeetsObjective(aCandidates[i], aRequirements, aCosts)) {
        result.emplace_back(
          i, ExpectedTime(aCandidates[i], aRequirements, aCosts));
      }
    }
    if (!result.empty()) {
      return result;
    }
  }
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    result.emplace_back(i,
                        ExpectedTime(aCandidates[i], aRequirements, aCosts) +
                          DistanceCost(aCandidates[i].mDistance, aCosts));
  }
  return result;
}

/** @return how far the number of requests in a report is believed, from 1 to
 *    0. Of these requests, most have ended after one mean run time. */
double
Trust(const TargetCandidate& aCandidate)
{
  const double runTime = std::max(1.0, aCandidate.mLoad.mMeanRunTime.mCount);
  const double trust =
    runTime / (runTime + std::max(0.0, aCandidate.mReportAge.mCount));
  return trust * trust;
}

/** @return how many of the requests that this node has sent since the report
 *    are expected to be still at the target. */
double
StillRunning(const TargetCandidate& aCandidate)
{
  const double runTime = std::max(1.0, aCandidate.mLoad.mMeanRunTime.mCount);
  return aCandidate.mSentSinceReport *
         std::min(1.0, runTime / std::max(1.0, aCandidate.mReportAge.mCount));
}

/** The nearest candidates that are expected to meet the objective, with the
 *  sums of their weights up to each. */
struct WeightedCandidates
{
  std::vector<std::size_t> mIndexes;
  std::vector<double> mSums;
};

/** @return the candidates at this distance that are expected to meet the
 *    objective, or all of them. */
WeightedCandidates
WeightCandidates(std::span<const TargetCandidate> aCandidates,
                 std::optional<Distance> aDistance,
                 const RequestRequirements& aRequirements,
                 const ChoiceCosts& aCosts)
{
  const auto matches = [&](const TargetCandidate& aCandidate) {
    return !aDistance || aCandidate.mDistance == *aDistance;
  };
  double used = 0;
  double slots = 0;
  for (const TargetCandidate& candidate : aCandidates) {
    if (matches(candidate)) {
      used += candidate.mLoad.mRunning + candidate.mLoad.mWaiting;
      slots += std::max(1, candidate.mLoad.mSlots);
    }
  }
  const double meanUtilization = std::min(1.0, used / std::max(1.0, slots));
  WeightedCandidates result;
  double sum = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const TargetCandidate& candidate = aCandidates[i];
    if (!matches(candidate)) {
      continue;
    }
    const TargetLoad& load = candidate.mLoad;
    const double trust = Trust(candidate);
    const double candidateSlots = std::max(1, load.mSlots);
    const double utilization =
      (load.mRunning + load.mWaiting) / candidateSlots * trust +
      meanUtilization * (1 - trust) + StillRunning(candidate) / candidateSlots;
    const Millis runTime =
      load.mMeanRunTime *
      (DiscountedSlowdown(load.mSlowdown, candidate.mReportAge));
    const Millis wait =
      runTime * std::max(0.0, utilization - 1 + 1 / candidateSlots);
    Millis time =
      wait +
      runTime *
        (aRequirements.mRunTimeRatio *
         (1 + kFullLoadSlowdown * std::min(1.0, utilization * utilization))) +
      FailurePenalty(candidate, aCosts);
    const double margin = candidate.mDistance == Distance::SameDataCentre
                            ? 1
                            : aCosts.mRunTimeMargin;
    if (aDistance && time * margin > aRequirements.mObjectiveLeft) {
      continue;
    }
    if (!aDistance) {
      time += DistanceCost(candidate.mDistance, aCosts);
    }
    const double free = std::max(kMinFreeFraction, 1 - utilization);
    sum += candidateSlots * free / std::max(1.0, time.mCount);
    result.mIndexes.push_back(i);
    result.mSums.push_back(sum);
  }
  return result;
}

/** Chooses one of the nearest candidates that are expected to meet the
 *  objective at random, with weights that grow with their free capacity.
 *  @return an index of aCandidates. */
std::size_t
ChooseSpread(std::span<const TargetCandidate> aCandidates,
             const RequestRequirements& aRequirements,
             const ChoiceCosts& aCosts,
             Random& aRandom)
{
  WeightedCandidates weighted;
  for (const std::optional<Distance> distance :
       { std::optional(Distance::SameDataCentre),
         std::optional(Distance::SameRegion),
         std::optional(Distance::OtherRegion),
         std::optional<Distance>() }) {
    weighted = WeightCandidates(aCandidates, distance, aRequirements, aCosts);
    if (!weighted.mIndexes.empty()) {
      break;
    }
  }
  const auto found =
    std::upper_bound(weighted.mSums.begin(),
                     weighted.mSums.end(),
                     UniformFraction(aRandom) * weighted.mSums.back());
  return weighted
    .mIndexes[std::min(static_cast<std::size_t>(found - weighted.mSums.begin()),
                       weighted.mSums.size() - 1)];
}

} // namespace

Millis
ExpectedWait(const TargetCandidate& aCandidate)
{
  const TargetLoad& load = aCandidate.mLoad;
  const int ahead = load.mRunning + load.mWaiting +
                    aCandidate.mSentSinceReport - load.mSlots + 1;
  return ahead <= 0
           ? Millis{}
           : load.mMeanRunTime *
               DiscountedSlowdown(load.mSlowdown, aCandidate.mReportAge) *
               (static_cast<double>(ahead) / std::max(1, load.mSlots));
}

std::optional<TargetChoice>
ChooseTarget(std::span<const TargetCandidate> aCandidates,
             const RequestRequirements& aRequirements,
             const ChoiceCosts& aCosts,
             Random& aRandom)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  if (aRequirements.mSpread) {
    const std::size_t index =
      ChooseSpread(aCandidates, aRequirements, aCosts, aRandom);
    return TargetChoice{ .mIndex = index,
                         .mExpectedWait = ExpectedWait(aCandidates[index]),
                         .mExpectedRunTime =
                           ExpectedRunTime(aCandidates[index], aRequirements) };
  }
  auto preferred = PreferredCandidates(aCandidates, aRequirements, aCosts);
  const auto cheapest =
    *std::min_element(preferred.begin(),
                      preferred.end(),
                      [](const auto& aLeft, const auto& aRight) {
                        return aLeft.second < aRight.second;
                      });
  if (UniformFraction(aRandom) >= kExplorationFraction) {
    std::erase_if(preferred, [&](const auto& aEntry) {
      return aEntry.second > cheapest.second * kTieFactor;
    });
  }
  const std::size_t index =
    preferred[UniformBelow(aRandom, preferred.size())].first;
  return TargetChoice{ .mIndex = index,
                       .mExpectedWait = ExpectedWait(aCandidates[index]),
                       .mExpectedRunTime =
                         ExpectedRunTime(aCandidates[index], aRequirements) };
}

} // namespace papayaway::gateway
