#include <gateway/TargetChoice.h>

#include <algorithm>

namespace papayaway::gateway {

namespace {

/** Candidates whose cost is this much above the least count as equal. */
constexpr double kEqualFactor = 1.1;
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
Cost(const TargetCandidate& aCandidate, const ChoiceCosts& aCosts)
{
  const TargetLoad& load = aCandidate.mLoad;
  const double used = std::min(1.0, Utilization(aCandidate));
  const Millis run = load.mMeanRun * (1 + kFullSlowdown * used * used);
  const double failed = 1 - std::max(kLeastSuccess, load.mSuccess);
  return ExpectedWait(aCandidate) + run + aCosts.mFailure * failed +
         Crossing(aCandidate.mDistance, aCosts);
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
             const ChoiceCosts& aCosts,
             Random& aRandom)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  std::vector<Millis> costs;
  costs.reserve(aCandidates.size());
  for (const TargetCandidate& candidate : aCandidates) {
    costs.push_back(Cost(candidate, aCosts));
  }
  const Millis least = *std::min_element(costs.begin(), costs.end());
  std::vector<std::size_t> equal;
  for (std::size_t i = 0; i < costs.size(); ++i) {
    if (costs[i] <= least * kEqualFactor) {
      equal.push_back(i);
    }
  }
  const std::size_t index = equal[UniformBelow(aRandom, equal.size())];
  return TargetChoice{ .mIndex = index,
                       .mWait = ExpectedWait(aCandidates[index]),
                       .mRun = aCandidates[index].mLoad.mMeanRun };
}

} // namespace papayaway::gateway
