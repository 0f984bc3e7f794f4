#include "TargetProxy.h"

#include <algorithm>
#include <utility>

#include <net/Http.h>

#include "Outcomes.h"

namespace papayaway {

namespace {

/** Bounds the memory of waiting calls; how long they wait is bounded by their
 *  deadlines. */
constexpr std::size_t kMaxQueued = 64;
constexpr Millis kQueueTickPeriod{ 5 };
constexpr Millis kKeyExpiryPeriod = Seconds(10);

prometheus::Counter&
RefusalCounter(NodeMetrics& aMetrics, const std::string& aReason)
{
  return aMetrics.Counter("papayaway_serving_refusals_total",
                          "Calls refused as not run by the serving node",
                          { { "reason", aReason } });
}

/** Tells how a call ended for the estimate of the target's latency. Failures
 *  are often much faster than answers and would lower the baseline. */
CallEnd
EndOf(const Reply& aReply)
{
  if (aReply.mOutcome == Outcome::Unknown && aReply.mStatus == 504) {
    return CallEnd::TimedOut;
  }
  return aReply.mOutcome == Outcome::Ran && aReply.mStatus < 500
           ? CallEnd::Answered
           : CallEnd::Other;
}

} // namespace

TargetProxy::RefusalCounters::RefusalCounters(NodeMetrics& aMetrics)
  : mNotReady(RefusalCounter(aMetrics, "not-ready"))
  , mExposure(RefusalCounter(aMetrics, "exposure"))
  , mQueueFull(RefusalCounter(aMetrics, "queue-full"))
  , mDeadline(RefusalCounter(aMetrics, "deadline"))
  , mExpiredInQueue(RefusalCounter(aMetrics, "expired-in-queue"))
  , mNotConnected(RefusalCounter(aMetrics, "not-connected"))
  , mKeysFull(RefusalCounter(aMetrics, "keys-full"))
{
}

TargetProxy::TargetProxy(NodeContext& aContext,
                         LocalTarget& aTarget,
                         TargetProxyHandlers aHandlers)
  : mContext(aContext)
  , mTarget(aTarget)
  , mHandlers(std::move(aHandlers))
  , mClient(aContext.mLoop, { .mMaxBody = aContext.mSettings.mMaxBody })
  , mAdmission(1, kMaxQueued)
  , mRefusals(aContext.mMetrics)
  , mQueueLength(aContext.mMetrics.Gauge("papayaway_queued_calls",
                                         "Calls that wait for a slot"))
  , mQueueTick(aContext.mLoop,
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
  mServed.emplace(id,
                  Served{ .mCall = std::move(aCall),
                          .mCallback = std::move(aCallback),
                          .mArrived = now,
                          .mDeadline = deadline });
  Admit(id);
  return id;
}

void
TargetProxy::Admit(ServedId aId)
{
  Served& served = mServed.at(aId);
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
  if (!call.mIdempotent) {
    if (!mHandlers.mAdmitExposure(call)) {
      Refuse(aId, ExposureRefusal(), mRefusals.mExposure);
      return;
    }
    served.mExposed = true;
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
TargetProxy::AdmitKey(ServedId aId)
{
  const Call& call = mServed.at(aId).mCall;
  const KeyAnswer answer =
    mKeys.Admit(call.mService,
                call.mKey,
                RequestHash(call.mMethod, call.mPath + call.mQuery, call.mBody),
                aId,
                SteadyNow());
  switch (answer.mAdmission) {
    case KeyAdmission::Run:
      return true;
    case KeyAdmission::Joined:
      return false;
    case KeyAdmission::Replay:
      Finish(aId,
             { .mStatus = answer.mResponse->mStatus,
               .mHeaders = answer.mResponse->mHeaders,
               .mBody = answer.mResponse->mBody,
               .mOutcome = Outcome::Ran });
      return false;
    case KeyAdmission::Unknown:
      Finish(aId, UnknownReply(502, "the outcome of this key is not known"));
      return false;
    case KeyAdmission::Full:
      mRefusals.mKeysFull.Increment();
      Finish(aId, NotRunReply(503, "too many keys are remembered"));
      return false;
    case KeyAdmission::Mismatch:
      Finish(aId, NotRunReply(422, "the key belongs to another request"));
      return false;
  }
  return false;
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
  // A refusal may offer the call again before it returns, but Send() runs no
  // callback: so every started call is still there.
  std::vector<ServedId> gone;
  for (std::size_t i = 0; i < aActions.mStart.size(); ++i) {
    const ServedId id = aActions.mStart[i];
    if (HasTargetFor(mServed.at(id).mCall)) {
      Send(id);
      continue;
    }
    // The target went away or was replaced while the call waited.
    gone.push_back(id);
    const AdmissionActions next =
      mAdmission.OnFinished(CallEnd::Other, {}, SteadyNow());
    aActions.mStart.insert(
      aActions.mStart.end(), next.mStart.begin(), next.mStart.end());
    aActions.mRefuse.insert(
      aActions.mRefuse.end(), next.mRefuse.begin(), next.mRefuse.end());
  }
  WatchQueue();
  for (const ServedId id : gone) {
    if (mServed.contains(id)) {
      Refuse(id, NotRunReply(503, "the target is gone"), mRefusals.mNotReady);
    }
  }
  for (const ServedId id : aActions.mRefuse) {
    if (mServed.contains(id)) {
      Refuse(id,
             NotRunReply(503, "the target had no free slot in time"),
             mRefusals.mExpiredInQueue);
    }
  }
}

void
TargetProxy::OnTargetFree(CallEnd aEnd, Millis aLatency)
{
  Perform(mAdmission.OnFinished(aEnd, aLatency, SteadyNow()));
}

void
TargetProxy::WatchQueue()
{
  mQueueLength.Set(static_cast<double>(mAdmission.Queued()));
  const bool needed = mAdmission.Queued() > 0;
  if (needed == mWatchingQueue) {
    return;
  }
  mWatchingQueue = needed;
  if (needed) {
    mQueueTick.StartRepeating(kQueueTickPeriod);
  } else {
    mQueueTick.Stop();
  }
}

void
TargetProxy::Send(ServedId aId)
{
  Served& served = mServed.at(aId);
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
                             std::to_string(timeLeft.Whole()));
  if (call.mAttempt > 0) {
    http.mRequest.mHeaders.Set(std::string(kAttemptHeader),
                               std::to_string(call.mAttempt));
  }
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
  const auto found = mServed.find(aId);
  if (found == mServed.end()) {
    OnTargetFree(CallEnd::Other, {});
    return;
  }
  Served& served = found->second;
  served.mAtTarget = false;
  const Call& call = served.mCall;
  if (aResult.mFailure == HttpFailure::NotConnected && !aResult.mMayHaveRun) {
    mTarget.OnRefusedConnection();
    Refuse(aId,
           NotRunReply(503, "the target does not accept connections"),
           mRefusals.mNotConnected);
    OnTargetFree(CallEnd::Other, {});
    return;
  }
  Reply reply = ReplyOf(std::move(aResult));
  const CallEnd end = EndOf(reply);
  const Millis latency = SteadyNow() - served.mSent;
  if (reply.mOutcome == Outcome::NotRun && served.mExposed) {
    mHandlers.mReleaseExposure(call);
  }
  if (reply.mOutcome != Outcome::NotRun) {
    const bool failed =
      reply.mOutcome == Outcome::Unknown || reply.mStatus >= 500;
    mHandlers.mObserved(call, failed, latency);
  }
  if (!call.mIdempotent) {
    FinishKey(call, reply);
  }
  OnTargetFree(end, latency);
  Finish(aId, std::move(reply));
}

void
TargetProxy::FinishKey(const Call& aCall, const Reply& aReply)
{
  const Millis now = SteadyNow();
  std::vector<std::uint64_t> waiters;
  switch (aReply.mOutcome) {
    case Outcome::Ran:
      waiters =
        mKeys.Complete(aCall.mService,
                       aCall.mKey,
                       { aReply.mStatus, aReply.mHeaders, aReply.mBody },
                       now);
      break;
    case Outcome::NotRun:
      waiters = mKeys.Abandon(aCall.mService, aCall.mKey);
      break;
    case Outcome::Unknown:
      waiters = mKeys.MarkUnknown(aCall.mService, aCall.mKey, now);
      break;
  }
  AnswerWaiters(waiters, aReply);
}

void
TargetProxy::AnswerWaiters(const std::vector<std::uint64_t>& aWaiters,
                           const Reply& aReply)
{
  for (const std::uint64_t waiter : aWaiters) {
    if (mServed.contains(waiter) && !mServed.at(waiter).mAtTarget) {
      Finish(waiter, aReply);
    }
  }
}

void
TargetProxy::Refuse(ServedId aId,
                    const Reply& aReply,
                    prometheus::Counter& aReason)
{
  aReason.Increment();
  Served& served = mServed.at(aId);
  if (served.mExposed) {
    mHandlers.mReleaseExposure(served.mCall);
  }
  if (!served.mCall.mIdempotent) {
    FinishKey(served.mCall, aReply);
  }
  Finish(aId, aReply);
}

void
TargetProxy::Finish(ServedId aId, Reply aReply)
{
  const auto found = mServed.find(aId);
  if (found == mServed.end()) {
    return;
  }
  const Served served = std::move(found->second);
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
    mClient.Cancel(httpId);
  } else {
    mAdmission.Cancel(aId);
    WatchQueue();
  }
}

} // namespace papayaway
