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
#include <gateway/RepeatBudget.h>
#include <gateway/RoutingTable.h>
#include <gateway/RunTimes.h>
#include <gateway/StartupQueue.h>
#include <gateway/TargetChoice.h>
#include <http/CallerServer.h>
#include <net/EventLoop.h>
#include <sidecar/EventLog.h>
#include <sidecar/PeerMesh.h>
#include <sidecar/PlatformPort.h>
#include <sidecar/SidecarMetrics.h>
#include <sidecar/TargetDirectory.h>
#include <sidecar/TargetGate.h>

namespace papayaway::sidecar {

/** Which versions of a service a new request may go to. */
struct VersionChoice
{
  VersionRule mRule = VersionRule::Any;
  std::string mVersion;
};

struct DispatcherOptions
{
  std::string mNode;
  /** The service of this host, which targets see as the caller. */
  std::string mService;
  gateway::RepeatBudgetOptions mRepeats;
  gateway::ChoiceCosts mCosts;
};

struct DispatcherParts
{
  const PlatformPort& mPort;
  PeerMesh& mMesh;
  TargetDirectory& mTargets;
  TargetGate& mGate;
  EventLog& mLog;
  SidecarMetrics& mMetrics;
  Random& mRandom;
  /** Draws the versions for one request of a service. */
  std::function<VersionChoice(const std::string&)> mDrawVersion;
};

/**
 * Takes the requests of callers and finds a target for each.
 *
 * A request that did not run goes to other targets at once. One that may have
 * run is sent again only if it is idempotent and the budget allows it.
 */
class Dispatcher
{
public:
  Dispatcher(EventLoop& aLoop,
             DispatcherOptions aOptions,
             DispatcherParts aParts);
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;
  ~Dispatcher();

  /** Brings a desired state into force for requests that come from now on and
   *  for those that wait for the first one. */
  void SetState(std::shared_ptr<gateway::RoutingTable> aTable);

  void OnRequest(const std::shared_ptr<CallerExchange>& aExchange);

  /** Takes in the answer to a call that was sent on a link. */
  void OnReply(const std::string& aNode, ReplyMessage aReply);

  /** The calls on the link have no answer, or were not sent if it was never
   *  open. */
  void OnLinkLost(LinkId aLink, bool aWasOpen);

private:
  /** Asked of callers while this node knows no desired state or no target. */
  static constexpr Millis kUnknownPause{ 300 };

  struct ActiveRequest
  {
    std::shared_ptr<CallerExchange> mExchange;
    /** Keeps the rule valid. */
    std::shared_ptr<gateway::RoutingTable> mTable;
    const gateway::RouteRule* mRule = nullptr;
    std::string mService;
    VersionChoice mVersion;
    std::string mRequestId;
    HttpHeaders mHeaders;
    Millis mArrived;
    /** When the first target was looked for; later than its arrival if it
     *  waited for the desired state. */
    Millis mRouted;
    /** When the current attempt began. */
    Millis mSent;
    Millis mDeadline;
    /** The time that the caller waits, from its arrival. */
    Millis mPatience;
    int mReached = 0;
    int mRefusals = 0;
    std::vector<std::string> mExcluded;
    std::string mNode;
    LinkId mLink = 0;
    TargetGate::CallId mServed = 0;
    bool mAtGate = false;
    ReplyMessage mLast;
    /** Whether an attempt ran or may have run. */
    bool mMayHaveRun = false;
    /** The answer of a target that failed the request. */
    std::optional<CallerResponse> mFailed;
  };

  /** A request that waits for the first desired state or for a target. */
  struct HeldRequest
  {
    std::shared_ptr<CallerExchange> mExchange;
    Millis mArrived;
  };

  /** @return whether the request waits until this node, which has just
   *    started, knows the desired state and a target. */
  bool TryHold(const std::shared_ptr<CallerExchange>& aExchange,
               Millis aArrived);
  void ReleaseHeld();
  void OnHoldTimer();
  /** Refuses a request that can't be routed yet. */
  void RefuseEarly(CallerExchange& aExchange);
  [[nodiscard]] bool HasTarget(const std::string& aService) const;
  /** @return how long the caller waits, if it says so. */
  [[nodiscard]] std::optional<Millis> PatienceOf(
    const HttpMessage& aRequest) const;
  void Route(const std::shared_ptr<CallerExchange>& aExchange, Millis aArrived);
  void Dispatch(std::uint64_t aId);
  /** @return how long the route's requests take, relative to the service's. */
  [[nodiscard]] double RunRatio(const ActiveRequest& aActive) const;
  void Send(std::uint64_t aId,
            ActiveRequest& aActive,
            const std::string& aNode);
  void HandleReply(std::uint64_t aId, ReplyMessage aReply);
  [[nodiscard]] bool MayRepeat(const ActiveRequest& aActive,
                               const ReplyMessage& aReply);
  void CancelAttempt(const ActiveRequest& aActive);
  void Answer(std::uint64_t aId, CallerResponse aResponse, const char* aWhy);
  void AnswerRefused(std::uint64_t aId, const char* aReason, Millis aWait);
  void AnswerLast(std::uint64_t aId);
  void AnswerFailed(std::uint64_t aId, int aStatus, const char* aReason);
  void Refuse(CallerExchange& aExchange,
              const std::string& aRequestId,
              int aStatus,
              const char* aReason,
              Millis aRetryAfter);
  void OnAbandoned(std::uint64_t aId);
  void ArmTimer();
  void OnTimer();

  DispatcherOptions mOptions;
  DispatcherParts mParts;
  gateway::RepeatBudget mBudget;
  /** Times of good answers, by route and by service. */
  gateway::RunTimes mTimes;
  gateway::RunTimes mServiceTimes;
  std::shared_ptr<gateway::RoutingTable> mTable;
  gateway::StartupQueue mStartup;
  std::map<std::uint64_t, HeldRequest> mHeld;
  Timer mHoldTimer;
  std::map<std::uint64_t, ActiveRequest> mActive;
  std::set<std::pair<Millis, std::uint64_t>> mDeadlines;
  Timer mTimer;
  std::uint64_t mNextId = 1;
};

} // namespace papayaway::sidecar
