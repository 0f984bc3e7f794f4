#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <base/Millis.h>
#include <base/Random.h>
#include <gateway/Placement.h>
#include <gateway/RetryAfter.h>
#include <gateway/RetryBudget.h>
#include <gateway/RoutingTable.h>
#include <gateway/RunTimes.h>
#include <gateway/StartupQueue.h>
#include <gateway/StateFreshness.h>
#include <gateway/StopSchedule.h>
#include <gateway/TargetChoice.h>
#include <http/CallerServer.h>
#include <net/EventLoop.h>
#include <sidecar/CapAgent.h>
#include <sidecar/EventLog.h>
#include <sidecar/LocalTargetProxy.h>
#include <sidecar/PeerMesh.h>
#include <sidecar/PlatformProtocol.h>
#include <sidecar/SidecarMetrics.h>
#include <sidecar/TargetDirectory.h>

namespace papayaway::sidecar {

/** The versions of a service that a new request may be sent to. */
struct VersionChoice
{
  VersionRule mRule = VersionRule::Any;
  std::string mVersion;
};

struct DispatcherOptions
{
  std::string mNode;
  /** The service of this host; sent to targets as the calling service. */
  std::string mService;
  gateway::RetryBudgetOptions mRetryBudget;
  gateway::ChoiceCosts mCosts;
};

struct DispatcherDependencies
{
  const PlatformProtocol& mProtocol;
  PeerMesh& mMesh;
  TargetDirectory& mTargets;
  LocalTargetProxy& mLocalTarget;
  CapAgent& mCaps;
  EventLog& mLog;
  SidecarMetrics& mMetrics;
  Random& mRandom;
  /** Chooses the versions allowed for one request of a service. */
  std::function<VersionChoice(const std::string&)> mChooseVersion;
  const gateway::EvacuationSet& mEvacuations;
  /** @return whether the desired state in force may be too old to tell whose
   *    keys are valid. */
  std::function<gateway::StateDoubt()> mStateDoubt;
};

/**
 * Accepts requests from callers and sends each of them to a target.
 *
 * A request that was refused before it reached a target is rerouted to another
 * node at once. One that reached a target is retried only if the retry budget
 * allows it, and if it may have run, only if it is idempotent.
 */
class Dispatcher
{
public:
  Dispatcher(EventLoop& aLoop,
             DispatcherOptions aOptions,
             DispatcherDependencies aDependencies);
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;
  ~Dispatcher();

  /** Sets the routing table for requests that arrive from now on and for held
   *  requests, which wait for the first routing table. */
  void SetRoutingTable(std::shared_ptr<gateway::RoutingTable> aTable);

  /** Sets what is still taken on until the end of this process. */
  void SetStop(const gateway::StopSchedule& aStop) { mStop = aStop; }

  /** Handles a new request of a caller. */
  void OnRequest(const std::shared_ptr<CallerExchange>& aExchange);

  /** Handles the reply of another node to a call. */
  void OnReply(const std::string& aNode, ReplyMessage aReply);

  /** Handles the loss of a link with calls that have no reply yet.
   *  @param aWasOpen whether the link had been open. If not, the calls were
   *    never sent; otherwise they may have run. */
  void OnLinkLost(LinkId aLink, bool aWasOpen);

  /** @return how long requests of the route take at all targets, as far as the
   *    callers of this node have used it. */
  [[nodiscard]] std::optional<Millis> UsualRunTime(
    const std::string& aRoute) const
  {
    return mRouteRunTimes.Knows(aRoute)
             ? std::optional(mRouteRunTimes.Mean(aRoute))
             : std::nullopt;
  }

private:
  /** The Retry-After value of refusals for which no waiting time can be
   *  estimated: no desired state or target is known, or too many requests are
   *  active. */
  static constexpr Millis kDefaultRetryAfter{ 300 };
  /** The longest Retry-After, as a fraction of the caller's remaining time.
   *  Callers obey values of up to a third of it. */
  static constexpr double kMaxRetryAfterFraction = 0.3;
  /** Why requests are answered with 401. */
  static constexpr const char* kUnknownCredential = "unknown_credential";

