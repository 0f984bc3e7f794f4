#include "SidecarImpl.h"

#include <algorithm>

namespace papayaway::sidecar {

namespace {

/** How often the load is told to nodes of the own data centre... */
constexpr Millis kLoadPeriod{ 250 };
/** ...and to all nodes, also unchanged, which shows that the link works. */
constexpr Millis kFarLoadPeriod{ 1000 };
constexpr Millis kRolloutPeriod{ 200 };
/** After the signal to stop, callers still come for this long: they are sent
 *  elsewhere after two readiness questions, a second apart. */
constexpr Millis kStopAccepting{ 3000 };
/** What is not finished this long before the kill is given up. */
constexpr Millis kStopReserve{ 400 };

/** Raises a counter to a total that is kept elsewhere. */
void
CountUp(prometheus::Counter& aCounter, std::uint64_t aTotal)
{
  aCounter.Increment(
    std::max(0.0, static_cast<double>(aTotal) - aCounter.Value()));
}

} // namespace

LoadMessage
Sidecar::Impl::OwnLoad() const
{
  return { .mLoad = mGate.Load(),
           .mStateVersion = mTable ? mTable->State().mVersion : 0,
           .mFollow = mSync.Follow() };
}

void
Sidecar::Impl::TellLoad(Millis aNow)
{
  const LoadMessage message = OwnLoad();
  mTargets.OnLoad(mSettings.mName, message.mLoad);
  const bool all = aNow - mLastFarLoad >= kFarLoadPeriod;
  const bool changed = !mToldLoad ||
                       mToldLoad->mStateVersion != message.mStateVersion ||
                       mToldLoad->mFollow != message.mFollow;
  if (!all && !changed && !mLoadNews.IsNews(message.mLoad, aNow)) {
    return;
  }
  mToldLoad = message;
  mLoadNews.OnTold(message.mLoad, aNow);
  if (all) {
    mLastFarLoad = aNow;
    mMesh.Broadcast(message);
  } else {
    SendNear(message);
  }
}

void
Sidecar::Impl::Tick()
{
  const Millis now = SteadyNow();
  mMetrics.mLoopLag.Set(std::max(0.0, (now - mLastTick - kTickPeriod).mCount));
  mLastTick = now;
  mMesh.Tick(now);
  mTargets.OnLoad(mSettings.mName, mGate.Load());
  if (now - mLastLoad >= kLoadPeriod) {
    mLastLoad = now;
    DecideFollowing(now);
    mCrashes.OnTick(WallNow());
    if (!mTable && now >= mReadAloneAt && !mSettings.mFirstStart) {
      mSync.ReadOrdersOnce();
    }
    TellLoad(now);
    TellLoads(now);
    const gateway::TargetLoad load = mGate.Load();
    mMetrics.mRunning.Set(load.mRunning);
    mMetrics.mWaiting.Set(load.mWaiting);
    mMetrics.mCallers.Set(static_cast<double>(mCallers->Connections()));
    mMetrics.mLinks.Set(static_cast<double>(mMesh.LinkCount()));
    mMetrics.mStateAge.Set((now - mStateSince).mCount / 1000);
    CountUp(mMetrics.mLogDropped, mLog.Dropped());
    CountUp(mMetrics.mTargetConnections, mGate.ConnectionsOpened());
  }
  if (now - mLastRollout >= kRolloutPeriod) {
    mLastRollout = now;
    mRollouts.Tick(mSettings.mName, mLifetime, now);
  }
  if (mStopping) {
    ContinueStop(now);
  }
}

void
Sidecar::Impl::ContinueStop(Millis aNow)
{
  const Millis age = aNow - mStopBegan;
  if (age < kStopAccepting) {
    return;
  }
  mCallers->StopAccepting();
  mCallers->CloseIdle();
  const bool idle = mCallers->InFlight() == 0 && mPeerCalls.empty();
  if (!idle && age < mSettings.mGrace - kStopReserve) {
    return;
  }
  mTick.Stop();
  mLog.Change(
    "node",
    "stopped",
    { { "after_ms", age.Whole() }, { "unfinished", mCallers->InFlight() } });
  mLog.Flush();
  mStopped();
}

} // namespace papayaway::sidecar
