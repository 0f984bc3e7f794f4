#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>

#include <base/Millis.h>
#include <gateway/CallAdmission.h>
#include <gateway/CallParents.h>
#include <gateway/ColdRateLimiter.h>
#include <gateway/DesiredState.h>
#include <gateway/PresentSpeed.h>
#include <gateway/RetryAfter.h>
#include <gateway/RunTimes.h>
#include <gateway/SlotQueue.h>
#include <gateway/TargetPace.h>
#include <http/ConnectProbe.h>
#include <http/TargetClient.h>
#include <net/EventLoop.h>
#include <sidecar/EventLog.h>
#include <sidecar/PeerMessages.h>
#include <sidecar/PlatformProtocol.h>
#include <sidecar/SidecarMetrics.h>

namespace papayaway::sidecar {

/** The result of one request that the local target has answered. */
struct RunReport
{
  const std::string& mService;
  const std::string& mVersion;
  const std::string& mRoute;
  bool mFailed = false;
  /** Whether the target was still in its cold-start period, in which it is
   *  slow. */
  bool mCold = false;
  /** The time from sending the request to the response. */
  Millis mTime;
};

struct LocalTargetProxyHandlers
{
  /** The target's state or description has changed. */
  std::function<void()> mStateChanged;
  /** The target has answered a request; receives the result of the run. */
  std::function<void(const RunReport&)> mRunFinished;
  /** A call that was sent to the target has ended without an answer. */
  std::function<void(const CallMessage&)> mCallLost;
  /** The target has answered a call; receives when the call was sent. */
  std::function<void(const CallMessage&, Millis)> mAnswered;
  /** The target's process has ended; receives when the one that has taken its
   *  place started, if known. */
  std::function<void(std::optional<Millis>)> mTargetEnded;
  /** @return whether the request is known to crash targets. */
  std::function<bool(const CallMessage&)> mIsQuarantined;
  /** @return whether the version of the target may receive requests. It may
   *    not once a rollout has moved all requests to another version. */
  std::function<bool(const gateway::TargetInfo&)> mVersionTakesRequests;
  /** @return why the request may not run in the place of this node, or nullptr
   *    if it may. */
  std::function<const char*(const CallMessage&)> mPlacementRefusal;
  /** @return how long requests of the route usually take at all targets, if
   *    known. */
  std::function<std::optional<Millis>(const std::string&)> mUsualRunTime;
  /** @return the share of a tenant in the slots, relative to those of others.
   */
  std::function<double(const std::string&)> mTenantWeight;
};

struct LocalTargetProxyOptions
{
  std::string mNode;
  /** The address of the local target, "IPv4:port". */
  std::string mAddress;
  /** The service that the local target must serve. */
  std::string mService;
  gateway::ColdRateOptions mColdRate;
  /** Whether targets that report their present speed are paced although their
   *  service has no cold rate. */
  bool mPaceReportedSpeed = false;
};

/**
 * Queues the requests for the local target and sends them. No other component
 * calls the target.
 *
 * A request is sent only when the target has a free slot, because some targets
 * never answer requests that they can't queue. Requests are refused as soon as
 * the target has announced that it leaves, that is, shuts down.
 */
class LocalTargetProxy
{
public:
  using CallId = std::uint64_t;
  using Callback = std::function<void(ReplyMessage)>;

  LocalTargetProxy(EventLoop& aLoop,
                   LocalTargetProxyOptions aOptions,
                   const PlatformProtocol& aProtocol,
                   LocalTargetProxyHandlers aHandlers,
                   EventLog& aLog,
                   SidecarMetrics& aMetrics);
  LocalTargetProxy(const LocalTargetProxy&) = delete;
  LocalTargetProxy& operator=(const LocalTargetProxy&) = delete;
  ~LocalTargetProxy();

  /** Applies a check-in of the target. Outdated check-ins and those of targets
   *  that have left are ignored. Those of another address or service, or with a
   *  start time in the future, are rejected.
   *  @return whether the check-in may be acknowledged. */
  [[nodiscard]] bool OnCheckIn(const CheckIn& aCheckIn);

  /** Applies the rule of the desired state for the service.
   *  @param aRule nullptr if the desired state does not have the service. */
  void SetServiceRule(const gateway::ServiceRule* aRule);

