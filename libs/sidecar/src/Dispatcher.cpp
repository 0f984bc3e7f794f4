#include <sidecar/Dispatcher.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

#include <gateway/RateLimitedChoice.h>
#include <http/HttpText.h>

namespace papayaway::sidecar {

using gateway::RouteRule;
using gateway::TargetCandidate;
using Category = EventLog::Category;

namespace {

/** Limits the memory used by active requests; a host has 260 MB. */
constexpr std::size_t kMaxActiveRequests = 4000;
/** The caller is refused after this many nodes have refused its request. */
constexpr int kMaxRefusals = 4;
/** A refused request is rerouted only within this fraction of its latency
 *  objective, so that a caller that is refused has lost little time. */
constexpr double kRerouteFraction = 0.125;
/** A retry requires at least this many mean run times before the deadline. */
constexpr double kMinRetryRuns = 1.2;
/** The target itself ends a request at the deadline. Its response is accepted
 *  for this long after the deadline, to allow for the transfer. */
constexpr Millis kResponseGrace{ 80 };

std::optional<Millis>
ParseMillis(std::string_view aText)
{
  std::uint64_t value = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  if (aText.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return Millis{ static_cast<double>(value) };
}

} // namespace

Dispatcher::Dispatcher(EventLoop& aLoop,
                       DispatcherOptions aOptions,
                       DispatcherDependencies aDependencies)
  : mOptions(std::move(aOptions))
  , mDependencies(std::move(aDependencies))
  , mBudget(mOptions.mRetryBudget)
  , mStartupQueue({}, SteadyNow())
  , mHoldTimer(aLoop, [this] { OnHoldTimer(); })
  , mDeadlineTimer(aLoop, [this] { OnDeadlineTimer(); })
{
}

Dispatcher::~Dispatcher() = default;

void
Dispatcher::SetRoutingTable(std::shared_ptr<gateway::RoutingTable> aTable)
{
  mTable = std::move(aTable);
  RevokeRequests();
  ReleaseHeld();
}

void
Dispatcher::OnRequest(const std::shared_ptr<CallerExchange>& aExchange)
{
  const Millis now = SteadyNow();
  if (mTable) {
    Route(aExchange, now);
  } else if (!TryHold(aExchange, now)) {
    RefuseUnroutable(*aExchange);
  }
}

std::optional<Millis>
Dispatcher::CallerTimeout(const HttpMessage& aRequest) const
{
  return ParseMillis(
    aRequest.mHeaders.Value(mDependencies.mProtocol.Headers().mTimeLeft));
}

void
Dispatcher::Route(const std::shared_ptr<CallerExchange>& aExchange,
                  Millis aArrivedAt)
{
  const HttpMessage& request = aExchange->Request();
  const HeaderNames& names = mDependencies.mProtocol.Headers();
  std::string requestId(request.mHeaders.Value(names.mRequestId));
  const std::string_view path =
    std::string_view(request.mTarget).substr(0, request.mTarget.find('?'));
  gateway::ActiveRule* const rule =
    mTable->Find(request.mHeaders.Value("Host"), path);
  if (rule == nullptr) {
    Refuse(*aExchange, requestId, 404, "no_route", {});
    return;
  }
  const gateway::CallerIdentity identity =
    Identify(request, rule->mRule.mPublic);
  if (RefuseInDoubt(aExchange, aArrivedAt, requestId, identity)) {
    return;
  }
  if (!identity.mAccepted) {
    Refuse(*aExchange, requestId, 401, kUnknownCredential, {});
    return;
  }
  if (requestId.empty()) {
    Refuse(*aExchange, requestId, 400, "no_request_id", {});
    return;
  }
  if (mActiveRequests.size() >= kMaxActiveRequests) {
    Refuse(*aExchange, requestId, 503, "too_many_requests", kDefaultRetryAfter);
    return;
  }
  const Millis now = SteadyNow();
  const std::size_t destination = rule->mRoundRobin.Next();
  const std::string& service =
    rule->mRule.mDestinations.at(destination).mService;
  const std::string tenant =
    identity.mTenant == nullptr ? "" : identity.mTenant->mName;
  if (mStartupQueue.IsOpen(now) &&
      MayAwaitTarget(service, PlacementOf(rule->mRule, tenant)) &&
      TryHold(aExchange, aArrivedAt)) {
    return;
  }
  const Millis callerTimeout =
    CallerTimeout(request).value_or(rule->mRule.mTimeout);
  const Millis deadline =
    aArrivedAt + std::min(callerTimeout, rule->mRule.mTimeout);
  if (mStop && !mStop->MayTakeRequest(deadline)) {
    Refuse(*aExchange,
           requestId,
           503,
           "node_stopping",
           std::max(kDefaultRetryAfter,
                    std::min(mStop->UntilCallersAreRedirected(now),
                             callerTimeout * kMaxRetryAfterFraction)));
    return;
  }
  const std::uint64_t id = mNextId++;
  ActiveRequest& active = mActiveRequests[id];
  active =
    ActiveRequest{ .mExchange = aExchange,
                   .mTable = mTable,
                   .mRule = &rule->mRule,
                   .mService = service,
                   .mVersion = mDependencies.mChooseVersion(service),
                   .mRequestId = std::move(requestId),
                   .mTenant = tenant,
                   .mPriority = mTable->Tenants()->Priority(
                     identity.mTenant, rule->mRule.mPriority),
                   .mHeaders = EndToEndHeaders(request.mHeaders),
                   .mArrivedAt = aArrivedAt,
                   .mRoutedAt = now,
                   .mDeadline = deadline,
                   .mCallerTimeout = callerTimeout,
                   .mParent = mDependencies.mLocalTarget.ParentOf(
                     rule->mRule.mName, CallerTimeout(request), aArrivedAt) };
  active.mHeaders.Set(names.mCallerService, mOptions.mService);
  active.mHeaders.Remove(names.mTargetId);
  active.mHeaders.Remove(names.mTimeLeft);
  active.mHeaders.Remove(names.mCredential);
  if (mTable->Tenants()->IsActive()) {
    active.mHeaders.Remove(names.mTenant);
  }
  mDeadlines.emplace(active.mDeadline, id);
  ArmDeadlineTimer();
  aExchange->OnAbandoned([this, id] { OnAbandoned(id); });
  AdmitAndDispatch(id);
}

void
Dispatcher::Dispatch(std::uint64_t aId)
{
  ActiveRequest& active = mActiveRequests.at(aId);
  const Millis now = SteadyNow();
  const gateway::Placement placement = PlacementOf(active);
  const std::vector<TargetCandidate> candidates =
    mDependencies.mTargets.Candidates({ .mService = active.mService,
                                        .mRule = active.mVersion.mRule,
                                        .mVersion = active.mVersion.mVersion,
                                        .mExcluded = active.mExcluded,
                                        .mPlacement = placement });
  const auto choice = gateway::ChooseWithinRates(
    candidates,
    { .mObjectiveLeft = active.mArrivedAt + active.mRule->mObjective - now,
      .mRunTimeRatio = RunTimeRatio(active),
      .mSpread = mDependencies.mLocalTarget.LoadControlActive() },
    mOptions.mCosts,
    mDependencies.mRandom);
  if (!choice) {
    if (active.mVersion.mRule == VersionRule::Only) {
      // The chosen version has no target available: try the other versions.
      active.mVersion.mRule = VersionRule::AllBut;
      Dispatch(aId);
      return;
    }
    if (active.mTargetsReached > 0 || active.mRefusals > 0) {
      AnswerFromLastReply(aId);
    } else {
      AnswerNoTarget(aId, placement);
    }
    return;
  }
  if (now + choice->mExpectedWait > active.mDeadline) {
    AnswerRefused(aId, "no_slot_before_deadline", choice->mExpectedWait);
    return;
  }
  if (active.mRefusals == 0 && !active.mParent &&
      choice->mExpectedWait > Millis{}) {
    // A caller that returns before the time that it was told takes no slot
    // while others wait.
    const Millis early = mEarlyReturns.EarlyBy(active.mRequestId, now);
    if (early > Millis{}) {
      AnswerRefused(aId, "returned_early", early);
      return;
    }
  }
  const std::string node(candidates[choice->mIndex].mNode);
  Send(aId, active, node);
}

double
Dispatcher::RunTimeRatio(const ActiveRequest& aActive) const
{
  return mRouteRunTimes.Mean(aActive.mRule->mName) /
         mServiceRunTimes.Mean(aActive.mService);
}

void
Dispatcher::Send(std::uint64_t aId,
                 ActiveRequest& aActive,
                 const std::string& aNode)
{
  const Millis now = SteadyNow();
  const HttpMessage& request = aActive.mExchange->Request();
  CallMessage call{ .mId = aId,
                    .mRequestId = aActive.mRequestId,
                    .mService = aActive.mService,
                    .mVersionRule = aActive.mVersion.mRule,
                    .mVersion = aActive.mVersion.mVersion,
                    .mRoute = aActive.mRule->mName,
                    .mMethod = request.mMethod,
                    .mTarget = request.mTarget,
                    .mHeaders = aActive.mHeaders,
                    .mBody = request.mBody,
                    .mTimeLeft = aActive.mDeadline - now,
                    .mObjectiveLeft =
                      aActive.mArrivedAt + aActive.mRule->mObjective - now,
                    .mPriority = aActive.mPriority,
                    .mIdempotent = aActive.mRule->mIdempotent,
                    .mTenant = aActive.mTenant };
  if (aActive.mParent) {
    call.mNestedCall = true;
    call.mPriority = aActive.mParent->mPriority;
    // A refused call wastes the run that waits for it, so it may wait as long
    // as that run still meets its objective. If it waited until its deadline,
    // the run would keep its slot from others for too long.
    call.mObjectiveLeft = std::min(
      call.mTimeLeft,
      std::max(call.mObjectiveLeft, aActive.mParent->mCallObjective - now));
  }
  aActive.mNode = aNode;
  aActive.mSentAt = now;
  aActive.mLink = 0;
  aActive.mIsLocal = aNode == mOptions.mNode;
  if (aActive.mIsLocal) {
    const auto localCall = mDependencies.mLocalTarget.Serve(
      std::move(call), [this, aId](ReplyMessage aReply) {
        HandleReply(aId, std::move(aReply));
      });
    // Serve() may already have delivered the reply, which may have started
    // another attempt.
    const auto found = mActiveRequests.find(aId);
    if (found != mActiveRequests.end() && found->second.mIsLocal &&
        found->second.mLocalCall < localCall) {
      found->second.mLocalCall = localCall;
    }
    return;
  }
  mDependencies.mTargets.OnCallSent(aNode);
  const gateway::NodeRecord* const record =
    mDependencies.mTargets.Nodes().Find(aNode);
  aActive.mLink = mDependencies.mMesh.SendOnDemand(
    aNode, record == nullptr ? "" : record->mPeerAddress, call);
  if (aActive.mLink == 0) {
    HandleReply(aId, { .mOutcome = CallOutcome::NotRun, .mReason = "no_link" });
  }
}

void
Dispatcher::OnReply(const std::string& aNode, ReplyMessage aReply)
{
  mDependencies.mTargets.OnLoad(aNode, aReply.mLoad);
  const auto found = mActiveRequests.find(aReply.mId);
  if (found == mActiveRequests.end() || found->second.mNode != aNode) {
    return;
  }
  HandleReply(found->first, std::move(aReply));
}

bool
Dispatcher::MayRetry(const ActiveRequest& aActive, const ReplyMessage& aReply)
{
  const bool notRun = aReply.mOutcome == CallOutcome::NotRun;
  if (!notRun && !aActive.mRule->mIdempotent) {
    return false;
  }
  if (aActive.mTargetsReached >= aActive.mRule->mMaxAttempts) {
    return false;
  }
  const Millis timeLeft = aActive.mDeadline - SteadyNow();
  if (timeLeft < aReply.mLoad.mMeanRunTime * kMinRetryRuns) {
    return false;
  }
  const bool allowed =
    mBudget.TryRetry(aActive.mService, aActive.mRule->mPriority, SteadyNow());
  (allowed ? mDependencies.mMetrics.mRetries
           : mDependencies.mMetrics.mRetriesDenied)
    .Increment();
  if (mDependencies.mLog.ShouldWrite("repeat", Category::Failure)) {
    mDependencies.mLog.Write("calls",
                             "repeat",
                             { { "request", aActive.mRequestId },
                               { "after", aReply.mReason },
                               { "status", aReply.mStatus },
                               { "node", aActive.mNode },
                               { "time_left_ms", timeLeft.WholeMillis() },
                               { "allowed", allowed } });
  }
  return allowed;
}

void
Dispatcher::HandleReply(std::uint64_t aId, ReplyMessage aReply)
{
  const auto found = mActiveRequests.find(aId);
  if (found == mActiveRequests.end()) {
    return;
  }
  ActiveRequest& active = found->second;
  active.mTargetsReached += aReply.mReachedTarget ? 1 : 0;
  const bool notRun = aReply.mOutcome == CallOutcome::NotRun;
  const bool succeeded =
    aReply.mOutcome == CallOutcome::Answered && aReply.mStatus < 500;
  active.mLastReply = std::move(aReply);
  if (succeeded) {
    const Millis time = SteadyNow() - active.mSentAt;
    mRouteRunTimes.OnRun(active.mRule->mName, time);
    mServiceRunTimes.OnRun(active.mService, time);
    AnswerFromLastReply(aId);
    return;
  }
  active.mMayHaveRun = active.mMayHaveRun || !notRun;
  if (active.mLastReply.mOutcome == CallOutcome::Answered) {
    active.mFailedResponse =
      CallerResponse{ .mStatus = active.mLastReply.mStatus,
                      .mHeaders = active.mLastReply.mHeaders,
                      .mBody = active.mLastReply.mBody };
  }
  active.mExcluded.push_back(active.mNode);
  if (active.mRevoked) {
    AnswerRevoked(aId);
    return;
  }
  if (notRun && !active.mLastReply.mReachedTarget) {
    // This attempt reached no target, so sending the request to another node is
    // not a retry and does not use the retry budget.
    const Millis now = SteadyNow();
    const bool quarantined = active.mLastReply.mReason == "quarantined";
    const bool mayReroute =
      !quarantined &&
      now < active.mRoutedAt + active.mRule->mObjective * kRerouteFraction;
    if (++active.mRefusals < kMaxRefusals && mayReroute) {
      Dispatch(aId);
      return;
    }
  } else if (MayRetry(active, active.mLastReply)) {
    notRun ? Dispatch(aId) : AdmitAndRetry(aId);
    return;
  }
  AnswerFromLastReply(aId);
}

void
Dispatcher::CancelAttempt(const ActiveRequest& aActive)
{
  if (aActive.mIsLocal) {
    mDependencies.mLocalTarget.Cancel(aActive.mLocalCall);
  }
}

const char*
Dispatcher::StageOf(const ActiveRequest& aActive) const
{
  if (aActive.mWaitsForToken) {
    return "held";
  }
  if (aActive.mIsLocal) {
    return "local";
  }
  return mDependencies.mMesh.IsOpening(aActive.mLink) ? "link_opening" : "sent";
}

void
Dispatcher::OnAbandoned(std::uint64_t aId)
{
  const auto found = mActiveRequests.find(aId);
  if (found == mActiveRequests.end()) {
    return;
  }
  const ActiveRequest active = std::move(found->second);
  mActiveRequests.erase(found);
  mDeadlines.erase({ active.mDeadline, aId });
  const char* const stage = StageOf(active);
  if (SteadyNow() >= active.mDeadline) {
    RecordNestedCall(active, gateway::NestedCallEnd::RefusedOrLate);
  }
  CancelAttempt(active);
  if (active.mLink != 0) {
    mDependencies.mMesh.Reply(active.mLink, CancelMessage{ .mId = aId });
  }
  if (mDependencies.mLog.ShouldWrite("abandoned", Category::Failure)) {
    mDependencies.mLog.Write(
      "calls",
      "abandoned",
      { { "request", active.mRequestId },
        { "target_node", active.mNode },
        { "stage", stage },
        { "time_ms", (SteadyNow() - active.mArrivedAt).WholeMillis() } });
  }
  mDependencies.mMetrics.OnAbandoned(stage);
  mDependencies.mMetrics.OnRequest(
    active.mRule->mName, "abandoned", SteadyNow() - active.mArrivedAt);
}

void
Dispatcher::OnLinkLost(LinkId aLink, bool aWasOpen)
{
  std::vector<std::uint64_t> lost;
  for (const auto& [id, active] : mActiveRequests) {
    if (active.mLink == aLink && !active.mIsLocal) {
      lost.push_back(id);
    }
  }
  for (const std::uint64_t id : lost) {
    HandleReply(
      id,
      { .mOutcome = aWasOpen ? CallOutcome::Unknown : CallOutcome::NotRun,
        .mReason = aWasOpen ? "link_lost" : "link_not_opened",
        .mReachedTarget = aWasOpen });
  }
}

void
Dispatcher::ArmDeadlineTimer()
{
  if (!mDeadlines.empty()) {
    const Millis timeLeft =
      mDeadlines.begin()->first + kResponseGrace - SteadyNow();
    mDeadlineTimer.StartOnce(std::max(timeLeft, Millis{ 1 }));
  }
}

void
Dispatcher::OnDeadlineTimer()
{
  const Millis now = SteadyNow();
  while (!mDeadlines.empty() &&
         mDeadlines.begin()->first + kResponseGrace <= now) {
    const std::uint64_t id = mDeadlines.begin()->second;
    mDeadlines.erase(mDeadlines.begin());
    const auto found = mActiveRequests.find(id);
    if (found == mActiveRequests.end()) {
      continue;
    }
    const ActiveRequest& active = found->second;
    CancelAttempt(active);
    if (active.mLink != 0) {
      mDependencies.mMesh.Reply(active.mLink, CancelMessage{ .mId = id });
    }
    AnswerError(id, 504, "deadline");
  }
  ArmDeadlineTimer();
}

} // namespace papayaway::sidecar
