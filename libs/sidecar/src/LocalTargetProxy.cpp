#include <sidecar/LocalTargetProxy.h>

#include <algorithm>
#include <utility>
#include <vector>

#include <http/HttpText.h>

namespace papayaway::sidecar {

using gateway::SlotActions;
using gateway::SlotRequest;
using gateway::TargetState;
using Category = EventLog::Category;

namespace {

/** The shortest timeout sent to a target with a request, even if the deadline
 *  is nearer; with less time, the target can hardly answer. */
constexpr Millis kMinTimeLeft{ 5 };
/** The target itself ends a request at the deadline. Its response is accepted
 *  for this long after the deadline, to allow for the transfer. */
constexpr Millis kResponseGrace{ 60 };
/** How often waiting requests are checked for whether they can still be
 *  answered in time. */
constexpr Millis kQueueTimerPeriod{ 20 };
/** The maximum number of waiting requests, which limits memory use. Their
 *  waiting time is limited by their deadlines. */
constexpr int kMaxWaiting = 200;
/** A request is handed back if only such a slow period of the target would let
 *  it miss its objective. */
constexpr double kHandBackSlowdown = 1.5;
/** The fraction of a run that is left when its calls have ended; an estimate,
 *  because targets do not report when they make calls. */
constexpr double kRunAfterCalls = 0.5;
/** Why a request is refused whose calls would probably be refused. */
constexpr const char* kCallsRefused = "calls_refused";

} // namespace

LocalTargetProxy::LocalTargetProxy(EventLoop& aLoop,
                                   LocalTargetProxyOptions aOptions,
                                   const PlatformProtocol& aProtocol,
                                   LocalTargetProxyHandlers aHandlers,
                                   EventLog& aLog,
                                   SidecarMetrics& aMetrics)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mProtocol(aProtocol)
  , mHandlers(std::move(aHandlers))
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mClient(
      aLoop,
      { .mMatchesRequest =
          [&aProtocol](const HttpMessage& aMessage, const std::string& aId) {
            return aMessage.mHeaders.Value(aProtocol.Headers().mRequestId) ==
                   aId;
          } })
  , mColdLimiter(mOptions.mColdRate, SteadyNow())
  , mDeadlineTimer(aLoop, [this] { OnDeadlineTimer(); })
  , mQueueTimer(aLoop,
                [this] {
                  Apply(mQueue.OnTick(SteadyNow()));
                  if (mQueue.Waiting() == 0) {
                    mQueueTimerActive = false;
                    mQueueTimer.Stop();
                  }
                })
  , mProbeTimer(aLoop, [this] { StartProbe(); })
{
}

LocalTargetProxy::~LocalTargetProxy() = default;

void
LocalTargetProxy::RefuseWaiting(const char* aReason)
{
  for (const CallId id : mQueue.TakeWaiting()) {
    Refuse(id, aReason);
  }
}

void
LocalTargetProxy::RefuseMisplaced()
{
  std::vector<std::pair<CallId, const char*>> refused;
  for (const auto& [id, active] : mActiveCalls) {
    if (active.mSentToTarget) {
      continue;
    }
    if (const char* const reason = mHandlers.mPlacementRefusal(active.mCall)) {
      refused.emplace_back(id, reason);
    }
  }
  // All leave the queue before the first callback runs: it may send the request
  // elsewhere or end others of its connection.
  for (const auto& [id, reason] : refused) {
    mQueue.Cancel(id);
  }
  for (const auto& [id, reason] : refused) {
    mMetrics.mPlacementRefusals.Increment();
    Refuse(id, reason);
  }
}

const char*
LocalTargetProxy::RefusalReason(const CallMessage& aCall) const
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
  if (const char* const reason = mHandlers.mPlacementRefusal(aCall)) {
    mMetrics.mPlacementRefusals.Increment();
    return reason;
  }
  if (mQueue.Waiting() >= kMaxWaiting) {
    return "queue_full";
  }
  if (mHandlers.mIsQuarantined(aCall)) {
    return "quarantined";
  }
  return ExceededLimit(SteadyNow());
}

