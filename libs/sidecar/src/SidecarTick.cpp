#include "SidecarImpl.h"

#include <algorithm>

namespace papayaway::sidecar {

namespace {

/** How often the load is checked and, if changed, sent to the nodes of the own
 *  data centre; also the update period of metrics and the follower role. */
constexpr Millis kLoadPeriod{ 250 };
/** How often the load is sent to all linked nodes even if unchanged, as the
 *  heartbeat of the links. */
constexpr Millis kLoadBroadcastPeriod{ 1000 };
/** How often rollouts are advanced. */
constexpr Millis kRolloutPeriod{ 200 };
/** A tick that is late by this much shows that the loop was blocked or that the
 *  host gave the process no processor time. */
constexpr Millis kLoopDelay{ 250 };

/** Raises a counter to a running total that another component keeps. */
void
RaiseToTotal(prometheus::Counter& aCounter, std::uint64_t aTotal)
{
  aCounter.Increment(
    std::max(0.0, static_cast<double>(aTotal) - aCounter.Value()));
}

} // namespace

LoadMessage
Sidecar::Impl::OwnLoad() const
{
  return { .mLoad = mLocalTarget.Load(),
           .mStateVersion = StateVersion(),
           .mFollowState = OwnFollowState(),
           .mEvacuationDigest = mEvacuations.Set().Digest(),
           .mConfirmedAgo = mSettings.mStrictRevocation
                              ? mFreshness.ConfirmedAgo(BootNow())
                              : std::nullopt,
           .mStoreEra = mSync.Era() };
}

void
Sidecar::Impl::SendOwnLoad(Millis aNow)
{
  const LoadMessage message = OwnLoad();
  mTargets.OnLoad(mSettings.mName, message.mLoad);
  const bool toAll = aNow - mLastLoadBroadcast >= kLoadBroadcastPeriod;
  const bool newVersion =
    mTopology.IsLinkNode() &&
    (!mLastSentLoad || mLastSentLoad->mStateVersion != message.mStateVersion);
  const bool changed = newVersion || !mLastSentLoad ||
                       mLastSentLoad->mFollowState != message.mFollowState;
  if (!toAll && !changed && !mLoadFilter.ShouldReport(message.mLoad, aNow)) {
    return;
  }
  mLastSentLoad = message;
  mLoadFilter.OnReported(message.mLoad, aNow);
  if (toAll) {
    mLastLoadBroadcast = aNow;
    mMesh.Broadcast(message);
  } else if (!changed && RelaysOwnLoads()) {
    // The relay sends the loads of all nodes together.
    const std::string relay = RelayOf(mSettings.mDataCentre);
    if (relay != mSettings.mName) {
      mMesh.Send(relay, message);
    }
  } else {
    SendInDataCentre(message);
  }
}

void
Sidecar::Impl::UpdatePace()
{
  if (mLocalTarget.UsesPace()) {
    mLocalTarget.OnPeers(
      mTargets.Candidates({ .mService = mSettings.mService,
                            .mVersion = {},
                            .mExcluded = { mSettings.mName } }));
  }
}

void
Sidecar::Impl::Tick()
{
  const Millis now = SteadyNow();
  const Millis lag = now - mLastTick - kTickPeriod;
  mMetrics.mLoopLag.Set(std::max(0.0, lag.mCount));
  if (lag >= kLoopDelay) {
    mMetrics.mLoopDelays.Increment();
    mLog.WriteStateChange(
      "node", "loop_delayed", { { "lag_ms", lag.WholeMillis() } });
  }
  mLastTick = now;
  ApplyPendingState(now);
  mFreshness.OnTick(BootNow());
  // After a freeze, this resets the times by which nodes count as reachable.
  mMesh.Tick(now);
  UpdateLinks();
  mCaps.Tick();
  mLeaves.OnTick(now);
  RefuseHeldCheckIns(now);
  mTargets.OnLoad(mSettings.mName, mLocalTarget.Load());
  // At each tick: until a crash is reported, its request can crash the next
  // process of the target.
  mCrashes.OnTick(now, WallNow());
  const std::optional<Millis> overdueFor = mConfirmations.OverdueFor(BootNow());
  if (overdueFor.has_value() != mConfirmationsOverdue) {
    mConfirmationsOverdue = overdueFor.has_value();
    mLog.WriteStateChange(
      "store",
      overdueFor ? "confirmations_overdue" : "confirmations_recent",
      { { "max_age_ms", mFollowSchedule.mMaxAge.WholeMillis() },
        { "state_version", StateVersion() },
        { "follows", mSync.IsFollowing() } });
  }
  const bool takeover =
    overdueFor && *overdueFor < mFollowSchedule.mTakeoverTime + kLoadPeriod;
  const bool loadDue = now - mLastLoadCheck >= kLoadPeriod;
  if (takeover || loadDue) {
    UpdateFollowerRole(now);
  }
  if (loadDue) {
    mLastLoadCheck = now;
    UpdateLeavingNodes(now);
    RemoveLostNodes(now);
    if (!mRoutingTable && now >= mDirectReadAt && !mSettings.mFirstStart) {
      mSync.ReadOperatorRowsOnce();
    }
    UpdatePace();
    SendOwnLoad(now);
    SendDataCentreLoads(now);
    const gateway::TargetLoad load = mLocalTarget.Load();
    mMetrics.mRunning.Set(load.mRunning);
    mMetrics.mWaiting.Set(load.mWaiting);
    mMetrics.mAdmissionRate.Set(load.mAdmissionRate.value_or(-1));
    mMetrics.mLimitedRoutes.Set(
      static_cast<double>(mLocalTarget.LimitedRoutes()));
    mMetrics.mCallerConnections.Set(
      static_cast<double>(mCallerServer->Connections()));
    mMetrics.mLinks.Set(static_cast<double>(mMesh.LinkCount()));
    mMetrics.mStateAge.Set((now - mStateAppliedAt).mCount / 1000);
    RaiseToTotal(mMetrics.mLogLinesDropped, mLog.DroppedLines());
    RaiseToTotal(mMetrics.mReadingPauses, mCallerServer->ReadingPauses());
    RaiseToTotal(mMetrics.mTargetConnections, mLocalTarget.ConnectionsOpened());
  }
  if (now - mLastRolloutTick >= kRolloutPeriod) {
    mLastRolloutTick = now;
    mRollouts.Tick(mSettings.mName, mIncarnation, now);
  }
  if (mStop) {
    ContinueStop(now);
  }
}

void
Sidecar::Impl::ContinueStop(Millis aNow)
{
  if (mStop->AcceptsCallers(aNow)) {
    return;
  }
  mCallerServer->StopAccepting();
  mCallerServer->CloseIdle();
  const bool idle = mCallerServer->InFlight() == 0 && mPeerCalls.empty() &&
                    mReceivedCalls.empty() && mCallerServer->Unfinished() == 0;
  if (idle) {
    mMesh.CloseWhenWritten();
  }
  if ((!idle || !mMesh.IsClosed(aNow)) && aNow < mStop->End()) {
    return;
  }
  mTickTimer.Stop();
  mLog.WriteStateChange("node",
                        "stopped",
                        { { "after_ms", (aNow - mStopStarted).WholeMillis() },
                          { "unfinished", mCallerServer->InFlight() },
                          { "unwritten", mCallerServer->Unfinished() },
                          { "links", mMesh.LinkCount() } });
  mLog.Flush();
  mOnStopped();
}

} // namespace papayaway::sidecar
