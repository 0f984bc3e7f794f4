#include <sidecar/RolloutAgent.h>

#include <tuple>
#include <utility>

namespace papayaway::sidecar {

using gateway::OrderAge;
using gateway::RolloutOrder;
using gateway::RolloutProgress;
using gateway::RolloutState;

namespace {

/** Each node waits this much longer per rank before it writes a step, so that
 *  usually only one node writes. */
constexpr Millis kRankDelay{ 350 };
/** A write is retried after this time if the progress has not changed. */
constexpr Millis kWriteRetryDelay{ 1200 };
/** If no target of another version has been ready for this long, none will be.
 *  Longer than a process takes to start and to link to the others. */
constexpr Millis kOldTargetsGoneAfter = Seconds(6);

OrderAge
AgeOf(const RolloutOrder& aOrder, const RolloutProgress& aProgress)
{
  return aProgress.AgeOf({ aOrder.mOrderVersion, aOrder.mVersion });
}

/** @return whether aKnown is ahead of aOther, which the store or another node
 *    has. Of two ways in which a rollout has ended, neither is. */
bool
IsAhead(const RolloutProgress& aKnown, const RolloutProgress& aOther)
{
  const bool same = aKnown.AgeOf(aOther.Order()) == OrderAge::Same &&
                    aOther.AgeOf(aKnown.Order()) == OrderAge::Same;
  if (same && aKnown.mState != aOther.mState &&
      aOther.mState != RolloutState::Running) {
    return false;
  }
  return aKnown.Supersedes(aOther);
}

} // namespace

bool
RolloutAgent::IsOngoing(const Rollout& aRollout)
{
  if (!aRollout.mOrder || !aRollout.mProgress) {
    return aRollout.mOrder.has_value();
  }
  const OrderAge age = AgeOf(*aRollout.mOrder, *aRollout.mProgress);
  return age == OrderAge::Newer ||
         (age == OrderAge::Same &&
          aRollout.mProgress->mState == RolloutState::Running);
}

void
RolloutAgent::Renumber(Rollout& aRollout)
{
  if (!aRollout.mOrder || !aRollout.mProgress ||
      AgeOf(*aRollout.mOrder, *aRollout.mProgress) != OrderAge::Same) {
    return;
  }
  if (aRollout.mOrder->mOrderVersion > aRollout.mProgress->mOrderVersion) {
    aRollout.mProgress->Renumber(aRollout.mOrder->mOrderVersion);
    WriteLater(aRollout);
  } else {
    aRollout.mOrder->mOrderVersion = aRollout.mProgress->mOrderVersion;
  }
}

void
RolloutAgent::WriteLater(Rollout& aRollout)
{
  if (!aRollout.mUnstoredSince) {
    aRollout.mUnstoredSince = SteadyNow();
    aRollout.mLastRewriteAt = {};
  }
}

void
RolloutAgent::OnOrder(const RolloutOrder& aOrder)
{
  Rollout& rollout = mRollouts[aOrder.mService];
  if (rollout.mOrder && rollout.mOrder->mOrderVersion >= aOrder.mOrderVersion) {
    return;
  }
  const OrderAge age =
    rollout.mProgress ? AgeOf(aOrder, *rollout.mProgress) : OrderAge::Newer;
  mDependencies.mLog.WriteStateChange(
    "rollout",
    age == OrderAge::Earlier ? "rollout_order_of_copy" : "rollout_ordered",
    { { "service", aOrder.mService },
      { "version", aOrder.mVersion },
      { "period_ms", aOrder.mPeriod.WholeMillis() },
      { "row_version", aOrder.mOrderVersion.ToString() },
      { "known", age == OrderAge::Same } });
  if (age == OrderAge::Earlier) {
    return;
  }
  rollout.mOrder = aOrder;
  rollout.mStepDue = false;
  if (age == OrderAge::Newer) {
    rollout.mOldTargetSeenAt.reset();
  }
  Renumber(rollout);
}

void
RolloutAgent::OnProgress(const RolloutProgress& aProgress, bool aStored)
{
  Rollout& rollout = mRollouts[aProgress.mService];
  const RolloutProgress merged =
    rollout.mProgress ? Merge(*rollout.mProgress, aProgress) : aProgress;
  if (rollout.mProgress == merged) {
    return;
  }
  const bool stored = aStored && !IsAhead(merged, aProgress);
  rollout.mProgress = merged;
  rollout.mStepDue = false;
  Renumber(rollout);
  if (merged.mState == RolloutState::RolledBack && !stored) {
    // The node that decided the rollback may fail before it writes it, so this
    // node writes it as well.
    WriteLater(rollout);
  }
  mDependencies.mLog.WriteStateChange(
    "rollout",
    "rollout_progress",
    { { "service", merged.mService },
      { "version", merged.mVersion },
      { "row_version", rollout.mProgress->mOrderVersion.ToString() },
      { "state",
        merged.mState == RolloutState::Running     ? "running"
        : merged.mState == RolloutState::Succeeded ? "succeeded"
                                                   : "rolled_back" },
      { "share", gateway::kStageShares.at(merged.mStage) },
      { "reason", merged.mReason } });
  mDependencies.mBroadcast(
    ProgressMessage{ .mProgress = *rollout.mProgress, .mStored = stored });
}

std::optional<ProgressMessage>
RolloutAgent::OnProgressMessage(const ProgressMessage& aMessage)
{
  OnProgress(aMessage.mProgress, aMessage.mStored);
  Rollout& rollout = mRollouts[aMessage.mProgress.mService];
  if (IsAhead(*rollout.mProgress, aMessage.mProgress)) {
    return ProgressMessage{ .mProgress = *rollout.mProgress };
  }
  if (aMessage.mStored) {
    OnStored(rollout);
  }
  return std::nullopt;
}

void
RolloutAgent::OnEvidence(const EvidenceMessage& aMessage)
{
  mEvidence.Merge(aMessage.mNode, aMessage.mIncarnation, aMessage.mCounts);
}

void
RolloutAgent::OnRun(const std::string& aNode,
                    std::uint64_t aIncarnation,
                    const RunReport& aRun)
{
  const gateway::VersionRoute key{ .mService = aRun.mService,
                                   .mVersion = aRun.mVersion,
                                   .mRoute = aRun.mRoute };
  gateway::VersionCounts& counts = mOwnCounts[key];
  ++counts.mRuns;
  counts.mFailures += aRun.mFailed ? 1 : 0;
  counts.mTotalRunTime += aRun.mTime;
  const auto found = mRollouts.find(aRun.mService);
  if (found != mRollouts.end() && IsOngoing(found->second)) {
    const Millis mean = mEvidence.MeanRunTimeOfOthers(
      aRun.mService, found->second.mOrder->mVersion, aRun.mRoute);
    const bool slow =
      !aRun.mCold && mean.mCount > 0 && aRun.mTime > mean * mPolicy.mSlowFactor;
    counts.mSlowRuns += slow ? 1 : 0;
  }
  mEvidence.Merge(aNode, aIncarnation, { { key, counts } });
}

void
RolloutAgent::Tick(const std::string& aNode,
                   std::uint64_t aIncarnation,
                   Millis aNow)
{
  EvidenceMessage update{ .mNode = aNode, .mIncarnation = aIncarnation };
  for (auto& [service, rollout] : mRollouts) {
    if (rollout.mUnstoredSince) {
      Rewrite(rollout, aNow);
    }
    if (!IsOngoing(rollout)) {
      continue;
    }
    for (const auto& [key, counts] : mOwnCounts) {
      if (key.mService == service && mSentCounts[key] != counts) {
        mSentCounts[key] = counts;
        update.mCounts.emplace(key, counts);
      }
    }
    TryNextStep(service, rollout, aNow);
  }
  if (!update.mCounts.empty()) {
    mEvidence.Merge(aNode, aIncarnation, update.mCounts);
    mDependencies.mSendEvidence(update);
  }
}

void
RolloutAgent::Rewrite(Rollout& aRollout, Millis aNow)
{
  const RolloutProgress& progress = *aRollout.mProgress;
  const Millis delay =
    kRankDelay * static_cast<double>(mDependencies.mRank(progress.mService));
  if (aNow - *aRollout.mUnstoredSince < delay ||
      (aRollout.mLastRewriteAt.mCount > 0 &&
       aNow - aRollout.mLastRewriteAt < kWriteRetryDelay)) {
    return;
  }
  aRollout.mLastRewriteAt = aNow;
  mDependencies.mWriteProgress(progress);
}

void
RolloutAgent::OnStored(Rollout& aRollout)
{
  if (aRollout.mUnstoredSince) {
    aRollout.mUnstoredSince.reset();
    // The others need not write it any more.
    mDependencies.mBroadcast(
      ProgressMessage{ .mProgress = *aRollout.mProgress, .mStored = true });
  }
}

void
RolloutAgent::OnStoredProgress(const RolloutProgress& aProgress)
{
  OnProgress(aProgress, true);
  Rollout& rollout = mRollouts[aProgress.mService];
  if (IsAhead(*rollout.mProgress, aProgress)) {
    WriteLater(rollout);
  } else {
    OnStored(rollout);
  }
}

void
RolloutAgent::OnStoredRollouts(const std::set<std::string>& aServices)
{
  for (auto& [service, rollout] : mRollouts) {
    if (rollout.mProgress && !aServices.contains(service)) {
      WriteLater(rollout);
    }
  }
}

void
RolloutAgent::TryNextStep(const std::string& aService,
                          Rollout& aRollout,
                          Millis aNow)
{
  const Millis storeNow = mDependencies.mStoreClock();
  if (storeNow.mCount <= 0) {
    return;
  }
  const RolloutOrder order = *aRollout.mOrder;
  const bool oldTargetReady =
    mDependencies.mTargets.HasReadyTarget(aService, order.mVersion, true);
  if (oldTargetReady || !aRollout.mOldTargetSeenAt ||
      mDependencies.mIsIsolated()) {
    aRollout.mOldTargetSeenAt = aNow;
  }
  const auto next = gateway::NextStep(
    order,
    { .mProgress = aRollout.mProgress,
      .mNow = storeNow,
      .mOldTargetsIdle =
        mDependencies.mTargets.OtherVersionsIdle(aService, order.mVersion),
      .mNewTargetReady =
        mDependencies.mTargets.HasReadyTarget(aService, order.mVersion, false),
      .mOldTargetReady = oldTargetReady,
      .mOldTargetsGone =
        aNow - *aRollout.mOldTargetSeenAt >= kOldTargetsGoneAfter },
    mEvidence,
    mPolicy);
  if (!next) {
    aRollout.mStepDue = false;
    return;
  }
  if (!aRollout.mStepDue) {
    aRollout.mStepDue = true;
    aRollout.mStepDueSince = aNow;
    aRollout.mLastWriteAt = {};
  }
  if (next->mState == RolloutState::RolledBack) {
    // A rollback takes effect here and at the linked nodes before it is written
    // to the store.
    OnProgress(*next, false);
    return;
  }
  if (aRollout.mUnstoredSince) {
    // The next step is taken from progress that the store has.
    return;
  }
  const Millis delay =
    kRankDelay * static_cast<double>(mDependencies.mRank(aService));
  if (aNow - aRollout.mStepDueSince < delay ||
      (aRollout.mLastWriteAt.mCount > 0 &&
       aNow - aRollout.mLastWriteAt < kWriteRetryDelay)) {
    return;
  }
  aRollout.mLastWriteAt = aNow;
  mDependencies.mWriteProgress(*next);
}

VersionChoice
RolloutAgent::ChooseVersion(const std::string& aService)
{
  const auto found = mRollouts.find(aService);
  if (found == mRollouts.end()) {
    return {};
  }
  Rollout& rollout = found->second;
  const bool current =
    rollout.mProgress &&
    (!rollout.mOrder ||
     AgeOf(*rollout.mOrder, *rollout.mProgress) != OrderAge::Newer);
  if (!current) {
    return { .mRule = VersionRule::AllBut,
             .mVersion = rollout.mOrder->mVersion };
  }
  const RolloutProgress& progress = *rollout.mProgress;
  switch (progress.mState) {
    case RolloutState::RolledBack:
      return { .mRule = VersionRule::AllBut, .mVersion = progress.mVersion };
    case RolloutState::Succeeded:
      return { .mRule = VersionRule::Only, .mVersion = progress.mVersion };
    case RolloutState::Running:
      break;
  }
  rollout.mCredit += gateway::kStageShares.at(progress.mStage);
  if (rollout.mCredit >= 1) {
    rollout.mCredit -= 1;
    return { .mRule = VersionRule::Only, .mVersion = progress.mVersion };
  }
  return { .mRule = VersionRule::AllBut, .mVersion = progress.mVersion };
}

bool
RolloutAgent::IsWithdrawn(const gateway::TargetInfo& aTarget) const
{
  const auto found = mRollouts.find(aTarget.mService);
  if (found == mRollouts.end() || !found->second.mProgress) {
    return false;
  }
  const auto& [order, progress] =
    std::tie(found->second.mOrder, *found->second.mProgress);
  const bool orderedAgain = order &&
                            AgeOf(*order, progress) == OrderAge::Newer &&
                            order->mVersion == aTarget.mVersion;
  return !orderedAgain && progress.IsWithdrawn(aTarget.mVersion);
}

bool
RolloutAgent::TakesRequests(const gateway::TargetInfo& aTarget) const
{
  const auto found = mRollouts.find(aTarget.mService);
  if (found == mRollouts.end() || !found->second.mProgress) {
    return true;
  }
  if (IsWithdrawn(aTarget)) {
    return false;
  }
  const RolloutProgress& progress = *found->second.mProgress;
  const bool isNew = aTarget.mVersion == progress.mVersion;
  switch (progress.mState) {
    case RolloutState::RolledBack:
      return !isNew;
    case RolloutState::Succeeded:
      return isNew;
    case RolloutState::Running:
      break;
  }
  // In the last stage the old versions get no more requests, so that their
  // targets become idle before they are stopped.
  return isNew || progress.mStage + 1 < gateway::kStageShares.size();
}

} // namespace papayaway::sidecar