  /** @return whether the requests to a starting target are paced: if its
   *  service has a cold rate or, where the settings ask for it, if it reports
   *  how fast it is at present. */
  [[nodiscard]] bool UsesPace() const
  {
    return mColdLimiter.HasRate() ||
           (mOptions.mPaceReportedSpeed && mPresentSpeed.IsReported());
  }

  /** Applies the loads of the other ready targets of the service to the pace.
   *  To be called periodically if UsesPace(). */
  void OnPeers(std::span<const gateway::TargetCandidate> aPeers);

  /** Handles the announcement that the target leaves. From then on, check-ins
   *  in which this target process is ready are ignored. */
  void OnLeave(const std::string& aTargetId);

  /** Handles announcements that an earlier process of this node has
   *  received. */
  void OnLeftTargets(const std::vector<gateway::LeftTarget>& aLeft);

  /** @return the targets that have left, as published in the record of this
   *    node. */
  [[nodiscard]] const std::vector<gateway::LeftTarget>& LeftTargets() const
  {
    return mLeftTargets;
  }

  /** Queues a request for the target. Unless the call is cancelled, aCallback
   *  runs exactly once, possibly before Serve() returns.
   *  @return an id for Cancel(). Ids are never reused. */
  CallId Serve(CallMessage aCall, Callback aCallback);

  /** Stops a call whose caller has gone away. Its callback does not run. */
  void Cancel(CallId aId);

  /** Refuses the waiting calls that may no longer run here. To be called when
   *  an evacuation or the desired state has changed. */
  void RefuseMisplaced();
  /** Sets whether the desired state asks for the control of load by the calls
   *  that running requests make. A target that reports its present speed asks
   *  for it too. */
  void SetLoadControl(bool aRequested) { mLoadControlRequested = aRequested; }

  /** @return whether the control of load by calls is active on this node. */
  [[nodiscard]] bool LoadControlActive() const
  {
    return mLoadControlRequested || mPresentSpeed.IsReported();
  }

  /** @param aRoute the route of a request that has arrived at this node.
   *  @param aTimeLeft how long its sender waits, if it states it.
   *  @param aArrivedAt when it arrived.
   *  @return the running request that made it, or nullopt if it is not a call
   *    of the local target. */
  [[nodiscard]] std::optional<gateway::RunningParent> ParentOf(
    const std::string& aRoute,
    std::optional<Millis> aTimeLeft,
    Millis aArrivedAt);

  /** Records how a call that the local target made has ended.
   *  @param aParentRoute the route of the request that made it.
   *  @param aArrivedAt when the call arrived at this node. */
  void OnNestedCallEnded(const std::string& aParentRoute,
                         gateway::NestedCallEnd aEnd,
                         Millis aArrivedAt);

  /** @return how many routes start fewer requests because the calls that they
   *    make are refused or late. */
  [[nodiscard]] std::size_t LimitedRoutes() const
  {
    return mCallAdmission.LimitedRoutes();
  }
  /** Refuses a call that still waits for a slot. One that has been sent to the
   *  target continues. */
  void Withdraw(CallId aId);

  /** @return the local target, as published in the record of this node. */
  [[nodiscard]] const std::optional<gateway::TargetInfo>& Target() const
  {
    return mTarget;
  }

  /** @return the current load of the local target. */
  [[nodiscard]] gateway::TargetLoad Load() const;

  /** @return the number of connections opened to the target so far. */
  [[nodiscard]] std::uint64_t ConnectionsOpened() const
  {
    return mClient.ConnectionsOpened();
  }

private:
  /** The weight of the newest run in the moving average of the success rate,
   *  which thus covers about the last 15 runs. */
  static constexpr double kSuccessWeight = 0.07;
  /** Reasons of refusals because the target is cold and has got the requests
   *  that it tolerates in a second, or because it has just started. */
  static constexpr const char* kColdRateReason = "cold_rate";
  static constexpr const char* kPaceReason = "pace";

  /** A call that waits for a slot or has been sent to the target. */
  struct ActiveCall
  {
    CallMessage mCall;
    Callback mCallback;
    Millis mArrivedAt;
    Millis mDeadline;
    /** When the call was sent to the target. */
    Millis mStartedAt;
    /** How many times longer than usual work took then. */
    double mSlowdownAtStart = 1;
    TargetClient::CallId mClientCall = 0;
    bool mSentToTarget = false;
  };