  struct ActiveRequest
  {
    std::shared_ptr<CallerExchange> mExchange;
    /** Owns the rule that mRule points to. */
    std::shared_ptr<gateway::RoutingTable> mTable;
    const gateway::RouteRule* mRule = nullptr;
    std::string mService;
    VersionChoice mVersion;
    std::string mRequestId;
    /** The name of the tenant that sent the request; empty if there is none. */
    std::string mTenant;
    /** Combines the priorities of tenant and route. */
    int mPriority = 0;
    /** Whether the tenant or its key was removed after the request had been
     *  sent to a node. No further attempt is made. */
    bool mRevoked = false;
    /** Whether the request waits for a token of its tenant. */
    bool mWaitsForToken = false;
    /** When the token that was taken for the request expires. */
    Millis mTokenExpiry;
    HttpHeaders mHeaders;
    Millis mArrivedAt;
    /** When the first target was looked for. Later than the arrival if the
     *  request was held first. */
    Millis mRoutedAt;
    /** When the current attempt was sent. */
    Millis mSentAt;
    Millis mDeadline;
    /** How long the caller waits for a response, counted from the arrival. */
    Millis mCallerTimeout;
    /** The running request of the local target that made this request, if
     *  any. */
    std::optional<gateway::RunningParent> mParent;
    /** The number of attempts that reached a target. */
    int mTargetsReached = 0;
    /** The number of attempts refused before they reached a target. */
    int mRefusals = 0;
    /** Nodes of earlier attempts, which are not tried again. */
    std::vector<std::string> mExcluded;
    /** The node of the current attempt. */
    std::string mNode;
    LinkId mLink = 0;
    LocalTargetProxy::CallId mLocalCall = 0;
    /** Whether the current attempt runs at the local target. */
    bool mIsLocal = false;
    ReplyMessage mLastReply;
    /** Whether any attempt has run or may have run. */
    bool mMayHaveRun = false;
    /** The response of the last target that answered with a server error. */
    std::optional<CallerResponse> mFailedResponse;
  };

  /** A request that waits for the first desired state or for a target after
   *  this process has started. */
  struct HeldRequest
  {
    std::shared_ptr<CallerExchange> mExchange;
    Millis mArrivedAt;
  };

