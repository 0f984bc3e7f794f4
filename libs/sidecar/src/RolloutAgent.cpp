#include <sidecar/RolloutAgent.h>

#include <tuple>
#include <utility>

namespace papayaway::sidecar {

using gateway::RolloutOrder;
using gateway::RolloutProgress;
using gateway::RolloutState;

namespace {

/** Each node waits this much longer per rank before it writes a step, so that
 *  usually only one node writes. */
constexpr Millis kRankDelay{ 350 };
/** A write is retried after this time if the progress has not changed. */
constexpr Millis kWriteRetryDelay{ 1200 };

} // namespace

bool
RolloutAgent::IsOngoing(const Rollout& aRollout) const
{
  return aRollout.mOrder &&
         (!aRollout.mProgress ||
          aRollout.mProgress->mOrderVersion < aRollout.mOrder->mOrderVersion ||
          aRollout.mProgress->mState == RolloutState::Running);
}

void
RolloutAgent::OnOrder(const RolloutOrder& aOrder)
{
  Rollout& rollout = mRollouts[aOrder.mService];
  if (rollout.mOrder && rollout.mOrder->mOrderVersion >= aOrder.mOrderVersion) {
    return;
  }
  rollout.mOrder = aOrder;
  rollout.mStepDue = false;
  mDependencies.mLog.WriteStateChange(
    "rollout",
    "rollout_ordered",
    { { "service", aOrder.mService },
      { "version", aOrder.mVersion },
      { "period_ms", aOrder.mPeriod.WholeMillis() },
      { "row_version", aOrder.mOrderVersion } });
}

void
RolloutAgent::OnProgress(const RolloutProgress& aProgress)
{
  Rollout& rollout = mRollouts[aProgress.mService];
  if (rollout.mProgress && !aProgress.Supersedes(*rollout.mProgress)) {
    return;
  }
  rollout.mProgress = aProgress;
  rollout.mStepDue = false;
  if (aProgress.mState == RolloutState::RolledBack &&
      !rollout.mPendingRollback) {
    // The node that decided the rollback may fail before it writes it, so this
    // node writes it as well.
    rollout.mPendingRollback = aProgress;
    rollout.mStepDueSince = SteadyNow();
    rollout.mLastWriteAt = {};
  }
  mDependencies.mLog.WriteStateChange(
    "rollout",
    "rollout_progress",
    { { "service", aProgress.mService },
      { "version", aProgress.mVersion },
      { "state",
        aProgress.mState == RolloutState::Running     ? "running"
        : aProgress.mState == RolloutState::Succeeded ? "succeeded"
                                                      : "rolled_back" },
      { "share", gateway::kStageShares.at(aProgress.mStage) },
      { "reason", aProgress.mReason } });
  mDependencies.mBroadcast(ProgressMessage{ aProgress });
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
    if (rollout.mPendingRollback) {
      WriteRollback(rollout, aNow);
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
RolloutAgent::WriteRollback(Rollout& aRollout, Millis aNow)
{
  const RolloutProgress& progress = *aRollout.mPendingRollback;
  const Millis delay =
    kRankDelay * static_cast<double>(mDependencies.mRank(progress.mService));
  if (aNow - aRollout.mStepDueSince < delay ||
      (aRollout.mLastWriteAt.mCount > 0 &&
       aNow - aRollout.mLastWriteAt < kWriteRetryDelay)) {
    return;
  }
  aRollout.mLastWriteAt = aNow;
  mDependencies.mWriteProgress(progress);
}

void
RolloutAgent::OnStoredProgress(const RolloutProgress& aProgress)
{
  Rollout& rollout = mRollouts[aProgress.mService];
  if (rollout.mPendingRollback &&
      rollout.mPendingRollback->mOrderVersion <= aProgress.mOrderVersion &&
      aProgress.mState != RolloutState::Running) {
    rollout.mPendingRollback.reset();
  }
  OnProgress(aProgress);
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
  const auto next = gateway::NextStep(
    order,
    { .mProgress = aRollout.mProgress,
      .mNow = storeNow,
      .mOldTargetsIdle =
        mDependencies.mTargets.OtherVersionsIdle(aService, order.mVersion),
      .mNewTargetReady = mDependencies.mTargets.HasReadyTarget(
        aService, order.mVersion, false) },
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
    OnProgress(*next);
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
    rollout.mProgress && (!rollout.mOrder || rollout.mProgress->mOrderVersion >=
                                               rollout.mOrder->mOrderVersion);
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
                            order->mOrderVersion > progress.mOrderVersion &&
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
