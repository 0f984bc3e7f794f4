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
#include <gateway/RetryBudget.h>
#include <gateway/RoutingTable.h>
#include <gateway/RunTimes.h>
#include <gateway/StartupQueue.h>
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

private:
  /** The Retry-After value of refusals for which no waiting time can be
   *  estimated: no desired state or target is known, or too many requests are
   *  active. */
  static constexpr Millis kDefaultRetryAfter{ 300 };
  /** The longest Retry-After, as a fraction of the caller's remaining time.
   *  Callers obey values of up to a third of it. */
  static constexpr double kMaxRetryAfterFraction = 0.3;

  struct ActiveRequest
  {
    std::shared_ptr<CallerExchange> mExchange;
    /** Owns the rule that mRule points to. */
    std::shared_ptr<gateway::RoutingTable> mTable;
    const gateway::RouteRule* mRule = nullptr;
    std::string mService;
    VersionChoice mVersion;
    std::string mRequestId;
    /** The tenant whose usage cap applies; empty if there is none. */
    std::string mTenant;
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
  /** @return whether the service has a target that calls can be sent to now. */
  [[nodiscard]] bool HasTarget(const std::string& aService) const;
  /** @return how long the caller waits, if the request states it. */
  [[nodiscard]] std::optional<Millis> CallerTimeout(
    const HttpMessage& aRequest) const;
  void Route(const std::shared_ptr<CallerExchange>& aExchange,
             Millis aArrivedAt);
  /** @return the name of the tenant whose key the request carries, or "". */
  [[nodiscard]] std::string TenantOf(const HttpMessage& aRequest) const;
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
  void ArmDeadlineTimer();
  void OnDeadlineTimer();

  DispatcherOptions mOptions;
  DispatcherDependencies mDependencies;
  gateway::RetryBudget mBudget;
  /** Run times of successful requests, by route and by service. */
  gateway::RunTimes mRouteRunTimes;
  gateway::RunTimes mServiceRunTimes;
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