LocalTargetProxy::CallId
LocalTargetProxy::Serve(CallMessage aCall, Callback aCallback)
{
  const CallId id = mNextId++;
  const Millis now = SteadyNow();
  const Millis deadline = now + aCall.mTimeLeft;
  const double reportedSlowdown = mPresentSpeed.Slowdown(now);
  const double slowdown = std::max(Slowdown(), reportedSlowdown);
  const SlotRequest request{
    .mId = id,
    .mPriority = aCall.mPriority,
    .mNestedCall = aCall.mNestedCall,
    .mDeadline = deadline,
    .mObjective = now + aCall.mObjectiveLeft,
    .mRunTime = mRunTimes.Mean(aCall.mRoute) * slowdown,
    .mRunTimeP75 = mRunTimes.Percentile75(aCall.mRoute) * slowdown,
    .mTenant = aCall.mTenant,
    .mWeight =
      aCall.mTenant.empty() ? 1 : mHandlers.mTenantWeight(aCall.mTenant)
  };
  const char* const reason = RefusalReason(aCall);
  mActiveCalls.emplace(id,
                       ActiveCall{ .mCall = std::move(aCall),
                                   .mCallback = std::move(aCallback),
                                   .mArrivedAt = now,
                                   .mDeadline = deadline });
  if (reason != nullptr) {
    Refuse(id, reason);
    return id;
  }
  if (reportedSlowdown >= kHandBackSlowdown &&
      now + request.mRunTimeP75 > request.mObjective &&
      now + request.mRunTimeP75 * (1 / reportedSlowdown) <=
        request.mObjective) {
    // Most other targets are not slow now and may answer in time.
    Refuse(id, "target_slow");
    return id;
  }
  const ActiveCall& active = mActiveCalls.at(id);
  if (!active.mCall.mNestedCall &&
      !mCallAdmission.TryAdmit(active.mCall.mRoute, now)) {
    mMetrics.mParentsRefused.Increment();
    Refuse(id, kCallsRefused);
    return id;
  }
  mDeadlines.emplace(deadline, id);
  ArmDeadlineTimer();
  Apply(mQueue.Offer(request, now));
  if (mQueue.Waiting() > 0 && !mQueueTimerActive) {
    mQueueTimerActive = true;
    mQueueTimer.StartRepeating(kQueueTimerPeriod);
  }
  return id;
}

void
LocalTargetProxy::Apply(const SlotActions& aActions)
{
  for (const CallId id : aActions.mStart) {
    Start(id);
  }
  for (const CallId id : aActions.mRefuse) {
    const auto found = mActiveCalls.find(id);
    if (found != mActiveCalls.end() && !found->second.mCall.mNestedCall) {
      mCallAdmission.OnNotStarted(found->second.mCall.mRoute);
    }
    Refuse(id, "no_slot_in_time");
  }
}

void
LocalTargetProxy::Start(CallId aId)
{
  const Millis now = SteadyNow();
  if (const char* const limit = ExceededLimit(now)) {
    // The target became cold, or others were started, while the call waited.
    Refuse(aId, limit);
    FreeSlot();
    return;
  }
  mColdLimiter.OnSent(now);
  mPace.OnSent(now);
  ActiveCall& active = mActiveCalls.at(aId);
  const CallMessage& call = active.mCall;
  const HeaderNames& names = mProtocol.Headers();
  const Millis timeLeft = std::max(kMinTimeLeft, active.mDeadline - now);
  TargetRequest request{ .mAddress = mOptions.mAddress,
                         .mMessage = { .mMethod = call.mMethod,
                                       .mTarget = call.mTarget,
                                       .mHeaders = call.mHeaders,
                                       .mBody = call.mBody },
                         .mRequestId = call.mRequestId };
  request.mMessage.mHeaders.Set(names.mTimeLeft,
                                std::to_string(timeLeft.WholeMillis()));
  request.mMessage.mHeaders.Set(names.mTargetId, mTarget->mId);
  if (!call.mTenant.empty()) {
    request.mMessage.mHeaders.Set(names.mTenant, call.mTenant);
  }
  active.mStartedAt = now;
  active.mSlowdownAtStart = mPresentSpeed.Slowdown(now);
  active.mSentToTarget = true;
  mCallParents.OnStarted(
    aId,
    { .mRoute = call.mRoute,
      .mPriority = call.mPriority,
      .mDeadline = now + timeLeft,
      .mTimeLeft{ static_cast<double>(timeLeft.WholeMillis()) },
      .mCallObjective = active.mArrivedAt + call.mObjectiveLeft -
                        mRunTimes.Mean(call.mRoute) * kRunAfterCalls });
  active.mClientCall = mClient.Send(request, [this, aId](TargetResult aResult) {
    OnResult(aId, std::move(aResult));
  });
}

void
LocalTargetProxy::FreeSlot()
{
  Apply(mQueue.OnFinished(SteadyNow()));
}

