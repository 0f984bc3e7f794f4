#include <gateway/TargetChoice.h>

#include <algorithm>
#include <utility>

namespace papayaway::gateway {

namespace {

/** Candidates whose cost is this much above the least count as equal. */
constexpr double kEqualFactor = 1.1;
/** This part of requests goes to any target that is good enough, so that new
 *  targets and those that have recovered show how fast they are. */
constexpr double kTrialPart = 0.06;
/** How much a target slows down when its last slots fill up. */
constexpr double kFullSlowdown = 0.3;
/** Below this part of good runs a target is as bad as it can be. */
constexpr double kLeastSuccess = 0.05;

Millis
Crossing(Distance aDistance, const ChoiceCosts& aCosts)
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
                             aCandidate.mSentSince) /
         std::max(1, load.mSlots);
}

Millis
RunTime(const TargetCandidate& aCandidate, const ChoiceNeeds& aNeeds)
{
  const double used = std::min(1.0, Utilization(aCandidate));
  return aCandidate.mLoad.mMeanRun *
         (aNeeds.mRunRatio * (1 + kFullSlowdown * used * used));
}

Millis
Penalty(const TargetCandidate& aCandidate, const ChoiceCosts& aCosts)
{
  const double failed = 1 - std::max(kLeastSuccess, aCandidate.mLoad.mSuccess);
  return aCosts.mFailure * failed;
}

/** @return the expected time to a good answer. */
Millis
TimeTo(const TargetCandidate& aCandidate,
       const ChoiceNeeds& aNeeds,
       const ChoiceCosts& aCosts)
{
  return ExpectedWait(aCandidate) + RunTime(aCandidate, aNeeds) +
         Penalty(aCandidate, aCosts);
}

/** @return whether the candidate is expected to meet the objective: near ones
 *  in the mean, those behind a crossing with a margin, since a crossing that
 *  does not help is paid for nothing. */
bool
InTime(const TargetCandidate& aCandidate,
       const ChoiceNeeds& aNeeds,
       const ChoiceCosts& aCosts)
{
  const double margin =
    aCandidate.mDistance == Distance::SameDataCentre ? 1 : aCosts.mRunMargin;
  return ExpectedWait(aCandidate) + RunTime(aCandidate, aNeeds) * margin +
           Penalty(aCandidate, aCosts) <=
         aNeeds.mObjectiveLeft;
}

/** @return the indexes of the candidates to choose among, with their costs. */
std::vector<std::pair<std::size_t, Millis>>
Preferred(std::span<const TargetCandidate> aCandidates,
          const ChoiceNeeds& aNeeds,
          const ChoiceCosts& aCosts)
{
  std::vector<std::pair<std::size_t, Millis>> result;
  for (const Distance distance : { Distance::SameDataCentre,
                                   Distance::SameRegion,
                                   Distance::OtherRegion }) {
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      if (aCandidates[i].mDistance == distance &&
          InTime(aCandidates[i], aNeeds, aCosts)) {
        result.emplace_back(i, TimeTo(aCandidates[i], aNeeds, aCosts));
      }
    }
    if (!result.empty()) {
      return result;
    }
  }
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    result.emplace_back(i,
                        TimeTo(aCandidates[i], aNeeds, aCosts) +
                          Crossing(aCandidates[i].mDistance, aCosts));
  }
  return result;
}

} // namespace

Millis
ExpectedWait(const TargetCandidate& aCandidate)
{
  const TargetLoad& load = aCandidate.mLoad;
  const int ahead =
    load.mRunning + load.mWaiting + aCandidate.mSentSince - load.mSlots + 1;
  return ahead <= 0 ? Millis{}
                    : load.mMeanRun *
                        (static_cast<double>(ahead) / std::max(1, load.mSlots));
}

std::optional<TargetChoice>
ChooseTarget(std::span<const TargetCandidate> aCandidates,
             const ChoiceNeeds& aNeeds,
             const ChoiceCosts& aCosts,
             Random& aRandom)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  auto preferred = Preferred(aCandidates, aNeeds, aCosts);
  const auto least = *std::min_element(
    preferred.begin(), preferred.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.second < aTwo.second;
    });
  if (UniformFraction(aRandom) >= kTrialPart) {
    std::erase_if(preferred, [&](const auto& aEntry) {
      return aEntry.second > least.second * kEqualFactor;
    });
  }
  const std::size_t index =
    preferred[UniformBelow(aRandom, preferred.size())].first;
  return TargetChoice{ .mIndex = index,
                       .mWait = ExpectedWait(aCandidates[index]),
                       .mRun = RunTime(aCandidates[index], aNeeds) };
}

} // namespace papayaway::gateway
