// LocalTargetProxy: check-ins, the state of the target and the detection of its
// end.

#include <sidecar/LocalTargetProxy.h>

#include <algorithm>
#include <utility>

namespace papayaway::sidecar {

using gateway::TargetInfo;
using gateway::TargetState;
using Category = EventLog::Category;

namespace {

/** The maximum difference between the clocks of a target and its host. */
constexpr Millis kMaxClockDifference = Seconds(3600);
/** How long after a lost connection the target is probed: a process that ends
 *  closes its connections and its listener together, but not at one instant. */
constexpr Millis kProbeDelay{ 20 };
constexpr Millis kProbeTimeout = Seconds(1);
/** The shortest time between two probes. */
constexpr Millis kProbeInterval = Seconds(1);

/** @return when the process that checks in started, on the steady clock, or
 *    nothing if it does not say so. */
std::optional<Millis>
StartTime(const CheckIn& aCheckIn)
{
  if (aCheckIn.mStarted.mCount <= 0) {
    return std::nullopt;
  }
  return SteadyNow() - std::max(Millis{}, WallNow() - aCheckIn.mStarted);
}

const char*
StateName(TargetState aState)
{
  switch (aState) {
    case TargetState::Ready:
      return "ready";
    case TargetState::Draining:
      return "draining";
    case TargetState::Gone:
      break;
  }
  return "gone";
}

} // namespace

bool
LocalTargetProxy::OnCheckIn(const CheckIn& aCheckIn)
{
  const bool known = mTarget.has_value();
  const bool same = known && mTarget->mId == aCheckIn.mTarget.mId &&
                    mTargetStarted == aCheckIn.mStarted;
  const bool late = known && (same ? aCheckIn.mSequence <= mSequence
                                   : aCheckIn.mStarted.mCount > 0 &&
                                       aCheckIn.mStarted < mTargetStarted);
  const bool foreign = aCheckIn.mAddress != mOptions.mAddress ||
                       aCheckIn.mTarget.mService != mOptions.mService;
  const bool left =
    aCheckIn.mTarget.mState == TargetState::Ready && HasLeft(aCheckIn);
  // Accepting such a start time would make the true check-ins seem late.
  const bool future = aCheckIn.mStarted > WallNow() + kMaxClockDifference;
  if (late || foreign || left || future) {
    if (mLog.ShouldWrite("check_in_ignored", Category::Failure)) {
      mLog.Write("target",
                 "check_in_ignored",
                 { { "target", aCheckIn.mTarget.mId },
                   { "sequence", aCheckIn.mSequence },
                   { "newest", mSequence },
                   { "reason",
                     left     ? "left"
                     : late   ? "late"
                     : future ? "start time in the future"
                              : "another address or service" } });
    }
    return !foreign && !future;
  }
  mSequence = aCheckIn.mSequence;
  mColdUntil = SteadyNow() + aCheckIn.mColdLeft;
  const bool wasLimited = mColdLimiter.IsLimited(SteadyNow());
  mColdLimiter.OnReport(aCheckIn.mColdLeft, known && !same, SteadyNow());
  const bool limited = mColdLimiter.IsLimited(SteadyNow());
  if (limited != wasLimited &&
      mLog.ShouldWrite("cold_limit", Category::Failure)) {
    mLog.Write("target",
               "cold_limit",
               { { "target", aCheckIn.mTarget.mId },
                 { "limited", limited },
                 { "cold_left_ms", aCheckIn.mColdLeft.WholeMillis() } });
  }
  if (limited && !wasLimited) {
    // They would be handed back when a slot is free, which is too late for them
    // to be sent elsewhere.
    RefuseWaiting(kColdRateReason);
  }
  // A target that has announced that it leaves stays draining until it
  // restarts.
  const bool wasLeaving = same && mTarget->mState == TargetState::Draining;
  TargetInfo target = aCheckIn.mTarget;
  if (wasLeaving) {
    target.mState = TargetState::Draining;
  }
  if (same && target == *mTarget) {
    return true;
  }
  if (known && !same) {
    LogReplaced("check-in");
    mHandlers.mTargetEnded(StartTime(aCheckIn));
  }
  if (!same) {
    mTargetStarted = aCheckIn.mStarted;
    mClient.CloseIdle();
    mRunTimes = {};
    mSuccessRate = 1;
    mPaceDecided = false;
  }
  mTarget = target;
  mQueue.SetSlots(target.mSlots);
  DecidePace();
  if (target.mState == TargetState::Draining) {
    MergeLeftTargets(mLeftTargets, { AsLeft(target.mId) });
  }
  SetState(target.mState, "check-in");
  return true;
}

gateway::LeftTarget
LocalTargetProxy::AsLeft(const std::string& aTargetId) const
{
  const bool known =
    mTarget && mTarget->mId == aTargetId && mTargetStarted.mCount > 0;
  return { .mId = aTargetId,
           .mStartedUntil = known ? mTargetStarted : WallNow() };
}

void
LocalTargetProxy::OnLeave(const std::string& aTargetId)
{
  // Stored even if the target is still unknown to this process: a check-in sent
  // before the announcement must not make it ready again.
  OnLeftTargets({ AsLeft(aTargetId) });
}

void
LocalTargetProxy::OnLeftTargets(const std::vector<gateway::LeftTarget>& aLeft)
{
  if (!MergeLeftTargets(mLeftTargets, aLeft)) {
    return;
  }
  const bool targetLeft =
    mTarget && std::any_of(aLeft.begin(), aLeft.end(), [&](const auto& aEntry) {
      return aEntry.mId == mTarget->mId &&
             mTargetStarted <= aEntry.mStartedUntil;
    });
  if (targetLeft && mTarget->mState != TargetState::Draining) {
    SetState(TargetState::Draining, "left");
  } else {
    mHandlers.mStateChanged();
  }
}

bool
LocalTargetProxy::HasLeft(const CheckIn& aCheckIn) const
{
  // Compares times because a restarted target may use the same id.
  return std::any_of(
    mLeftTargets.begin(), mLeftTargets.end(), [&](const auto& aEntry) {
      return aEntry.mId == aCheckIn.mTarget.mId &&
             aCheckIn.mStarted <= aEntry.mStartedUntil;
    });
}

void
LocalTargetProxy::SetState(TargetState aState, const char* aReason)
{
  mTarget->mState = aState;
  mLog.WriteStateChange("target",
                        "target_state",
                        { { "target", mTarget->mId },
                          { "service", mTarget->mService },
                          { "version", mTarget->mVersion },
                          { "slots", mTarget->mSlots },
                          { "sequence", mSequence },
                          { "state", StateName(aState) },
                          { "reason", aReason } });
  if (aState != TargetState::Ready) {
    RefuseWaiting("target_leaving");
  }
  mHandlers.mStateChanged();
}

void
LocalTargetProxy::OnRefusedConnection(const char* aReason)
{
  mColdLimiter.OnProcessLost(SteadyNow());
  mHandlers.mTargetEnded(std::nullopt);
  // A target that leaves stays draining, because check-ins that it sent before
  // may still arrive.
  if (mTarget->mState == TargetState::Ready) {
    SetState(TargetState::Gone, aReason);
  }
}

void
LocalTargetProxy::ScheduleProbe()
{
  if (mProbe || mProbeScheduled) {
    return;
  }
  mProbeScheduled = true;
  mProbeTimer.StartOnce(
    std::max(kProbeDelay, mLastProbe + kProbeInterval - SteadyNow()));
}

void
LocalTargetProxy::StartProbe()
{
  mProbeScheduled = false;
  if (mTarget->mState == TargetState::Gone) {
    return;
  }
  mLastProbe = SteadyNow();
  mProbe = std::make_unique<ConnectProbe>(
    mLoop, mOptions.mAddress, kProbeTimeout, [this](ProbeResult aResult) {
      OnProbeEnded(aResult);
    });
}

void
LocalTargetProxy::OnProbeEnded(ProbeResult aResult)
{
  // Destroyed later, because this is its callback.
  mLoop.Defer([probe = std::shared_ptr<ConnectProbe>(std::move(mProbe))] {});
  if (aResult == ProbeResult::Refused) {
    OnRefusedConnection("refused a probe");
  }
}

void
LocalTargetProxy::LogReplaced(const char* aEvidence)
{
  if (mLog.ShouldWrite("target_replaced", Category::Failure)) {
    mLog.Write("target",
               "target_replaced",
               { { "target", mTarget->mId },
                 { "state", StateName(mTarget->mState) },
                 { "evidence", aEvidence } });
  }
}

} // namespace papayaway::sidecar
