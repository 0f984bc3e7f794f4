#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include <keys/KeyLedger.h>
#include <net/HttpClient.h>
#include <traffic/AdmissionQueue.h>
#include <traffic/Quarantine.h>
#include <wire/Messages.h>

#include "CrashSuspectTracker.h"
#include "LocalTarget.h"
#include "NodeContext.h"

namespace papayaway {

/** Identifies a call that this node serves with its local target. */
using ServedId = std::uint64_t;

struct TargetProxyHandlers
{
  /** Asks whether a call on a non-idempotent route may run on the new version
   *  of a move.
   *  @return false to refuse the call as not run. */
  std::function<bool(const Call&)> mAdmitExposure;
  /** Called if a call admitted by mAdmitExposure did not run. */
  std::function<void(const Call&)> mReleaseExposure;
  /** Called after the target has run a call, or may have run it. */
  std::function<void(const Call&, bool aFailed, Millis aLatency)> mObserved;
  /** @return whether a request may run beside the requests in flight. */
  std::function<QuarantineDecision(const std::string& aFingerprint,
                                   const CrashSuspectTracker& aTracker)>
    mCheckQuarantine;
  /** Called after the target crashed with these requests in flight. */
  std::function<void(const std::string& aService,
                     std::vector<std::string> aFingerprints)>
    mCrashed;
  /** Called after the target answered a request. */
  std::function<void(const std::string& aService,
                     const std::string& aFingerprint)>
    mRan;
};

/** Sends calls to the target of this host, at most as many at a time as it has
 *  slots, and queues or refuses the others. */
class TargetProxy
{
public:
  using ReplyCallback = std::function<void(Reply)>;

  TargetProxy(NodeContext& aContext,
              LocalTarget& aTarget,
              TargetProxyHandlers aHandlers);

  /** Runs aCall. aCallback is called once, possibly before this returns, unless
   *  Cancel() ends the call.
   *  @return an id for Cancel(). */
  ServedId Serve(Call aCall, ReplyCallback aCallback);

  /** Cancels a call whose caller has given up, if it is idempotent. A call with
   *  an idempotency key continues, so that its outcome is recorded. */
  void Cancel(ServedId aId);

  /** Reports the requests in flight as suspects after the target's process was
   *  replaced or refused a connection. */
  void OnTargetRestarted();

  /** Does the same after the target fell silent, if connections broke before.
   */
  void OnTargetSilent();

  /** @return the number of calls at the target and in the queue. */
  [[nodiscard]] std::size_t Load() const;

private:
  /** Counts refusals by reason. */
  struct RefusalCounters
  {
    explicit RefusalCounters(NodeMetrics& aMetrics);

    prometheus::Counter& mNotReady;
    prometheus::Counter& mExposure;
    prometheus::Counter& mQueueFull;
    prometheus::Counter& mDeadline;
    /** The call waited too long, or was dropped from a full queue in favour of
     *  a newer one. */
    prometheus::Counter& mDroppedFromQueue;
    prometheus::Counter& mNotConnected;
    prometheus::Counter& mKeysFull;
    prometheus::Counter& mQuarantine;
  };

  struct ServedCall
  {
    Call mCall;
    std::string mFingerprint;
    ReplyCallback mCallback;
    Millis mArrived;
    Millis mDeadline;
    Millis mSent;
    HttpClient::CallId mHttpId = 0;
    bool mAtTarget = false;
    bool mExposureAdmitted = false;
  };

  void Admit(ServedId aId);
  void Perform(AdmissionActions aActions);
  /** @return whether the target has the service and version of the call. */
  [[nodiscard]] bool HasTargetFor(const Call& aCall) const;
  void OnSlotReleased(CallEnd aEnd, Millis aLatency);
  void UpdateQueueTimer();
  void Send(ServedId aId);
  void OnResult(ServedId aId, HttpResult aResult);
  void Refuse(ServedId aId, const Reply& aReply, prometheus::Counter& aReason);
  void RefuseSuspect(ServedId aId, QuarantineDecision aDecision);
  void Finish(ServedId aId, Reply aReply);
  bool AdmitKey(ServedId aId);
  /** @return whether the call may be sent; a key is sent to the target at most
   *    once. */
  bool DispatchKey(ServedId aId);
  void FinishKey(const Call& aCall, const Reply& aReply);
  void AnswerWaiters(const std::vector<std::uint64_t>& aWaiters,
                     const Reply& aReply);

  NodeContext& mContext;
  LocalTarget& mTarget;
  TargetProxyHandlers mHandlers;
  HttpClient mClient;
  KeyLedger mKeys;
  ServedId mNextId = 1;
  std::unordered_map<ServedId, ServedCall> mServed;
  Millis mLastResponse;
  AdmissionQueue mAdmission;
  CrashSuspectTracker mSuspectTracker;
  std::string mTargetService;
  RefusalCounters mRefusals;
  prometheus::Gauge& mQueueLength;
  bool mQueueTimerRunning = false;
  Timer mQueueTimer;
  Timer mKeyExpiry;
};

} // namespace papayaway
