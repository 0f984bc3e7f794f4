#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <base/Millis.h>
#include <gateway/RunTimes.h>
#include <gateway/SlotQueue.h>
#include <http/TargetClient.h>
#include <net/EventLoop.h>
#include <sidecar/EventLog.h>
#include <sidecar/PeerMessages.h>
#include <sidecar/PlatformPort.h>
#include <sidecar/SidecarMetrics.h>

namespace papayaway::sidecar {

/** What one run at the local target showed. */
struct RunReport
{
  const std::string& mService;
  const std::string& mVersion;
  const std::string& mRoute;
  bool mFailed = false;
  /** Whether the target was still in its slow first seconds. */
  bool mCold = false;
  Millis mTime;
};

struct TargetGateHandlers
{
  /** The target takes requests again, or does not any more. */
  std::function<void()> mStateChanged;
  std::function<void(const RunReport&)> mRan;
  /** The target ended the connection of a request without an answer. */
  std::function<void(const CallMessage&)> mLost;
  std::function<void(const CallMessage&)> mAnswered;
  /** The target, which was ready, refused a connection, or another one took
   *  its place although it had not said that it leaves. */
  std::function<void()> mVanished;
  /** @return whether the request is known to crash targets. */
  std::function<bool(const CallMessage&)> mIsQuarantined;
  /** @return whether the target's version takes requests at all; not once
   *    all of them were moved to another version. */
  std::function<bool(const gateway::TargetInfo&)> mVersionTakesRequests;
};

struct TargetGateOptions
{
  std::string mNode;
  std::string mAddress;
  std::string mService;
};

/**
 * Sends requests to the local target and is its only caller.
 *
 * It never sends more than the target's slots, because some targets never
 * answer what they can't queue, and it refuses from the moment at which the
 * target said that it leaves.
 */
class TargetGate
{
public:
  using CallId = std::uint64_t;
  using Callback = std::function<void(ReplyMessage)>;

  TargetGate(EventLoop& aLoop,
             TargetGateOptions aOptions,
             const PlatformPort& aPort,
             TargetGateHandlers aHandlers,
             EventLog& aLog,
             SidecarMetrics& aMetrics);
  TargetGate(const TargetGate&) = delete;
  TargetGate& operator=(const TargetGate&) = delete;
  ~TargetGate();

  /** Takes in what the target says of itself; late and foreign check-ins are
   *  left out. */
  void OnCheckIn(const CheckIn& aCheckIn);

  /** The target leaves, or left while an earlier process of this node ran.
   *  Check-ins of that start that come later are left out. */
  void OnLeave(const std::string& aTargetId);

  /** Runs a request. aCallback runs once, maybe inside this call.
   *  @return an id for Cancel(), unique even after the call has ended. */
  CallId Serve(CallMessage aCall, Callback aCallback);

  /** The caller has left: stops the work; the callback does not run. */
  void Cancel(CallId aId);

  /** @return the target for the record of this node. */
  [[nodiscard]] const std::optional<gateway::TargetInfo>& Target() const
  {
    return mTarget;
  }

  [[nodiscard]] gateway::TargetLoad Load() const;

  /** @return connections opened to the target so far. */
  [[nodiscard]] std::uint64_t ConnectionsOpened() const
  {
    return mClient.Opened();
  }

private:
  /** The weight of a run in the part of good runs: the last 15 or so count. */
  static constexpr double kSuccessWeight = 0.07;

  struct Serving
  {
    CallMessage mCall;
    Callback mCallback;
    Millis mArrived;
    Millis mDeadline;
    Millis mStarted;
    TargetClient::CallId mClientCall = 0;
    bool mAtTarget = false;
  };

  [[nodiscard]] bool HasLeft(const CheckIn& aCheckIn) const;
  void SetState(gateway::TargetState aState, const char* aReason);
  [[nodiscard]] const char* WhyNot(const CallMessage& aCall) const;
  void Apply(const gateway::SlotActions& aActions);
  void Start(CallId aId);
  void OnResult(CallId aId, TargetResult aResult);
  void Refuse(CallId aId, const char* aReason);
  void Finish(CallId aId, ReplyMessage aReply);
  void FreeSlot();
  void Observe(const Serving& aServing, int aStatus, Millis aTime);
  void RefuseWaiting(const char* aReason);
  /** Compares what the target says it works on with the open requests. */
  void OnReport(const TargetReport& aReport);
  /** @return how much slower the open runs show the target to be. */
  [[nodiscard]] double Slowdown() const;
  void OnTimer();
  void ArmTimer();

  TargetGateOptions mOptions;
  const PlatformPort& mPort;
  TargetGateHandlers mHandlers;
  EventLog& mLog;
  SidecarMetrics& mMetrics;
  TargetClient mClient;
  gateway::SlotQueue mQueue{ 1 };
  gateway::RunTimes mRunTimes;
  double mSuccess = 1;
  Millis mLastRunEnd;
  Millis mLastAnswer;
  std::optional<gateway::TargetInfo> mTarget;
  Millis mTargetStarted;
  std::uint64_t mSequence = 0;
  Millis mColdUntil;
  /** The targets that left and when, by the wall clock. */
  std::map<std::string, Millis> mLeft;
  CallId mNextId = 1;
  std::map<CallId, Serving> mServing;
  std::set<std::pair<Millis, CallId>> mDeadlines;
  Timer mTimer;
  Timer mQueueTick;
  bool mTicking = false;
};

} // namespace papayaway::sidecar
