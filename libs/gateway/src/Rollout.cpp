#include <gateway/Rollout.h>

#include <algorithm>

namespace papayaway::gateway {

namespace {

/** A route is busy if it has at least this fraction of the service's runs. The
 *  first stage does not wait for runs on other routes. */
constexpr double kBusyRouteFraction = 0.1;
/** The minimum number of runs of the old versions for a mean run time. */
constexpr std::uint64_t kMinBaselineRuns = 5;

double
Ratio(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0 ? 0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

/** @return whether the new version has at least mMinFaults faults and a fault
 *    rate that is above 1.5 times the rate of the old versions by more than
 *    mFaultRateMargin. */
bool
IsWorse(std::uint64_t aNewFaults,
        std::uint64_t aNewRuns,
        std::uint64_t aOldFaults,
        std::uint64_t aOldRuns,
        const RolloutPolicy& aPolicy)
{
  return aNewFaults >= aPolicy.mMinFaults &&
         Ratio(aNewFaults, aNewRuns) >
           1.5 * Ratio(aOldFaults, aOldRuns) + aPolicy.mFaultRateMargin;
}

/** @param aScope names the route or routes of the counts, for the description.
 *  @return a description of the fault, or "" if there is none. */
std::string
DescribeFault(const std::string& aScope,
              const VersionCounts& aNew,
              const VersionCounts& aOld,
              const RolloutPolicy& aPolicy)
{
  if (IsWorse(
        aNew.mFailures, aNew.mRuns, aOld.mFailures, aOld.mRuns, aPolicy)) {
    return std::to_string(aNew.mFailures) + " of " +
           std::to_string(aNew.mRuns) + " runs failed on " + aScope;
  }
  if (IsWorse(
        aNew.mSlowRuns, aNew.mRuns, aOld.mSlowRuns, aOld.mRuns, aPolicy)) {
    return std::to_string(aNew.mSlowRuns) + " of " +
           std::to_string(aNew.mRuns) + " runs were slow on " + aScope;
  }
  return {};
}

/** @return whether the new version has enough runs on each busy route. */
bool
HasEnoughRuns(const EvidenceAggregator& aEvidence,
              const RolloutOrder& aOrder,
              const RolloutPolicy& aPolicy)
{
  const auto newCounts =
    aEvidence.CountsByRoute(aOrder.mService, aOrder.mVersion, false);
  const auto oldCounts =
    aEvidence.CountsByRoute(aOrder.mService, aOrder.mVersion, true);
  std::uint64_t totalRuns = 0;
  for (const auto& [route, counts] : oldCounts) {
    totalRuns += counts.mRuns;
  }
  return std::all_of(
    oldCounts.begin(), oldCounts.end(), [&](const auto& aEntry) {
      if (Ratio(aEntry.second.mRuns, totalRuns) < kBusyRouteFraction) {
        return true;
      }
      const auto found = newCounts.find(aEntry.first);
      return found != newCounts.end() &&
             found->second.mRuns >= aPolicy.mMinRunsPerRoute;
    });
}

/** @return the versions that stay withdrawn when the order takes effect. */
std::vector<std::string>
WithdrawnVersions(const std::optional<RolloutProgress>& aBefore,
                  const RolloutOrder& aOrder)
{
  if (!aBefore) {
    return {};
  }
  std::vector<std::string> versions = aBefore->mWithdrawnVersions;
  if (aBefore->mState == RolloutState::RolledBack) {
    versions.push_back(aBefore->mVersion);
  }
  std::erase(versions, aOrder.mVersion);
  if (versions.size() > kMaxWithdrawnVersions) {
    versions.erase(versions.begin());
  }
  return versions;
}

/** Adds the orders that progress of the same order, or of one that this one has
 *  replaced, shows to be earlier. */
void
AddEarlierOrders(RolloutProgress& aProgress, const RolloutProgress& aOther)
{
  std::vector<OrderId>& orders = aProgress.mEarlierOrders;
  orders.insert(
    orders.end(), aOther.mEarlierOrders.begin(), aOther.mEarlierOrders.end());
  if (aProgress.AgeOf(aOther.Order()) != OrderAge::Same) {
    orders.push_back(aOther.Order());
    for (const StoreVersion& former : aOther.mFormerOrderVersions) {
      orders.push_back({ former, aOther.mVersion });
    }
  }
  std::sort(orders.begin(), orders.end());
  orders.erase(std::unique(orders.begin(), orders.end()), orders.end());
  if (orders.size() > kMaxEarlierOrders) {
    orders.erase(orders.begin(),
                 orders.end() - std::ptrdiff_t{ kMaxEarlierOrders });
  }
}

} // namespace

OrderAge
RolloutProgress::AgeOf(const OrderId& aOrder) const
{
  const StoreVersion version = aOrder.mOrderVersion;
  if (version.Era() == mOrderVersion.Era()) {
    return version == mOrderVersion  ? OrderAge::Same
           : version < mOrderVersion ? OrderAge::Earlier
                                     : OrderAge::Newer;
  }
  if (HasReplaced(aOrder)) {
    return OrderAge::Earlier;
  }
  if (aOrder.mVersion == mVersion) {
    return OrderAge::Same;
  }
  return version < mOrderVersion ? OrderAge::Earlier : OrderAge::Newer;
}

bool
RolloutProgress::HasReplaced(const OrderId& aOrder) const
{
  return std::any_of(
    mEarlierOrders.begin(), mEarlierOrders.end(), [&](const OrderId& aEarlier) {
      return aEarlier.mOrderVersion.Number() == aOrder.mOrderVersion.Number() &&
             aEarlier.mVersion == aOrder.mVersion;
    });
}

void
RolloutProgress::Renumber(StoreVersion aOrderVersion)
{
  if (aOrderVersion.Era() <= mOrderVersion.Era()) {
    return;
  }
  mFormerOrderVersions.push_back(mOrderVersion);
  if (mFormerOrderVersions.size() > kMaxFormerOrderVersions) {
    mFormerOrderVersions.erase(mFormerOrderVersions.begin());
  }
  mOrderVersion = aOrderVersion;
}

RolloutProgress
Merge(const RolloutProgress& aKnown, const RolloutProgress& aReceived)
{
  const bool replaces = aReceived.Supersedes(aKnown);
  RolloutProgress merged = replaces ? aReceived : aKnown;
  const RolloutProgress& other = replaces ? aKnown : aReceived;
  if (merged.AgeOf(other.Order()) == OrderAge::Same &&
      other.AgeOf(merged.Order()) == OrderAge::Same) {
    merged.Renumber(other.mOrderVersion);
  }
  AddEarlierOrders(merged, other);
  return merged;
}

bool
RolloutProgress::IsWithdrawn(std::string_view aVersion) const
{
  return (mState == RolloutState::RolledBack && mVersion == aVersion) ||
         std::find(mWithdrawnVersions.begin(),
                   mWithdrawnVersions.end(),
                   aVersion) != mWithdrawnVersions.end();
}

bool
RolloutProgress::Supersedes(const RolloutProgress& aOther) const
{
  if (mOrderVersion.Era() != aOther.mOrderVersion.Era()) {
    // What was replaced is earlier, whatever era its row was read in.
    const bool replaced = HasReplaced(aOther.Order());
    if (replaced != aOther.HasReplaced(Order())) {
      return replaced;
    }
  }
  if (AgeOf(aOther.Order()) != OrderAge::Same) {
    return mOrderVersion > aOther.mOrderVersion;
  }
  if (mState != aOther.mState) {
    return aOther.mState == RolloutState::Running;
  }
  if (mStage != aOther.mStage) {
    return mStage > aOther.mStage;
  }
  return mOrderVersion > aOther.mOrderVersion;
}

void
VersionCounts::Add(const VersionCounts& aOther)
{
  mRuns += aOther.mRuns;
  mFailures += aOther.mFailures;
  mSlowRuns += aOther.mSlowRuns;
  mTotalRunTime += aOther.mTotalRunTime;
}

void
EvidenceAggregator::Merge(const std::string& aNode,
                          std::uint64_t aIncarnation,
                          const VersionEvidence& aCounts)
{
  NodeCounts& node = mNodes[aNode];
  if (aIncarnation < node.mIncarnation) {
    return;
  }
  node.mIncarnation = aIncarnation;
  for (const auto& [key, counts] : aCounts) {
    node.mCounts[key] = counts;
  }
}

std::map<std::string, VersionCounts>
EvidenceAggregator::CountsByRoute(std::string_view aService,
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
EvidenceAggregator::MeanRunTimeOfOthers(std::string_view aService,
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
  return sum.mRuns < kMinBaselineRuns
           ? Millis{}
           : sum.mTotalRunTime * (1.0 / static_cast<double>(sum.mRuns));
}

std::string
FindFault(const EvidenceAggregator& aEvidence,
          const RolloutOrder& aOrder,
          const RolloutPolicy& aPolicy)
{
  const auto newCounts =
    aEvidence.CountsByRoute(aOrder.mService, aOrder.mVersion, false);
  const auto oldCounts =
    aEvidence.CountsByRoute(aOrder.mService, aOrder.mVersion, true);
  VersionCounts newTotal;
  VersionCounts oldTotal;
  for (const auto& [route, counts] : oldCounts) {
    oldTotal.Add(counts);
  }
  for (const auto& [route, counts] : newCounts) {
    newTotal.Add(counts);
    const auto found = oldCounts.find(route);
    const VersionCounts baseline =
      found == oldCounts.end() ? VersionCounts{} : found->second;
    std::string fault =
      DescribeFault("route " + route, counts, baseline, aPolicy);
    if (!fault.empty()) {
      return fault;
    }
  }
  return DescribeFault("all routes", newTotal, oldTotal, aPolicy);
}

std::optional<RolloutProgress>
NextStep(const RolloutOrder& aOrder,
         const RolloutView& aView,
         const EvidenceAggregator& aEvidence,
         const RolloutPolicy& aPolicy)
{
  if (!aView.mProgress ||
      aView.mProgress->AgeOf({ aOrder.mOrderVersion, aOrder.mVersion }) ==
        OrderAge::Newer) {
    RolloutProgress first{ .mService = aOrder.mService,
                           .mVersion = aOrder.mVersion,
                           .mOrderVersion = aOrder.mOrderVersion,
                           .mStarted = aView.mNow,
                           .mStageStarted = aView.mNow,
                           .mReason = "ordered",
                           .mWithdrawnVersions =
                             WithdrawnVersions(aView.mProgress, aOrder) };
    if (aView.mProgress) {
      AddEarlierOrders(first, *aView.mProgress);
    }
    return first;
  }
  RolloutProgress next = *aView.mProgress;
  if (next.mState != RolloutState::Running) {
    return std::nullopt;
  }
  next.mStageStarted = aView.mNow;
  const std::string fault = FindFault(aEvidence, aOrder, aPolicy);
  if (!fault.empty()) {
    next.mState = RolloutState::RolledBack;
    next.mReason = fault;
    return next;
  }
  const Millis age = aView.mNow - next.mStarted;
  const Millis stageAge = aView.mNow - aView.mProgress->mStageStarted;
  const bool isLastStage = next.mStage + 1 == kStageShares.size();
  if (aView.mOldTargetsGone && aView.mNewTargetReady && !isLastStage) {
    next.mStage = kStageShares.size() - 1;
    next.mReason = "no target of another version is left";
    return next;
  }
  if (age > aOrder.mPeriod * aPolicy.mMaxPeriodFraction && !isLastStage) {
    if (!aView.mOldTargetReady) {
      return std::nullopt;
    }
    next.mState = RolloutState::RolledBack;
    next.mReason = "the period ended before the version was proved good";
    return next;
  }
  if (isLastStage) {
    if (stageAge < aPolicy.mMinStageTime || !aView.mOldTargetsIdle) {
      return std::nullopt;
    }
    next.mState = RolloutState::Succeeded;
    next.mReason = "all requests ran on the new version";
    return next;
  }
  if (next.mStage == 0) {
    const bool tooEarly = age < aOrder.mPeriod * aPolicy.mMinFirstStageFraction;
    const bool enoughEvidence =
      HasEnoughRuns(aEvidence, aOrder, aPolicy) ||
      age > aOrder.mPeriod * aPolicy.mMaxFirstStageFraction;
    if (tooEarly || !enoughEvidence || !aView.mNewTargetReady) {
      return std::nullopt;
    }
  } else if (stageAge < aPolicy.mMinStageTime) {
    return std::nullopt;
  }
  ++next.mStage;
  next.mReason = "no fault at the share before";
  return next;
}

} // namespace papayaway::gateway
