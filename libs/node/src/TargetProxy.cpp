#include "TargetProxy.h"

#include <algorithm>
#include <utility>

#include <net/Http.h>

#include "Outcomes.h"

namespace papayaway {

namespace {

/** Calls that wait for a slot, as a multiple of the slots. */
constexpr std::size_t kQueuePerSlot = 2;
/** Less time than this is not enough to run a call. */
constexpr Millis kMinTimeLeft{ 1 };
constexpr Millis kKeyExpiryPeriod = Seconds(10);

} // namespace

TargetProxy::TargetProxy(NodeContext& aContext,
                         LocalTarget& aTarget,
                         TargetProxyHandlers aHandlers)
  : mContext(aContext)
  , mTarget(aTarget)
  , mHandlers(std::move(aHandlers))
  , mClient(aContext.mLoop, { .mMaxBody = aContext.mSettings.mMaxBody })
  , mKeyExpiry(aContext.mLoop, [this] { mKeys.Expire(SteadyNow()); })
{
  mKeyExpiry.StartRepeating(kKeyExpiryPeriod);
}

std::size_t
TargetProxy::Slots() const
{
  return mTarget.Current() ? static_cast<std::size_t>(mTarget.Current()->mSlots)
                           : 0;
}

std::size_t
TargetProxy::Load() const
{
  return mAtTarget + mQueue.size();
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
  const auto& target = mTarget.Current();
  if (!mTarget.IsReady() || target->mService != call.mService ||
      target->mVersion != call.mVersion) {
    Refuse(aId, NotRunReply(503, "the target is not ready for this version"));
    return;
  }
  if (!call.mIdempotent) {
    if (!mHandlers.mAdmitExposure(call)) {
      Refuse(aId, ExposureRefusal());
      return;
    }
    served.mExposed = true;
  }
  if (mAtTarget < Slots()) {
    Send(aId);
  } else if (mQueue.size() < Slots() * kQueuePerSlot) {
    mQueue.push_back(aId);
  } else {
    Refuse(aId, NotRunReply(503, "the target has no free slot"));
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
      Finish(aId, NotRunReply(503, "too many keys are remembered"));
      return false;
    case KeyAdmission::Mismatch:
      Finish(aId, NotRunReply(422, "the key belongs to another request"));
      return false;
  }
  return false;
}

void
TargetProxy::StartQueued()
{
  const Millis now = SteadyNow();
  while (!mQueue.empty() && mAtTarget < Slots()) {
    const ServedId id = mQueue.front();
    mQueue.pop_front();
    if (mServed.at(id).mDeadline - now < kMinTimeLeft) {
      Refuse(id,
             NotRunReply(503, "the deadline passed before a slot was free"));
    } else {
      Send(id);
    }
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
  ++mAtTarget;
  mContext.mMetrics.mServed.Increment();
  served.mHttpId = mClient.Send(std::move(http), [this, aId](HttpResult aHttp) {
    OnResult(aId, std::move(aHttp));
  });
}

void
TargetProxy::OnResult(ServedId aId, HttpResult aResult)
{
  --mAtTarget;
  const auto found = mServed.find(aId);
  if (found == mServed.end()) {
    StartQueued();
    return;
  }
  Served& served = found->second;
  served.mAtTarget = false;
  const Call& call = served.mCall;
  if (aResult.mFailure == HttpFailure::NotConnected && !aResult.mMayHaveRun) {
    mTarget.OnRefusedConnection();
    Refuse(aId, NotRunReply(503, "the target does not accept connections"));
    StartQueued();
    return;
  }
  if (aResult.mFailure == HttpFailure::None) {
    mLastAnswer = SteadyNow();
  } else if (aResult.mFailure == HttpFailure::Timeout &&
             mLastAnswer < served.mSent) {
    // Nothing came since the call was sent: the connection may have gone
    // silent, and others with it. A target that is only slow answers others.
    mClient.DistrustOpenConnections();
  }
  Reply reply = ReplyOf(std::move(aResult));
  if (reply.mOutcome == Outcome::NotRun && served.mExposed) {
    mHandlers.mReleaseExposure(call);
  }
  if (reply.mOutcome != Outcome::NotRun) {
    const bool failed =
      reply.mOutcome == Outcome::Unknown || reply.mStatus >= 500;
    mHandlers.mObserved(call, failed, SteadyNow() - served.mSent);
  }
  if (!call.mIdempotent) {
    FinishKey(call, reply);
  }
  Finish(aId, std::move(reply));
  StartQueued();
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
TargetProxy::Refuse(ServedId aId, const Reply& aReply)
{
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
  if (found->second.mAtTarget) {
    mClient.Cancel(found->second.mHttpId);
  } else {
    std::erase(mQueue, aId);
  }
  mServed.erase(found);
}

} // namespace papayaway
