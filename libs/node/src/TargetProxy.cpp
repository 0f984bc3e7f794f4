#include "TargetProxy.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include <net/Http.h>

#include "Outcomes.h"
#include "QuarantineAgent.h"

namespace papayaway {

namespace {

/** Bounds the memory of queued calls; their deadlines bound how long they are
 *  queued. */
constexpr std::size_t kMaxQueued = 64;
constexpr Millis kQueueCheckPeriod{ 5 };
constexpr Millis kKeyExpiryPeriod = Seconds(10);

/** Shortest time between two log lines about lost responses. */
constexpr double kLossLogPeriodSeconds = 0.1;

/** Logs why the target's response to a call was lost, with the id that the
 *  caller gave the request, if any. */
void
LogLoss(const Call& aCall,
        const std::string& aFingerprint,
        const std::string& aCause)
{
  std::string_view id;
  for (const auto& [name, value] : aCall.mHeaders) {
    if (EqualIgnoringCase(name, kRequestIdHeader)) {
      id = value;
    }
  }
  LOG_EVERY_T(WARNING, kLossLogPeriodSeconds)
    << "target: no response to request " << (IsToken(id) ? id : "without id")
    << ", fingerprint " << aFingerprint << ": " << aCause;
}

prometheus::Counter&
RefusalCounter(NodeMetrics& aMetrics, const std::string& aReason)
{
  return aMetrics.Counter("papayaway_serving_refusals_total",
                          "Calls refused as not run by the serving node",
                          { { "reason", aReason } });
}

} // namespace

TargetProxy::RefusalCounters::RefusalCounters(NodeMetrics& aMetrics)
  : mNotReady(RefusalCounter(aMetrics, "not-ready"))
  , mExposure(RefusalCounter(aMetrics, "exposure"))
  , mQueueFull(RefusalCounter(aMetrics, "queue-full"))
  , mDeadline(RefusalCounter(aMetrics, "deadline"))
  , mDroppedFromQueue(RefusalCounter(aMetrics, "dropped-from-queue"))
  , mNotConnected(RefusalCounter(aMetrics, "not-connected"))
  , mKeysFull(RefusalCounter(aMetrics, "keys-full"))
  , mQuarantine(RefusalCounter(aMetrics, "quarantine"))
{
}

TargetProxy::TargetProxy(NodeContext& aContext,
                         LocalTarget& aTarget,
                         TargetProxyHandlers aHandlers)
  : mContext(aContext)
  , mTarget(aTarget)
  , mHandlers(std::move(aHandlers))
  , mClient(
      aContext.mLoop,
      { .mMaxBody = aContext.mSettings.mMaxBodyBytes,
        // A response has no request id. If a target repeated a refusal on
        // the connection, it would be taken for the next response.
        .mLastResponse = HeaderMatch{ .mName = std::string(kOutcomeHeader),
                                      .mValue = "not-run" } })
  , mAdmission(1, kMaxQueued)
  , mRefusals(aContext.mMetrics)
  , mQueueLength(aContext.mMetrics.Gauge("papayaway_queued_calls",
                                         "Calls that wait for a slot"))
  , mQueueTimer(aContext.mLoop,
                [this] { Perform(mAdmission.OnTick(SteadyNow())); })
  , mKeyExpiry(aContext.mLoop, [this] { mKeys.Expire(SteadyNow()); })
{
  mKeyExpiry.StartRepeating(kKeyExpiryPeriod);
}

std::size_t
TargetProxy::Load() const
{
  return static_cast<std::size_t>(mAdmission.InFlight()) + mAdmission.Queued();
}

ServedId
TargetProxy::Serve(Call aCall, ReplyCallback aCallback)
{
  const ServedId id = mNextId++;
  const Millis now = SteadyNow();
  const Millis deadline = now + aCall.mTimeLeft;
  std::string fingerprint = FingerprintOf(aCall);
  mServed.emplace(id,
                  ServedCall{ .mCall = std::move(aCall),
                              .mFingerprint = std::move(fingerprint),
                              .mCallback = std::move(aCallback),
                              .mArrived = now,
                              .mDeadline = deadline });
  Admit(id);
  return id;
}

void
TargetProxy::Admit(ServedId aId)
{
  ServedCall& served = mServed.at(aId);
  const Call& call = served.mCall;
  if (!call.mIdempotent && !AdmitKey(aId)) {
    return;
  }
  if (!mTarget.IsReady() || !HasTargetFor(call)) {
    Refuse(aId,
           NotRunReply(503, "the target is not ready for this version"),
           mRefusals.mNotReady);
    return;
  }
  const QuarantineDecision decision =
    mHandlers.mCheckQuarantine(served.mFingerprint, mSuspectTracker);
  if (decision != QuarantineDecision::Run) {
    RefuseSuspect(aId, decision);
    return;
  }
  if (!call.mIdempotent) {
    if (!mHandlers.mAdmitExposure(call)) {
      Refuse(aId, ExposureRefusal(), mRefusals.mExposure);
      return;
    }
    served.mExposureAdmitted = true;
  }
  mAdmission.SetSlots(mTarget.Current()->mSlots);
  const bool full = mAdmission.Queued() >= kMaxQueued;
  AdmissionActions actions =
    mAdmission.Offer(aId, served.mDeadline, SteadyNow());
  const bool refused = std::erase(actions.mRefuse, aId) > 0;
  Perform(std::move(actions));
  if (refused) {
    Refuse(aId,
           NotRunReply(503, "the target has no free slot in time"),
           full ? mRefusals.mQueueFull : mRefusals.mDeadline);
  }
}

bool
TargetProxy::HasTargetFor(const Call& aCall) const
{
  const auto& target = mTarget.Current();
  return target && target->mService == aCall.mService &&
         target->mVersion == aCall.mVersion;
}

void
TargetProxy::Perform(AdmissionActions aActions)
{
  // Refuse() runs callbacks, which may call Serve() again. Refusals are
  // therefore made after all calls in mStart were sent: Send() runs no
  // callback, so every id in mStart is still valid.
  std::vector<std::pair<ServedId, QuarantineDecision>> blocked;
  for (std::size_t i = 0; i < aActions.mStart.size(); ++i) {
    const ServedId id = aActions.mStart[i];
    const ServedCall& served = mServed.at(id);
    const QuarantineDecision decision =
      mHandlers.mCheckQuarantine(served.mFingerprint, mSuspectTracker);
    if (HasTargetFor(served.mCall) && decision == QuarantineDecision::Run &&
        DispatchKey(id)) {
      Send(id);
      continue;
    }
    // While the call was queued, the target disappeared or was replaced, or a
    // crash made the request a suspect.
    blocked.emplace_back(id, decision);
    const AdmissionActions next =
      mAdmission.OnFinished(CallEnd::Other, {}, SteadyNow());
    aActions.mStart.insert(
      aActions.mStart.end(), next.mStart.begin(), next.mStart.end());
    aActions.mRefuse.insert(
      aActions.mRefuse.end(), next.mRefuse.begin(), next.mRefuse.end());
  }
  UpdateQueueTimer();
  for (const auto& [id, decision] : blocked) {
    if (!mServed.contains(id)) {
      continue;
    }
    if (decision != QuarantineDecision::Run) {
      RefuseSuspect(id, decision);
    } else {
      Refuse(id, NotRunReply(503, "the target is gone"), mRefusals.mNotReady);
    }
  }
  for (const ServedId id : aActions.mRefuse) {
    if (mServed.contains(id)) {
      Refuse(id,
             NotRunReply(503, "the target had no free slot in time"),
             mRefusals.mDroppedFromQueue);
    }
  }
}

void
TargetProxy::OnSlotReleased(CallEnd aEnd, Millis aLatency)
{
  Perform(mAdmission.OnFinished(aEnd, aLatency, SteadyNow()));
}

void
TargetProxy::UpdateQueueTimer()
{
  mQueueLength.Set(static_cast<double>(mAdmission.Queued()));
  const bool needed = mAdmission.Queued() > 0;
  if (needed == mQueueTimerRunning) {
    return;
  }
  mQueueTimerRunning = needed;
  if (needed) {
    mQueueTimer.StartRepeating(kQueueCheckPeriod);
  } else {
    mQueueTimer.Stop();
  }
}

void
TargetProxy::Send(ServedId aId)
{
  ServedCall& served = mServed.at(aId);
  const Call& call = served.mCall;
  const Millis now = SteadyNow();
  const Millis timeLeft = served.mDeadline - now;
  HttpCall http{ .mAddress = mTarget.Current()->mAddress,
                 .mRequest = { .mMethod = call.mMethod,
                               .mPath = call.mPath,
                               .mQuery = call.mQuery,
                               .mBody = call.mBody },
                 .mTimeout = timeLeft,
                 .mIdempotent = call.mIdempotent };
  for (const auto& [name, value] : call.mHeaders) {
    http.mRequest.mHeaders.Add(name, value);
  }
  http.mRequest.mHeaders.Set(std::string(kDeadlineHeader),
                             std::to_string(timeLeft.WholeMillis()));
  if (call.mAttempt > 0) {
    http.mRequest.mHeaders.Set(std::string(kAttemptHeader),
                               std::to_string(call.mAttempt));
  }
  mSuspectTracker.OnSent(aId, served.mFingerprint, now);
  mTargetService = call.mService;
  served.mAtTarget = true;
  served.mSent = now;
  mContext.mMetrics.mServed.Increment();
  served.mHttpId = mClient.Send(std::move(http), [this, aId](HttpResult aHttp) {
    OnResult(aId, std::move(aHttp));
  });
}

void
TargetProxy::OnResult(ServedId aId, HttpResult aResult)
{
  const bool refused = aResult.mFailure == HttpFailure::NotConnected;
  // A request that was sent again on a new connection may already have run on
  // the previous one.
  if (aResult.mFailure == HttpFailure::ConnectionLost ||
      aResult.mFailure == HttpFailure::Malformed ||
      aResult.mFailure == HttpFailure::Timeout ||
      (refused && aResult.mMayHaveRun)) {
    mSuspectTracker.OnBroken(aId, SteadyNow());
  } else if (aResult.mFailure == HttpFailure::None) {
    mSuspectTracker.OnAnswered(aId);
  } else {
    mSuspectTracker.OnEnded(aId);
  }
  if (refused) {
    mTarget.OnRefusedConnection();
  }
  const auto found = mServed.find(aId);
  if (found == mServed.end()) {
    OnSlotReleased(CallEnd::Other, {});
    return;
  }
  ServedCall& served = found->second;
  served.mAtTarget = false;
  const Call& call = served.mCall;
  if (refused && !aResult.mMayHaveRun) {
    Refuse(aId,
           NotRunReply(503, "the target does not accept connections"),
           mRefusals.mNotConnected);
    OnSlotReleased(CallEnd::Other, {});
    return;
  }
  if (aResult.mFailure == HttpFailure::ConnectionLost ||
      aResult.mFailure == HttpFailure::Malformed) {
    LogLoss(call, served.mFingerprint, aResult.mError);
  }
  if (aResult.mFailure == HttpFailure::None) {
    mLastResponse = SteadyNow();
  } else if (aResult.mFailure == HttpFailure::Timeout &&
             mLastResponse < served.mSent) {
    // The target has answered no call since this one was sent, so the network
    // may drop the data of this and other connections silently. A target that
    // is only slow would have answered other calls.
    mClient.ExcludeOpenConnections();
  }
  Reply reply = ReplyOf(std::move(aResult));
  const CallEnd end = EndOf(reply);
  const Millis latency = SteadyNow() - served.mSent;
  if (reply.mOutcome == Outcome::NotRun && served.mExposureAdmitted) {
    mHandlers.mReleaseExposure(call);
  }
  if (reply.mOutcome == Outcome::Ran) {
    mHandlers.mRan(call.mService, served.mFingerprint);
  }
  if (reply.mOutcome != Outcome::NotRun) {
    const bool failed =
      reply.mOutcome == Outcome::Unknown || reply.mStatus >= 500;
    mHandlers.mObserved(call, failed, latency);
  }
  if (!call.mIdempotent) {
    FinishKey(call, reply);
  }
  OnSlotReleased(end, latency);
  Finish(aId, std::move(reply));
}

void
TargetProxy::Refuse(ServedId aId,
                    const Reply& aReply,
                    prometheus::Counter& aReason)
{
  aReason.Increment();
  ServedCall& served = mServed.at(aId);
  if (served.mExposureAdmitted) {
    mHandlers.mReleaseExposure(served.mCall);
  }
  if (!served.mCall.mIdempotent) {
    FinishKey(served.mCall, aReply);
  }
  Finish(aId, aReply);
}

void
TargetProxy::RefuseSuspect(ServedId aId, QuarantineDecision aDecision)
{
  Refuse(aId,
         aDecision == QuarantineDecision::Refuse
           ? NotRunReply(422, "the request is quarantined")
           : NotRunReply(503,
                         "the request was in flight when a target crashed and "
                         "can't run here now"),
         mRefusals.mQuarantine);
}

void
TargetProxy::OnTargetRestarted()
{
  mHandlers.mCrashed(mTargetService, mSuspectTracker.TakeSuspects(SteadyNow()));
}

void
TargetProxy::OnTargetSilent()
{
  // A target that is only slow keeps its connections.
  if (mSuspectTracker.HasBroken()) {
    OnTargetRestarted();
  }
}

void
TargetProxy::Finish(ServedId aId, Reply aReply)
{
  const auto found = mServed.find(aId);
  if (found == mServed.end()) {
    return;
  }
  const ServedCall served = std::move(found->second);
  mServed.erase(found);
  aReply.mId = served.mCall.mId;
  aReply.mLoad = static_cast<int>(Load());
  served.mCallback(std::move(aReply));
}

void
TargetProxy::Cancel(ServedId aId)
{
  const auto found = mServed.find(aId);
  if (found == mServed.end() || !found->second.mCall.mIdempotent) {
    return;
  }
  const bool atTarget = found->second.mAtTarget;
  const HttpClient::CallId httpId = found->second.mHttpId;
  mServed.erase(found);
  if (atTarget) {
    mSuspectTracker.OnBroken(aId, SteadyNow());
    mClient.Cancel(httpId);
  } else {
    mAdmission.Cancel(aId);
    UpdateQueueTimer();
  }
}

} // namespace papayaway
