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

#include "CrashWatch.h"
#include "LocalTarget.h"
#include "NodeContext.h"

namespace papayaway {

/** Identifies a call at this node. */
using ServedId = std::uint64_t;

struct TargetProxyHandlers
{
  /** A call on a non-idempotent route asks to run on a version that is being
   *  moved to. @return false to refuse it as not run. */
  std::function<bool(const Call&)> mAdmitExposure;
  /** A call admitted by mAdmitExposure did not run after all. */
  std::function<void(const Call&)> mReleaseExposure;
  /** A call has ended at the target. */
  std::function<void(const Call&, bool aFailed, Millis aLatency)> mObserved;
  /** @return whether a request may run beside those in flight. */
  std::function<QuarantineVerdict(const std::string& aFingerprint,
                                  const CrashWatch& aInFlight)>
    mVerdict;
  /** The target crashed with these requests in flight. */
  std::function<void(const std::string& aService,
                     std::vector<std::string> aFingerprints)>
    mCrashed;
  /** The target answered a request. */
  std::function<void(const std::string& aService,
                     const std::string& aFingerprint)>
    mRan;
};

/** Gives calls to the target of this host, within its slots. */
class TargetProxy
{
public:
  using ReplyCallback = std::function<void(Reply)>;

  TargetProxy(NodeContext& aContext,
              LocalTarget& aTarget,
              TargetProxyHandlers aHandlers);

  /** Runs aCall; aCallback is called once, perhaps before this returns.
   *  @return an id for Cancel(). */
  ServedId Serve(Call aCall, ReplyCallback aCallback);

  /** The caller has given up. An idempotent call is ended; the run of a key
   *  goes on, so that its outcome is known. */
  void Cancel(ServedId aId);

  /** Another process took the place of the target, or it refused a
   *  connection. */
  void OnTargetRestarted();

  /** @return calls at the target and in the queue. */
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
    /** Waited too long, or gave way to a newer call in a full queue. */
    prometheus::Counter& mDroppedFromQueue;
    prometheus::Counter& mNotConnected;
    prometheus::Counter& mKeysFull;
    prometheus::Counter& mQuarantine;
  };

  struct Served
  {
    Call mCall;
    std::string mFingerprint;
    ReplyCallback mCallback;
    Millis mArrived;
    Millis mDeadline;
    Millis mSent;
    HttpClient::CallId mHttpId = 0;
    bool mAtTarget = false;
    bool mExposed = false;
  };

  void Admit(ServedId aId);
  void Perform(AdmissionActions aActions);
  /** @return whether the announced target is of the call's version. */
  [[nodiscard]] bool HasTargetFor(const Call& aCall) const;
  void OnTargetFree(CallEnd aEnd, Millis aLatency);
  void WatchQueue();
  void Send(ServedId aId);
  void OnResult(ServedId aId, HttpResult aResult);
  void Refuse(ServedId aId, const Reply& aReply, prometheus::Counter& aReason);
  void RefuseSuspect(ServedId aId, QuarantineVerdict aVerdict);
  void Finish(ServedId aId, Reply aReply);
  bool AdmitKey(ServedId aId);
  /** @return whether the call may be sent; a key is sent at most once. */
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
  std::unordered_map<ServedId, Served> mServed;
  Millis mLastAnswer;
  AdmissionQueue mAdmission;
  CrashWatch mWatch;
  std::string mTargetService;
  RefusalCounters mRefusals;
  prometheus::Gauge& mQueueLength;
  bool mWatchingQueue = false;
  Timer mQueueTick;
  Timer mKeyExpiry;
};

} // namespace papayaway
