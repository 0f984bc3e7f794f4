#include "TargetProxy.h"

#include <utility>

#include "Outcomes.h"

// How TargetProxy handles calls with an idempotency key.

namespace papayaway {

bool
TargetProxy::AdmitKey(ServedId aId)
{
  const Call& call = mServed.at(aId).mCall;
  const KeyAdmissionResult answer =
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
TargetProxy::DispatchKey(ServedId aId)
{
  const Call& call = mServed.at(aId).mCall;
  return call.mIdempotent ||
         mKeys.MarkDispatched(call.mService, call.mKey, aId);
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
      if (waiters.empty()) {
        waiters = mKeys.Refuse(aCall.mService, aCall.mKey);
      }
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

} // namespace papayaway
