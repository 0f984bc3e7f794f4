#include <sidecar/Dispatcher.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

#include <http/HttpText.h>

namespace papayaway::sidecar {

using gateway::RouteRule;
using gateway::TargetCandidate;
using Weight = EventLog::Weight;

namespace {

/** Bounds the memory of requests in flight on a host of 260 MB. */
constexpr std::size_t kMaxActive = 4000;
/** A request that did not run is offered to this many nodes. */
constexpr int kMaxRefusals = 4;
/** Offers stop after this part of the objective: until then a caller that is
 *  refused has lost little of its time. */
constexpr double kOfferPart = 0.125;
/** A repeat needs this many mean run times before the deadline. */
constexpr double kRepeatRuns = 1.2;
/** The target's own end at the deadline has this much time to arrive. */
constexpr Millis kAnswerGrace{ 80 };

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
                       DispatcherParts aParts)
  : mOptions(std::move(aOptions))
  , mParts(std::move(aParts))
  , mBudget(mOptions.mRepeats)
  , mStartup({}, SteadyNow())
  , mHoldTimer(aLoop, [this] { OnHoldTimer(); })
  , mTimer(aLoop, [this] { OnTimer(); })
{
}

Dispatcher::~Dispatcher() = default;

void
Dispatcher::SetState(std::shared_ptr<gateway::RoutingTable> aTable)
{
  mTable = std::move(aTable);
  ReleaseHeld();
}

void
Dispatcher::OnRequest(const std::shared_ptr<CallerExchange>& aExchange)
{
  const Millis now = SteadyNow();
  if (mTable) {
    Route(aExchange, now);
  } else if (!TryHold(aExchange, now)) {
    RefuseEarly(*aExchange);
  }
}

std::optional<Millis>
Dispatcher::PatienceOf(const HttpMessage& aRequest) const
{
  return ParseMillis(aRequest.mHeaders.Value(mParts.mPort.Headers().mTimeLeft));
}

void
Dispatcher::Route(const std::shared_ptr<CallerExchange>& aExchange,
                  Millis aArrived)
{
  const HttpMessage& request = aExchange->Request();
  const HeaderNames& names = mParts.mPort.Headers();
  std::string requestId(request.mHeaders.Value(names.mRequestId));
  const std::string_view path =
    std::string_view(request.mTarget).substr(0, request.mTarget.find('?'));
  gateway::ActiveRule* const rule =
    mTable->Find(request.mHeaders.Value("Host"), path);
  if (rule == nullptr) {
    Refuse(*aExchange, requestId, 404, "no_route", {});
    return;
  }
  if (requestId.empty()) {
    Refuse(*aExchange, requestId, 400, "no_request_id", {});
    return;
  }
  if (mActive.size() >= kMaxActive) {
    Refuse(*aExchange, requestId, 503, "too_many_requests", kUnknownPause);
    return;
  }
  const Millis now = SteadyNow();
  const std::size_t part = rule->mTurns.Next();
  const std::string& service = rule->mRule.mDestinations.at(part).mService;
  if (mStartup.IsOpen(now) && !HasTarget(service) &&
      TryHold(aExchange, aArrived)) {
    return;
  }
  const Millis patience = PatienceOf(request).value_or(rule->mRule.mTimeout);
  const std::uint64_t id = mNextId++;
  ActiveRequest& active = mActive[id];
  active = ActiveRequest{ .mExchange = aExchange,
                          .mTable = mTable,
                          .mRule = &rule->mRule,
                          .mService = service,
                          .mVersion = mParts.mDrawVersion(service),
                          .mRequestId = std::move(requestId),
                          .mHeaders = EndToEndHeaders(request.mHeaders),
                          .mArrived = aArrived,
                          .mRouted = now,
                          .mDeadline =
                            aArrived + std::min(patience, rule->mRule.mTimeout),
                          .mPatience = patience };
  active.mHeaders.Set(names.mCallerService, mOptions.mService);
  active.mHeaders.Remove(names.mTargetId);
  active.mHeaders.Remove(names.mTimeLeft);
  mDeadlines.emplace(active.mDeadline, id);
  ArmTimer();
  mBudget.OnRequest(service, now);
  aExchange->OnAbandoned([this, id] { OnAbandoned(id); });
  Dispatch(id);
}

void
Dispatcher::Dispatch(std::uint64_t aId)
{
  ActiveRequest& active = mActive.at(aId);
  const Millis now = SteadyNow();
  const std::vector<TargetCandidate> candidates =
    mParts.mTargets.Candidates({ .mService = active.mService,
                                 .mRule = active.mVersion.mRule,
                                 .mVersion = active.mVersion.mVersion,
                                 .mExcluded = active.mExcluded });
  const auto choice = gateway::ChooseTarget(
    candidates,
    { .mObjectiveLeft = active.mArrived + active.mRule->mObjective - now,
      .mRunRatio = RunRatio(active) },
    mOptions.mCosts,
    mParts.mRandom);
  if (!choice) {
    if (active.mVersion.mRule == VersionRule::Only) {
      // No target of the drawn version has room: the others may run it.
      active.mVersion.mRule = VersionRule::AllBut;
      Dispatch(aId);
      return;
    }
    if (active.mReached > 0 || active.mRefusals > 0) {
      AnswerLast(aId);
    } else {
      AnswerRefused(aId, "no_target", kUnknownPause);
    }
    return;
  }
  if (now + choice->mWait > active.mDeadline) {
    AnswerRefused(aId, "no_slot_before_deadline", choice->mWait);
    return;
  }
  const std::string node(candidates[choice->mIndex].mNode);
  Send(aId, active, node);
}

double
Dispatcher::RunRatio(const ActiveRequest& aActive) const
{
  return mTimes.Mean(aActive.mRule->mName) /
         mServiceTimes.Mean(aActive.mService);
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
                      aActive.mArrived + aActive.mRule->mObjective - now,
                    .mPriority = aActive.mRule->mPriority,
                    .mIdempotent = aActive.mRule->mIdempotent };
  aActive.mNode = aNode;
  aActive.mSent = now;
  aActive.mLink = 0;
  aActive.mAtGate = aNode == mOptions.mNode;
  if (aActive.mAtGate) {
    const auto served =
      mParts.mGate.Serve(std::move(call), [this, aId](ReplyMessage aReply) {
        HandleReply(aId, std::move(aReply));
      });
    // The reply may have come already and led to another attempt.
    const auto found = mActive.find(aId);
    if (found != mActive.end() && found->second.mAtGate &&
        found->second.mServed < served) {
      found->second.mServed = served;
    }
    return;
  }
  mParts.mTargets.OnSent(aNode);
  const gateway::NodeRecord* const record = mParts.mTargets.Nodes().Find(aNode);
  aActive.mLink = mParts.mMesh.SendOpening(
    aNode, record == nullptr ? "" : record->mPeerAddress, call);
  if (aActive.mLink == 0) {
    HandleReply(aId, { .mOutcome = CallOutcome::NotRun, .mReason = "no_link" });
  }
}