  /** @return the target's known process, or any one that has started by now,
   *    as one that leaves. */
  [[nodiscard]] gateway::LeftTarget AsLeft(const std::string& aTargetId) const;
  /** @return whether the target process that sent the check-in has
   *    announced that it leaves. */
  [[nodiscard]] bool HasLeft(const CheckIn& aCheckIn) const;
  void SetState(gateway::TargetState aState, const char* aReason);
  /** Handles evidence that no process of the target listens. */
  void OnRefusedConnection(const char* aReason);
  /** Handles a connection that broke with a request in flight: the target may
   *  have crashed. */
  void ScheduleProbe();
  void StartProbe();
  void OnProbeEnded(ProbeResult aResult);
  /** Logs that another target process has the place of the known one. */
  void LogReplaced(const char* aEvidence);
  /** @return why the call can't be accepted, or nullptr if it can. */
  [[nodiscard]] const char* RefusalReason(const CallMessage& aCall) const;
  void Apply(const gateway::SlotActions& aActions);
  void Start(CallId aId);
  void OnResult(CallId aId, TargetResult aResult);
  void Refuse(CallId aId, const char* aReason);
  void Finish(CallId aId, ReplyMessage aReply);
  /** @return when the caller of a refused call should return, counted from
   *    now. */
  [[nodiscard]] Millis RetryAfterOf(const ActiveCall& aActive);
  void FreeSlot();
  void RecordRun(const ActiveCall& aActive, int aStatus, Millis aTime);
  void RefuseWaiting(const char* aReason);
  /** Compares the target's reported load with the requests open at it, to
   *  find requests that the target has ended without a response arriving. */
  void OnLoadReport(const TargetReport& aReport);
  /** Starts the pace of a target process that has started recently. */
  void DecidePace();
  /** Applies the result of a request to the pace. */
  void OnPacedResult(const ActiveCall& aActive, const ReplyMessage& aReply);
  /** @return the limit that a request would exceed, as the reason of a refusal,
   *    or nullptr if it may be sent. */
  [[nodiscard]] const char* ExceededLimit(Millis aNow) const;
  /** @return the rate that other nodes are told; nullopt without a limit. */
  [[nodiscard]] std::optional<double> AdmissionRate() const;
  /** Applies the time for which a response says that the target is cold. */
  void OnColdHeader(const HttpHeaders& aHeaders);
  /** @return the factor by which the target currently appears slower than
   *    usual, judged by the ages of the requests open at it. */
  [[nodiscard]] double Slowdown() const;
  void OnDeadlineTimer();
  void ArmDeadlineTimer();

  EventLoop& mLoop;
  LocalTargetProxyOptions mOptions;
  const PlatformProtocol& mProtocol;
  LocalTargetProxyHandlers mHandlers;
  EventLog& mLog;
  SidecarMetrics& mMetrics;
  TargetClient mClient;
  gateway::SlotQueue mQueue{ 1 };
  gateway::RunTimes mRunTimes;
  gateway::CallParents mCallParents;
  gateway::CallAdmission mCallAdmission;
  gateway::CapacityPromises mPromises;
  bool mLoadControlRequested = false;
  gateway::PresentSpeed mPresentSpeed;
  /** The fraction of runs that succeeded, 0 to 1, as a moving average. */
  double mSuccessRate = 1;
  Millis mLastRunEnd;
  Millis mLastResponseAt;
  std::optional<gateway::TargetInfo> mTarget;
  Millis mTargetStarted;
  /** The sequence number of the last check-in applied. */
  std::uint64_t mSequence = 0;
  /** The end of the target's cold-start period. */
  Millis mColdUntil;
  gateway::ColdRateLimiter mColdLimiter;
  gateway::TargetPace mPace;
  /** The state of the pace that was logged last. */
  gateway::TargetPace::State mLoggedPace =
    gateway::TargetPace::State::Unlimited;
  /** Whether it was decided for this process of the target whether it is paced
   *  from its start. */
  bool mPaceDecided = false;
  std::vector<gateway::LeftTarget> mLeftTargets;
  CallId mNextId = 1;
  std::map<CallId, ActiveCall> mActiveCalls;
  std::set<std::pair<Millis, CallId>> mDeadlines;
  Timer mDeadlineTimer;
  Timer mQueueTimer;
  bool mQueueTimerActive = false;
  /** Checks after a lost connection whether the target still listens. The next
   *  request would show it too, but may come only after the target is back. */
  std::unique_ptr<ConnectProbe> mProbe;
  Timer mProbeTimer;
  bool mProbeScheduled = false;
  Millis mLastProbe;
};

} // namespace papayaway::sidecar