  /** Holds a request of a process that has just started, until the desired
   *  state and a target are known.
   *  @return whether the request is held. */
  bool TryHold(const std::shared_ptr<CallerExchange>& aExchange,
               Millis aArrivedAt);
  /** Routes all held requests. */
  void ReleaseHeld();
  void OnHoldTimer();
  /** Refuses a request because no desired state or no target is known yet. */
  void RefuseUnroutable(CallerExchange& aExchange);
  /** @return whether the service has no target that calls can be sent to now,
   *    but nodes that are not known yet may have one in an allowed place. */
  [[nodiscard]] bool MayAwaitTarget(const std::string& aService,
                                    const gateway::Placement& aPlacement) const;
  /** @return where requests of the tenant may run on the route, by the table
   *    and the evacuations in force. */
  [[nodiscard]] gateway::Placement PlacementOf(
    const gateway::RouteRule& aRule,
    const std::string& aTenant) const;
  /** As above for an active request. If the desired state has changed since it
   *  arrived, both the old and the new one restrict it. */
  [[nodiscard]] gateway::Placement PlacementOf(
    const ActiveRequest& aActive) const;
  /** Answers a request for which no target is found. */
  void AnswerNoTarget(std::uint64_t aId, const gateway::Placement& aPlacement);
  /** @return how long the caller waits, if the request states it. */
  [[nodiscard]] std::optional<Millis> CallerTimeout(
    const HttpMessage& aRequest) const;
  /** @return who sent the request, according to the desired state in force. */
  [[nodiscard]] gateway::CallerIdentity Identify(const HttpMessage& aRequest,
                                                 bool aPublic) const;
  /** Holds or refuses a request with 503 if the desired state may be too old to
   *  accept or reject its key.
   *  @return whether the request was held or refused. */
  [[nodiscard]] bool RefuseInDoubt(
    const std::shared_ptr<CallerExchange>& aExchange,
    Millis aArrivedAt,
    const std::string& aRequestId,
    const gateway::CallerIdentity& aIdentity);
  /** Withdraws the requests that the desired state in force no longer accepts
   *  from nodes where they wait. Those that have started continue. */
  void RevokeRequests();
  /** Answers a request of a removed tenant or key after an attempt that brought
   *  no response. */
  void AnswerRevoked(std::uint64_t aId);
  void Route(const std::shared_ptr<CallerExchange>& aExchange,
             Millis aArrivedAt);
  /** Dispatches the request once its tenant's usage cap allows it, or refuses
   *  it. */
  void AdmitAndDispatch(std::uint64_t aId);
  /** Dispatches a request again that may have run, once its tenant's usage cap
   *  allows one more run; otherwise answers with the outcome so far. */
  void AdmitAndRetry(std::uint64_t aId);
  /** Chooses a target for the next attempt and sends the request, or answers
   *  the caller if no target can run it in time. */
  void Dispatch(std::uint64_t aId);
  /** @return the mean run time of the route's requests, relative to that of all
   *    requests of the service. */
  [[nodiscard]] double RunTimeRatio(const ActiveRequest& aActive) const;
  void Send(std::uint64_t aId,
            ActiveRequest& aActive,
            const std::string& aNode);
  void HandleReply(std::uint64_t aId, ReplyMessage aReply);
  /** Decides whether to retry a request and charges the retry budget. */
  [[nodiscard]] bool MayRetry(const ActiveRequest& aActive,
                              const ReplyMessage& aReply);
  void CancelAttempt(const ActiveRequest& aActive);
  /** @return for logs and metrics: where the current attempt is. */
  [[nodiscard]] const char* StageOf(const ActiveRequest& aActive) const;
  /** Sends a response to the caller and ends the request.
   *  @param aOrigin for the log: "target" if a target sent the response,
   *    otherwise why there is no response of a target. */
  void Answer(std::uint64_t aId, CallerResponse aResponse, const char* aOrigin);
  /** Answers that the request was refused, unless an earlier attempt ran or may
   *  have run: the caller is then sent the outcome of that attempt.
   *  @param aExpectedWait the expected time until a slot is free. */
  void AnswerRefused(std::uint64_t aId,
                     const char* aReason,
                     Millis aExpectedWait);
  /** Answers that the tenant's usage cap is used up.
   *  @param aRetryAfter when a request is expected to be admitted. */
  void AnswerOverCap(std::uint64_t aId, Millis aRetryAfter);
  void AnswerFromLastReply(std::uint64_t aId);
  void AnswerError(std::uint64_t aId, int aStatus, const char* aReason);
  void Refuse(CallerExchange& aExchange,
              const std::string& aRequestId,
              int aStatus,
              const char* aReason,
              Millis aRetryAfter);
  void OnAbandoned(std::uint64_t aId);
  /** Records the end of a call of the local target, if the request is one. */
  void RecordNestedCall(const ActiveRequest& aActive,
                        gateway::NestedCallEnd aEnd);
  void ArmDeadlineTimer();
  void OnDeadlineTimer();

  DispatcherOptions mOptions;
  DispatcherDependencies mDependencies;
  gateway::RetryBudget mBudget;
  /** Run times of successful requests, by route and by service. */
  gateway::RunTimes mRouteRunTimes;
  gateway::RunTimes mServiceRunTimes;
  /** Callers that were refused and told when to return; used while the control
   *  of load is active. */
  gateway::EarlyReturns mEarlyReturns;
  std::shared_ptr<gateway::RoutingTable> mTable;
  std::optional<gateway::StopSchedule> mStop;
  gateway::StartupQueue mStartupQueue;
  std::map<std::uint64_t, HeldRequest> mHeldRequests;
  Timer mHoldTimer;
  std::map<std::uint64_t, ActiveRequest> mActiveRequests;
  std::set<std::pair<Millis, std::uint64_t>> mDeadlines;
  Timer mDeadlineTimer;
  std::uint64_t mNextId = 1;
};

} // namespace papayaway::sidecar