void
Dispatcher::OnReply(const std::string& aNode, ReplyMessage aReply)
{
  mParts.mTargets.OnLoad(aNode, aReply.mLoad);
  const auto found = mActive.find(aReply.mId);
  if (found == mActive.end() || found->second.mNode != aNode) {
    return;
  }
  HandleReply(found->first, std::move(aReply));
}

bool
Dispatcher::MayRepeat(const ActiveRequest& aActive, const ReplyMessage& aReply)
{
  const bool notRun = aReply.mOutcome == CallOutcome::NotRun;
  if (!notRun && !aActive.mRule->mIdempotent) {
    return false;
  }
  if (aActive.mReached >= aActive.mRule->mMaxAttempts) {
    return false;
  }
  const Millis left = aActive.mDeadline - SteadyNow();
  if (left < aReply.mLoad.mMeanRun * kRepeatRuns) {
    return false;
  }
  const bool allowed =
    mBudget.TryRepeat(aActive.mService, aActive.mRule->mPriority, SteadyNow());
  (allowed ? mParts.mMetrics.mRepeats : mParts.mMetrics.mRepeatsDenied)
    .Increment();
  if (mParts.mLog.Wants("repeat", Weight::Failure)) {
    mParts.mLog.Write("calls",
                      "repeat",
                      { { "request", aActive.mRequestId },
                        { "after", aReply.mReason },
                        { "status", aReply.mStatus },
                        { "node", aActive.mNode },
                        { "time_left_ms", left.Whole() },
                        { "allowed", allowed } });
  }
  return allowed;
}

