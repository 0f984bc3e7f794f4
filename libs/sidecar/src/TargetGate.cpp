#include <sidecar/TargetGate.h>

#include <algorithm>
#include <cmath>

#include <http/HttpText.h>

namespace papayaway::sidecar {

using gateway::SlotActions;
using gateway::SlotRequest;
using gateway::TargetInfo;
using gateway::TargetLoad;
using gateway::TargetState;
using Weight = EventLog::Weight;

namespace {

/** A target that is sent less time can hardly answer. */
constexpr Millis kLeastTimeLeft{ 5 };
/** The target ends a request at its deadline by itself; its answer gets this
 *  much more time to arrive. */
constexpr Millis kAnswerGrace{ 60 };
constexpr Millis kQueueTickPeriod{ 20 };
/** Requests that may wait. Their deadlines bound how long; this bounds the
 *  memory. */
constexpr int kMaxWaiting = 200;
/** Targets that left and are remembered; few follow each other on a host. */
constexpr std::size_t kMaxLeft = 100;

} // namespace

TargetGate::TargetGate(EventLoop& aLoop,
                       TargetGateOptions aOptions,
                       const PlatformPort& aPort,
                       TargetGateHandlers aHandlers,
                       EventLog& aLog,
                       SidecarMetrics& aMetrics)
  : mOptions(std::move(aOptions))
  , mPort(aPort)
  , mHandlers(std::move(aHandlers))
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mClient(aLoop,
            { .mAnswers =
                [&aPort](const HttpMessage& aMessage, const std::string& aId) {
                  return aMessage.mHeaders.Value(aPort.Headers().mRequestId) ==
                         aId;
                } })
  , mTimer(aLoop, [this] { OnTimer(); })
  , mQueueTick(aLoop, [this] {
    Apply(mQueue.OnTick(SteadyNow()));
    if (mQueue.Waiting() == 0) {
      mTicking = false;
      mQueueTick.Stop();
    }
  })
{
}

TargetGate::~TargetGate() = default;

void
TargetGate::OnCheckIn(const CheckIn& aCheckIn)
{
  const bool known = mTarget.has_value();
  const bool same = known && mTarget->mId == aCheckIn.mTarget.mId &&
                    mTargetStarted == aCheckIn.mStarted;
  const bool late = known && (same ? aCheckIn.mSequence <= mSequence
                                   : aCheckIn.mStarted.mCount > 0 &&
                                       aCheckIn.mStarted < mTargetStarted);
  const bool foreign = aCheckIn.mAddress != mOptions.mAddress ||
                       aCheckIn.mTarget.mService != mOptions.mService;
  const bool left = HasLeft(aCheckIn);
  if (late || foreign || left) {
    if (mLog.Wants("check_in_ignored", Weight::Failure)) {
      mLog.Write("target",
                 "check_in_ignored",
                 { { "target", aCheckIn.mTarget.mId },
                   { "sequence", aCheckIn.mSequence },
                   { "newest", mSequence },
                   { "reason",
                     left   ? "left"
                     : late ? "late"
                            : "another address or service" } });
    }
    return;
  }
  mSequence = aCheckIn.mSequence;
  mColdUntil = SteadyNow() + aCheckIn.mColdLeft;
  // A target that said that it leaves does not come back in one lifetime.
  const bool wasLeaving = same && mTarget->mState == TargetState::Draining;
  TargetInfo target = aCheckIn.mTarget;
  if (wasLeaving) {
    target.mState = TargetState::Draining;
  }
  if (same && target == *mTarget) {
    return;
  }
  // A target that crashes may be back before a connection is refused.
  if (known && !same && mTarget->mState == TargetState::Ready) {
    mHandlers.mVanished();
  }
  if (!same) {
    mTargetStarted = aCheckIn.mStarted;
    mClient.CloseIdle();
    mRunTimes = {};
    mSuccess = 1;
  }
  mTarget = target;
  mQueue.SetSlots(target.mSlots);
  SetState(target.mState, "check-in");
}

void
TargetGate::OnLeave(const std::string& aTargetId)
{
  // Remembered also if this process does not know the target yet: a check-in
  // that was sent before must not revive it.
  if (mLeft.size() >= kMaxLeft) {
    mLeft.clear();
  }
  mLeft[aTargetId] = WallNow();
  if (mTarget && mTarget->mId == aTargetId) {
    SetState(TargetState::Draining, "left");
  }
}

bool
TargetGate::HasLeft(const CheckIn& aCheckIn) const
{
  const auto left = mLeft.find(aCheckIn.mTarget.mId);
  // A target may start again under its id.
  return left != mLeft.end() && aCheckIn.mStarted <= left->second;
}

void
TargetGate::SetState(TargetState aState, const char* aReason)
{
  mTarget->mState = aState;
  mLog.Change("target",
              "target_state",
              { { "target", mTarget->mId },
                { "service", mTarget->mService },
                { "version", mTarget->mVersion },
                { "slots", mTarget->mSlots },
                { "sequence", mSequence },
                { "state",
                  aState == TargetState::Ready      ? "ready"
                  : aState == TargetState::Draining ? "draining"
                                                    : "gone" },
                { "reason", aReason } });
  if (aState != TargetState::Ready) {
    RefuseWaiting("target_leaving");
  }
  mHandlers.mStateChanged();
}

void
TargetGate::RefuseWaiting(const char* aReason)
{
  for (const CallId id : mQueue.TakeWaiting()) {
    Refuse(id, aReason);
  }
}

const char*
TargetGate::WhyNot(const CallMessage& aCall) const
{
  if (!mTarget || mTarget->mState != TargetState::Ready) {
    return "target_not_ready";
  }
  if (mTarget->mService != aCall.mService) {
    return "other_service";
  }
  const bool sameVersion = mTarget->mVersion == aCall.mVersion;
  if ((aCall.mVersionRule == VersionRule::Only && !sameVersion) ||
      (aCall.mVersionRule == VersionRule::AllBut && sameVersion)) {
    return "other_version";
  }
  if (!mHandlers.mVersionTakesRequests(*mTarget)) {
    return "version_replaced";
  }
  if (mQueue.Waiting() >= kMaxWaiting) {
    return "queue_full";
  }
  if (mHandlers.mIsQuarantined(aCall)) {
    return "quarantined";
  }
  return nullptr;
}

TargetGate::CallId
TargetGate::Serve(CallMessage aCall, Callback aCallback)
{
  const CallId id = mNextId++;
  const Millis now = SteadyNow();
  const Millis deadline = now + aCall.mTimeLeft;
  const double slowdown = Slowdown();
  const SlotRequest request{ .mId = id,
                             .mPriority = aCall.mPriority,
                             .mDeadline = deadline,
                             .mObjective = now + aCall.mObjectiveLeft,
                             .mRunTime =
                               mRunTimes.Mean(aCall.mRoute) * slowdown,
                             .mMostRunTime =
                               mRunTimes.Most(aCall.mRoute) * slowdown };
  const char* const reason = WhyNot(aCall);
  mServing.emplace(id,
                   Serving{ .mCall = std::move(aCall),
                            .mCallback = std::move(aCallback),
                            .mArrived = now,
                            .mDeadline = deadline });
  if (reason != nullptr) {
    Refuse(id, reason);
    return id;
  }
  mDeadlines.emplace(deadline, id);
  ArmTimer();
  Apply(mQueue.Offer(request, now));
  if (mQueue.Waiting() > 0 && !mTicking) {
    mTicking = true;
    mQueueTick.StartRepeating(kQueueTickPeriod);
  }
  return id;
}

void
TargetGate::Apply(const SlotActions& aActions)
{
  for (const CallId id : aActions.mStart) {
    Start(id);
  }
  for (const CallId id : aActions.mRefuse) {
    Refuse(id, "no_slot_in_time");
  }
}

void
TargetGate::Start(CallId aId)
{
  Serving& serving = mServing.at(aId);
  const CallMessage& call = serving.mCall;
  const HeaderNames& names = mPort.Headers();
  const Millis now = SteadyNow();
  const Millis left = std::max(kLeastTimeLeft, serving.mDeadline - now);
  TargetRequest request{ .mAddress = mOptions.mAddress,
                         .mMessage = { .mMethod = call.mMethod,
                                       .mTarget = call.mTarget,
                                       .mHeaders = call.mHeaders,
                                       .mBody = call.mBody },
                         .mRequestId = call.mRequestId };
  request.mMessage.mHeaders.Set(names.mTimeLeft, std::to_string(left.Whole()));
  request.mMessage.mHeaders.Set(names.mTargetId, mTarget->mId);
  serving.mStarted = now;
  serving.mAtTarget = true;
  serving.mClientCall =
    mClient.Send(request, [this, aId](TargetResult aResult) {
      OnResult(aId, std::move(aResult));
    });
}

void
TargetGate::FreeSlot()
{
  Apply(mQueue.OnFinished(SteadyNow()));
}

void
TargetGate::Observe(const Serving& aServing, int aStatus, Millis aTime)
{
  const bool failed = aStatus >= 500;
  mSuccess =
    mSuccess * (1 - kSuccessWeight) + (failed ? 0 : 1) * kSuccessWeight;
  if (!failed) {
    mRunTimes.OnRun(aServing.mCall.mRoute, aTime);
  }
  mHandlers.mRan({ .mService = mTarget->mService,
                   .mVersion = mTarget->mVersion,
                   .mRoute = aServing.mCall.mRoute,
                   .mFailed = failed,
                   .mCold = SteadyNow() < mColdUntil,
                   .mTime = aTime });
}

void
TargetGate::OnResult(CallId aId, TargetResult aResult)
{
  const Serving& serving = mServing.at(aId);
  const Millis now = SteadyNow();
  const Millis time = now - serving.mStarted;
  mLastRunEnd = now;
  ReplyMessage reply{ .mReachedTarget = true };
  const HttpMessage& response = aResult.mResponse;
  if (aResult.mEnd == TargetEnd::NotConnected) {
    reply.mOutcome = CallOutcome::NotRun;
    reply.mReachedTarget = false;
    reply.mReason = "target_refused_connection";
    if (mTarget->mState == TargetState::Ready) {
      mHandlers.mVanished();
      SetState(TargetState::Gone, "refused a connection");
    }
  } else if (aResult.mEnd == TargetEnd::Lost) {
    reply.mOutcome = CallOutcome::Unknown;
    reply.mReason = "target_connection_lost";
    mHandlers.mLost(serving.mCall);
    mSuccess *= 1 - kSuccessWeight;
  } else if (response.mStatus == 421) {
    reply.mOutcome = CallOutcome::NotRun;
    reply.mReason = "another_target";
    if (mTarget->mState == TargetState::Ready) {
      SetState(TargetState::Gone, "another target has the address");
    }
  } else if (response.mHeaders.Contains(mPort.Headers().mNotRun)) {
    reply.mOutcome = CallOutcome::NotRun;
    reply.mStatus = response.mStatus;
    reply.mReason = "target_shed";
    mSuccess *= 1 - kSuccessWeight;
    mLastAnswer = now;
  } else {
    reply.mOutcome = CallOutcome::Answered;
    reply.mStatus = response.mStatus;
    reply.mHeaders = EndToEndHeaders(response.mHeaders);
    reply.mHeaders.Remove(mPort.Headers().mLoad);
    mLastAnswer = now;
    mHandlers.mAnswered(serving.mCall);
    Observe(serving, response.mStatus, time);
    reply.mBody = std::move(aResult.mResponse.mBody);
  }
  const std::string outcome = reply.mOutcome == CallOutcome::Answered
                                ? std::to_string(reply.mStatus / 100) + "xx"
                                : reply.mReason;
  mMetrics.OnRun(outcome, time);
  const bool good =
    reply.mOutcome == CallOutcome::Answered && reply.mStatus < 500;
  if (mLog.Wants("ran", good ? Weight::Success : Weight::Failure)) {
    mLog.Write("target",
               "ran",
               { { "request", serving.mCall.mRequestId },
                 { "target", mTarget->mId },
                 { "outcome", outcome },
                 { "status", reply.mStatus },
                 { "waited_ms", (serving.mStarted - serving.mArrived).Whole() },
                 { "run_ms", time.Whole() },
                 { "running", mQueue.Running() },
                 { "waiting", mQueue.Waiting() },
                 { "reused_connection", aResult.mReusedConnection } });
  }
  const auto report = mPort.DecodeLoad(response.mHeaders);
  Finish(aId, std::move(reply));
  FreeSlot();
  if (report) {
    OnReport(*report);
  }
}

void
TargetGate::Refuse(CallId aId, const char* aReason)
{
  const auto found = mServing.find(aId);
  if (found == mServing.end()) {
    return;
  }
  const Serving& serving = found->second;
  if (mLog.Wants("not_started", Weight::Failure)) {
    mLog.Write(
      "target",
      "not_started",
      { { "request", serving.mCall.mRequestId },
        { "reason", aReason },
        { "priority", serving.mCall.mPriority },
        { "running", mQueue.Running() },
        { "waiting", mQueue.Waiting() },
        { "slots", mQueue.Slots() },
        { "waited_ms", (SteadyNow() - serving.mArrived).Whole() },
        { "objective_left_ms",
          (serving.mArrived + serving.mCall.mObjectiveLeft - SteadyNow())
            .Whole() } });
  }
  ReplyMessage reply{ .mOutcome = CallOutcome::NotRun,
                      .mReason = aReason,
                      .mRetryAfter = mQueue.ExpectedWait(
                        serving.mCall.mPriority,
                        mRunTimes.Mean(serving.mCall.mRoute)) };
  Finish(aId, std::move(reply));
}

void
TargetGate::Finish(CallId aId, ReplyMessage aReply)
{
  const auto found = mServing.find(aId);
  if (found == mServing.end()) {
    return;
  }
  const Serving serving = std::move(found->second);
  mServing.erase(found);
  mDeadlines.erase({ serving.mDeadline, aId });
  aReply.mId = serving.mCall.mId;
  aReply.mLoad = Load();
  serving.mCallback(std::move(aReply));
}

void
TargetGate::Cancel(CallId aId)
{
  const auto found = mServing.find(aId);
  if (found == mServing.end()) {
    return;
  }
  const Serving serving = std::move(found->second);
  mServing.erase(found);
  mDeadlines.erase({ serving.mDeadline, aId });
  if (serving.mAtTarget) {
    mClient.Cancel(serving.mClientCall);
    FreeSlot();
  } else {
    mQueue.Cancel(aId);
  }
}

void
TargetGate::ArmTimer()
{
  if (!mDeadlines.empty()) {
    const Millis left = mDeadlines.begin()->first + kAnswerGrace - SteadyNow();
    mTimer.StartOnce(std::max(left, Millis{ 1 }));
  }
}

void
TargetGate::OnTimer()
{
  const Millis now = SteadyNow();
  while (!mDeadlines.empty() &&
         mDeadlines.begin()->first + kAnswerGrace <= now) {
    const CallId id = mDeadlines.begin()->second;
    mDeadlines.erase(mDeadlines.begin());
    const auto found = mServing.find(id);
    if (found == mServing.end()) {
      continue;
    }
    const Serving& serving = found->second;
    if (!serving.mAtTarget) {
      mQueue.Cancel(id);
      Refuse(id, "deadline_while_waiting");
      continue;
    }
    mClient.Cancel(serving.mClientCall);
    mSuccess *= 1 - kSuccessWeight;
    mMetrics.OnRun("deadline", now - serving.mStarted);
    if (mLastAnswer < serving.mStarted) {
      // Nothing came since: the open connections may have gone silent.
      mClient.CloseIdle();
    }
    Finish(id,
           { .mOutcome = CallOutcome::Unknown,
             .mReason = "target_silent_at_deadline",
             .mReachedTarget = true });
    FreeSlot();
  }
  ArmTimer();
}

} // namespace papayaway::sidecar