void
LocalTargetProxy::RecordRun(const ActiveCall& aActive,
                            int aStatus,
                            Millis aTime)
{
  const bool failed = aStatus >= 500;
  mSuccessRate =
    mSuccessRate * (1 - kSuccessWeight) + (failed ? 0 : 1) * kSuccessWeight;
  if (!failed) {
    const double slowdown =
      (aActive.mSlowdownAtStart + mPresentSpeed.Slowdown(SteadyNow())) / 2;
    mRunTimes.OnRun(aActive.mCall.mRoute, aTime * (1 / slowdown));
    mPromises.OnServed(SteadyNow());
  }
  mHandlers.mRunFinished({ .mService = mTarget->mService,
                           .mVersion = mTarget->mVersion,
                           .mRoute = aActive.mCall.mRoute,
                           .mFailed = failed,
                           .mCold = SteadyNow() < mColdUntil,
                           .mTime = aTime });
}

void
LocalTargetProxy::OnResult(CallId aId, TargetResult aResult)
{
  const ActiveCall& active = mActiveCalls.at(aId);
  const Millis now = SteadyNow();
  const Millis time = now - active.mStartedAt;
  mLastRunEnd = now;
  ReplyMessage reply{ .mReachedTarget = true };
  const HttpMessage& response = aResult.mResponse;
  if (aResult.mOutcome == TargetOutcome::NotConnected) {
    reply.mOutcome = CallOutcome::NotRun;
    reply.mReachedTarget = false;
    reply.mReason = "target_refused_connection";
    mColdLimiter.OnNotCounted(active.mStartedAt);
    OnRefusedConnection("refused a connection");
  } else if (aResult.mOutcome == TargetOutcome::ConnectionLost) {
    reply.mOutcome = CallOutcome::Unknown;
    reply.mReason = "target_connection_lost";
    mHandlers.mCallLost(active.mCall);
    mColdLimiter.OnProcessLost(now);
    ScheduleProbe();
    mSuccessRate *= 1 - kSuccessWeight;
  } else if (response.mStatus == 421) {
    reply.mOutcome = CallOutcome::NotRun;
    reply.mReason = "another_target";
    mColdLimiter.OnNotCounted(active.mStartedAt);
    mColdLimiter.OnProcessLost(now);
    LogReplaced("rejected a request for its predecessor");
    mHandlers.mTargetEnded(std::nullopt);
    if (mTarget->mState == TargetState::Ready) {
      SetState(TargetState::Gone, "another target has the address");
    }
  } else if (response.mHeaders.Contains(mProtocol.Headers().mNotRun)) {
    reply.mOutcome = CallOutcome::NotRun;
    reply.mStatus = response.mStatus;
    reply.mReason = "target_shed";
    mSuccessRate *= 1 - kSuccessWeight;
    mLastResponseAt = now;
  } else {
    reply.mOutcome = CallOutcome::Answered;
    reply.mStatus = response.mStatus;
    reply.mHeaders = EndToEndHeaders(response.mHeaders);
    reply.mHeaders.Remove(mProtocol.Headers().mLoad);
    if (mColdLimiter.HasRate()) {
      reply.mHeaders.Remove(mProtocol.Headers().mColdLeft);
    }
    mLastResponseAt = now;
    mHandlers.mAnswered(active.mCall, active.mStartedAt);
    RecordRun(active, response.mStatus, time);
    reply.mBody = std::move(aResult.mResponse.mBody);
  }
  const std::string outcome = reply.mOutcome == CallOutcome::Answered
                                ? std::to_string(reply.mStatus / 100) + "xx"
                                : reply.mReason;
  mMetrics.OnRun(outcome, time);
  const bool good =
    reply.mOutcome == CallOutcome::Answered && reply.mStatus < 500;
  if (mLog.ShouldWrite("ran", good ? Category::Success : Category::Failure)) {
    nlohmann::ordered_json fields = {
      { "request", active.mCall.mRequestId },
      { "target", mTarget->mId },
      { "outcome", outcome },
      { "status", reply.mStatus },
      { "waited_ms", (active.mStartedAt - active.mArrivedAt).WholeMillis() },
      { "run_ms", time.WholeMillis() },
      { "running", mQueue.Running() },
      { "waiting", mQueue.Waiting() },
      { "reused_connection", aResult.mReusedConnection }
    };
    if (aResult.mOutcome == TargetOutcome::ConnectionLost) {
      fields["cause"] = ToString(aResult.mLossCause);
    }
    mLog.Write("target", "ran", fields);
  }
  const auto report = mProtocol.DecodeLoad(response.mHeaders);
  OnColdHeader(response.mHeaders);
  OnPacedResult(active, reply);
  Finish(aId, std::move(reply));
  FreeSlot();
  if (report) {
    OnLoadReport(*report);
  }
}

