#include <gateway/Rollout.h>

#include <algorithm>

namespace papayaway::gateway {

namespace {

/** Routes with less than this part of the service's runs may lack evidence. */
constexpr double kBusyRoutePart = 0.1;
/** Runs of the old versions that are needed to compare with. */
constexpr std::uint64_t kBaselineRuns = 5;

double
Share(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0 ? 0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

bool
Worse(std::uint64_t aNewFaults,
      std::uint64_t aNewRuns,
      std::uint64_t aOldFaults,
      std::uint64_t aOldRuns,
      const RolloutPolicy& aPolicy)
{
  return aNewFaults >= aPolicy.mFaults &&
         Share(aNewFaults, aNewRuns) >
           1.5 * Share(aOldFaults, aOldRuns) + aPolicy.mFaultShare;
}

std::string
FaultOf(const std::string& aWhere,
        const VersionCounts& aNew,
        const VersionCounts& aOld,
        const RolloutPolicy& aPolicy)
{
  if (Worse(aNew.mFailures, aNew.mRuns, aOld.mFailures, aOld.mRuns, aPolicy)) {
    return std::to_string(aNew.mFailures) + " of " +
           std::to_string(aNew.mRuns) + " runs failed on " + aWhere;
  }
  if (Worse(aNew.mSlow, aNew.mRuns, aOld.mSlow, aOld.mRuns, aPolicy)) {
    return std::to_string(aNew.mSlow) + " of " + std::to_string(aNew.mRuns) +
           " runs were slow on " + aWhere;
  }
  return {};
}

bool
EnoughRuns(const EvidenceBook& aBook,
           const RolloutOrder& aOrder,
           const RolloutPolicy& aPolicy)
{
  const auto fresh = aBook.ByRoute(aOrder.mService, aOrder.mVersion, false);
  const auto old = aBook.ByRoute(aOrder.mService, aOrder.mVersion, true);
  std::uint64_t all = 0;
  for (const auto& [route, counts] : old) {
    all += counts.mRuns;
  }
  return std::all_of(old.begin(), old.end(), [&](const auto& aEntry) {
    if (Share(aEntry.second.mRuns, all) < kBusyRoutePart) {
      return true;
    }
    const auto found = fresh.find(aEntry.first);
    return found != fresh.end() && found->second.mRuns >= aPolicy.mRunsPerRoute;
  });
}

} // namespace

bool
RolloutProgress::Supersedes(const RolloutProgress& aOther) const
{
  if (mOrderedAt != aOther.mOrderedAt) {
    return mOrderedAt > aOther.mOrderedAt;
  }
  if (mState != aOther.mState) {
    return aOther.mState == RolloutState::Running;
  }
  return mStage > aOther.mStage;
}

void
VersionCounts::Add(const VersionCounts& aOther)
{
  mRuns += aOther.mRuns;
  mFailures += aOther.mFailures;
  mSlow += aOther.mSlow;
  mTime += aOther.mTime;
}

void
EvidenceBook::Merge(const std::string& aNode,
                    std::uint64_t aLifetime,
                    const VersionEvidence& aCounts)
{
  NodeCounts& node = mNodes[aNode];
  if (aLifetime < node.mLifetime) {
    return;
  }
  node.mLifetime = aLifetime;
  for (const auto& [key, counts] : aCounts) {
    node.mCounts[key] = counts;
  }
}

std::map<std::string, VersionCounts>
EvidenceBook::ByRoute(std::string_view aService,
                      std::string_view aVersion,
                      bool aOthers) const
{
  std::map<std::string, VersionCounts> sums;
  for (const auto& [node, evidence] : mNodes) {
    for (const auto& [key, counts] : evidence.mCounts) {
      if (key.mService == aService && (key.mVersion != aVersion) == aOthers) {
        sums[key.mRoute].Add(counts);
      }
    }
  }
  return sums;
}

Millis
EvidenceBook::MeanOfOthers(std::string_view aService,
                           std::string_view aVersion,
                           std::string_view aRoute) const
{
  VersionCounts sum;
  for (const auto& [node, evidence] : mNodes) {
    for (const auto& [key, counts] : evidence.mCounts) {
      if (key.mService == aService && key.mVersion != aVersion &&
          key.mRoute == aRoute) {
        sum.Add(counts);
      }
    }
  }
  return sum.mRuns < kBaselineRuns
           ? Millis{}
           : sum.mTime * (1.0 / static_cast<double>(sum.mRuns));
}

std::string
FindFault(const EvidenceBook& aBook,
          const RolloutOrder& aOrder,
          const RolloutPolicy& aPolicy)
{
  const auto fresh = aBook.ByRoute(aOrder.mService, aOrder.mVersion, false);
  const auto old = aBook.ByRoute(aOrder.mService, aOrder.mVersion, true);
  VersionCounts freshSum;
  VersionCounts oldSum;
  for (const auto& [route, counts] : old) {
    oldSum.Add(counts);
  }
  for (const auto& [route, counts] : fresh) {
    freshSum.Add(counts);
    const auto found = old.find(route);
    const VersionCounts baseline =
      found == old.end() ? VersionCounts{} : found->second;
    std::string fault = FaultOf("route " + route, counts, baseline, aPolicy);
    if (!fault.empty()) {
      return fault;
    }
  }
  return FaultOf("all routes", freshSum, oldSum, aPolicy);
}

std::optional<RolloutProgress>
NextStep(const RolloutOrder& aOrder,
         const RolloutView& aView,
         const EvidenceBook& aBook,
         const RolloutPolicy& aPolicy)
{
  if (!aView.mProgress || aView.mProgress->mOrderedAt < aOrder.mOrderedAt) {
    return RolloutProgress{ .mService = aOrder.mService,
                            .mVersion = aOrder.mVersion,
                            .mOrderedAt = aOrder.mOrderedAt,
                            .mStarted = aView.mNow,
                            .mStageSince = aView.mNow,
                            .mReason = "ordered" };
  }
  RolloutProgress next = *aView.mProgress;
  if (next.mState != RolloutState::Running) {
    return std::nullopt;
  }
  next.mStageSince = aView.mNow;
  const std::string fault = FindFault(aBook, aOrder, aPolicy);
  if (!fault.empty()) {
    next.mState = RolloutState::RolledBack;
    next.mReason = fault;
    return next;
  }
  const Millis age = aView.mNow - next.mStarted;
  const Millis stageAge = aView.mNow - aView.mProgress->mStageSince;
  const bool last = next.mStage + 1 == kStageShares.size();
  if (age > aOrder.mPeriod * aPolicy.mLatestPart && !last) {
    next.mState = RolloutState::RolledBack;
    next.mReason = "the period ended before the version was proved good";
    return next;
  }
  if (last) {
    if (stageAge < aPolicy.mStageTime || !aView.mOldIdle) {
      return std::nullopt;
    }
    next.mState = RolloutState::Succeeded;
    next.mReason = "all requests ran on the new version";
    return next;
  }
  if (next.mStage == 0) {
    const bool early = age < aOrder.mPeriod * aPolicy.mFirstStagePart;
    const bool proved = EnoughRuns(aBook, aOrder, aPolicy) ||
                        age > aOrder.mPeriod * aPolicy.mLatestFirstStagePart;
    if (early || !proved || !aView.mNewReady) {
      return std::nullopt;
    }
  } else if (stageAge < aPolicy.mStageTime) {
    return std::nullopt;
  }
  ++next.mStage;
  next.mReason = "no fault at the share before";
  return next;
}

} // namespace papayaway::gateway
