#include <gateway/TargetChoice.h>

#include <algorithm>
#include <utility>

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

} // namespace

Millis
ExpectedWait(const TargetCandidate& aCandidate)
{
  const TargetLoad& load = aCandidate.mLoad;
  const int ahead = load.mRunning + load.mWaiting +
                    aCandidate.mSentSinceReport - load.mSlots + 1;
  return ahead <= 0 ? Millis{}
                    : load.mMeanRunTime *
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