void
LocalTargetProxy::Refuse(CallId aId, const char* aReason)
{
  const auto found = mActiveCalls.find(aId);
  if (found == mActiveCalls.end()) {
    return;
  }
  const ActiveCall& active = found->second;
  if (mLog.ShouldWrite("not_started", Category::Failure)) {
    mLog.Write(
      "target",
      "not_started",
      { { "request", active.mCall.mRequestId },
        { "reason", aReason },
        { "priority", active.mCall.mPriority },
        { "running", mQueue.Running() },
        { "waiting", mQueue.Waiting() },
        { "slots", mQueue.Slots() },
        { "waited_ms", (SteadyNow() - active.mArrivedAt).WholeMillis() },
        { "objective_left_ms",
          (active.mArrivedAt + active.mCall.mObjectiveLeft - SteadyNow())
            .WholeMillis() } });
  }
  ReplyMessage reply{ .mOutcome = CallOutcome::NotRun,
                      .mReason = aReason,
                      .mRetryAfter = RetryAfterOf(active) };
  if (aReason == kColdRateReason || aReason == kPaceReason) {
    const Millis now = SteadyNow();
    mColdLimiter.OnHandedBack(now);
    mMetrics.OnHandedBack(aReason);
    reply.mRetryAfter =
      std::max(reply.mRetryAfter, mColdLimiter.TimeToAdmission(now));
  }
  Finish(aId, std::move(reply));
}

void
LocalTargetProxy::Finish(CallId aId, ReplyMessage aReply)
{
  const auto found = mActiveCalls.find(aId);
  if (found == mActiveCalls.end()) {
    return;
  }
  const ActiveCall active = std::move(found->second);
  mActiveCalls.erase(found);
  mDeadlines.erase({ active.mDeadline, aId });
  mCallParents.OnEnded(aId);
  aReply.mId = active.mCall.mId;
  aReply.mLoad = Load();
  active.mCallback(std::move(aReply));
}

void
LocalTargetProxy::Cancel(CallId aId)
{
  const auto found = mActiveCalls.find(aId);
  if (found == mActiveCalls.end()) {
    return;
  }
  const ActiveCall active = std::move(found->second);
  mActiveCalls.erase(found);
  mDeadlines.erase({ active.mDeadline, aId });
  mCallParents.OnEnded(aId);
  const char* const state = active.mSentToTarget ? "running" : "waiting";
  mMetrics.OnCancelled(state);
  if (mLog.ShouldWrite("cancelled", Category::Failure)) {
    mLog.Write("target",
               "cancelled",
               { { "request", active.mCall.mRequestId },
                 { "state", state },
                 { "age_ms", (SteadyNow() - active.mArrivedAt).WholeMillis() },
                 { "running", mQueue.Running() },
                 { "waiting", mQueue.Waiting() } });
  }
  if (active.mSentToTarget) {
    mHandlers.mCallLost(active.mCall);
    mClient.Cancel(active.mClientCall);
    FreeSlot();
  } else {
    mQueue.Cancel(aId);
  }
}

void
LocalTargetProxy::Withdraw(CallId aId)
{
  if (mQueue.Cancel(aId)) {
    Refuse(aId, "withdrawn");
  }
}

void
LocalTargetProxy::ArmDeadlineTimer()
{
  if (!mDeadlines.empty()) {
    const Millis timeLeft =
      mDeadlines.begin()->first + kResponseGrace - SteadyNow();
    mDeadlineTimer.StartOnce(std::max(timeLeft, Millis{ 1 }));
  }
}

void
LocalTargetProxy::OnDeadlineTimer()
{
  const Millis now = SteadyNow();
  while (!mDeadlines.empty() &&
         mDeadlines.begin()->first + kResponseGrace <= now) {
    const CallId id = mDeadlines.begin()->second;
    mDeadlines.erase(mDeadlines.begin());
    const auto found = mActiveCalls.find(id);
    if (found == mActiveCalls.end()) {
      continue;
    }
    const ActiveCall& active = found->second;
    if (!active.mSentToTarget) {
      mQueue.Cancel(id);
      Refuse(id, "deadline_while_waiting");
      continue;
    }
    mClient.Cancel(active.mClientCall);
    mHandlers.mCallLost(active.mCall);
    mSuccessRate *= 1 - kSuccessWeight;
    OnPacedResult(active, { .mOutcome = CallOutcome::Unknown });
    mMetrics.OnRun("deadline", now - active.mStartedAt);
    if (mLastResponseAt < active.mStartedAt) {
      // The target has answered nothing since this request was sent, so its
      // open connections may no longer work.
      mClient.CloseIdle();
    }
    Finish(id,
           { .mOutcome = CallOutcome::Unknown,
             .mReason = "target_silent_at_deadline",
             .mReachedTarget = true });
    FreeSlot();
  }
  ArmDeadlineTimer();
}

} // namespace papayaway::sidecar