void
Dispatcher::HandleReply(std::uint64_t aId, ReplyMessage aReply)
{
  const auto found = mActive.find(aId);
  if (found == mActive.end()) {
    return;
  }
  ActiveRequest& active = found->second;
  active.mReached += aReply.mReachedTarget ? 1 : 0;
  const bool notRun = aReply.mOutcome == CallOutcome::NotRun;
  const bool good =
    aReply.mOutcome == CallOutcome::Answered && aReply.mStatus < 500;
  active.mLast = std::move(aReply);
  if (good) {
    const Millis time = SteadyNow() - active.mSent;
    mTimes.OnRun(active.mRule->mName, time);
    mServiceTimes.OnRun(active.mService, time);
    AnswerLast(aId);
    return;
  }
  active.mMayHaveRun = active.mMayHaveRun || !notRun;
  if (active.mLast.mOutcome == CallOutcome::Answered) {
    active.mFailed = CallerResponse{ .mStatus = active.mLast.mStatus,
                                     .mHeaders = active.mLast.mHeaders,
                                     .mBody = active.mLast.mBody };
  }
  active.mExcluded.push_back(active.mNode);
  if (notRun && !active.mLast.mReachedTarget) {
    // It reached no target, so this is an offer rather than a repeat.
    const Millis now = SteadyNow();
    const bool quarantined = active.mLast.mReason == "quarantined";
    const bool early =
      !quarantined &&
      now < active.mRouted + active.mRule->mObjective * kOfferPart;
    if (++active.mRefusals < kMaxRefusals && early) {
      Dispatch(aId);
      return;
    }
  } else if (MayRepeat(active, active.mLast)) {
    Dispatch(aId);
    return;
  }
  AnswerLast(aId);
}

void
Dispatcher::CancelAttempt(const ActiveRequest& aActive)
{
  if (aActive.mAtGate) {
    mParts.mGate.Cancel(aActive.mServed);
  }
}

void
Dispatcher::OnAbandoned(std::uint64_t aId)
{
  const auto found = mActive.find(aId);
  if (found == mActive.end()) {
    return;
  }
  const ActiveRequest active = std::move(found->second);
  mActive.erase(found);
  mDeadlines.erase({ active.mDeadline, aId });
  CancelAttempt(active);
  if (active.mLink != 0) {
    mParts.mMesh.Reply(active.mLink, CancelMessage{ .mId = aId });
  }
  if (mParts.mLog.Wants("abandoned", Weight::Failure)) {
    mParts.mLog.Write(
      "calls",
      "abandoned",
      { { "request", active.mRequestId },
        { "target_node", active.mNode },
        { "time_ms", (SteadyNow() - active.mArrived).Whole() } });
  }
  mParts.mMetrics.OnRequest(
    active.mRule->mName, "abandoned", SteadyNow() - active.mArrived);
}

void
Dispatcher::OnLinkLost(LinkId aLink, bool aWasOpen)
{
  std::vector<std::uint64_t> lost;
  for (const auto& [id, active] : mActive) {
    if (active.mLink == aLink && !active.mAtGate) {
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
Dispatcher::ArmTimer()
{
  if (!mDeadlines.empty()) {
    const Millis left = mDeadlines.begin()->first + kAnswerGrace - SteadyNow();
    mTimer.StartOnce(std::max(left, Millis{ 1 }));
  }
}

void
Dispatcher::OnTimer()
{
  const Millis now = SteadyNow();
  while (!mDeadlines.empty() &&
         mDeadlines.begin()->first + kAnswerGrace <= now) {
    const std::uint64_t id = mDeadlines.begin()->second;
    mDeadlines.erase(mDeadlines.begin());
    const auto found = mActive.find(id);
    if (found == mActive.end()) {
      continue;
    }
    const ActiveRequest& active = found->second;
    CancelAttempt(active);
    if (active.mLink != 0) {
      mParts.mMesh.Reply(active.mLink, CancelMessage{ .mId = id });
    }
    AnswerFailed(id, 504, "deadline");
  }
  ArmTimer();
}

} // namespace papayaway::sidecar
