#include "EntryProxy.h"

#include <algorithm>
#include <charconv>

#include "Outcomes.h"

namespace papayaway {

namespace {

constexpr int kMaxAttempts = 4;
constexpr std::size_t kMaxActiveCalls = 10000;
constexpr std::size_t kMaxKeyLength = 256;
/** The serving node ends a call at its deadline; this is the extra time that
 *  its response has to arrive. */
constexpr Millis kResponseGrace{ 30 };
constexpr Millis kMinTimeLeft{ 1 };

int
ParseCount(std::string_view aText, int aDefault)
{
  int value = aDefault;
  std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return value;
}

Call
CallOf(const HttpRequest& aRequest, const Route& aRoute)
{
  Call call{ .mService = aRoute.mService,
             .mRoute = aRoute.mPrefix,
             .mIdempotent = aRoute.mIdempotent,
             .mMethod = aRequest.mMethod,
             .mPath = aRequest.mPath,
             .mQuery = aRequest.mQuery,
             .mHeaders = aRequest.mHeaders.Fields(),
             .mBody = aRequest.mBody };
  call.mKey = std::string(aRequest.mHeaders.Value(kKeyHeader));
  call.mAttempt =
    std::max(0, ParseCount(aRequest.mHeaders.Value(kAttemptHeader), 0));
  call.mTimeLeft = aRoute.mDeadline;
  if (aRequest.mHeaders.Contains(kDeadlineHeader)) {
    const int left = ParseCount(aRequest.mHeaders.Value(kDeadlineHeader), 0);
    call.mTimeLeft =
      std::min(call.mTimeLeft, Millis{ static_cast<double>(left) });
  }
  return call;
}

} // namespace

EntryProxy::EntryProxy(NodeContext& aContext,
                       PeerLinks& aLinks,
                       const FactStore& aFacts,
                       TargetProxy& aTargetProxy,
                       EntryProxyHandlers aHandlers)
  : mContext(aContext)
  , mLinks(aLinks)
  , mFacts(aFacts)
  , mTargetProxy(aTargetProxy)
  , mHandlers(std::move(aHandlers))
  , mRetriesRefused(
      aContext.mMetrics.Counter("papayaway_retries_refused_total",
                                "Retries that the retry budget did not allow"))
  , mTooManyCalls(
      aContext.mMetrics.Counter("papayaway_active_calls_refused_total",
                                "Calls refused because too many are in flight"))
{
}

void
EntryProxy::OnSnapshot(std::shared_ptr<const RouteTable> aTable)
{
  mTable = std::move(aTable);
  mPicker.OnSnapshot(*mTable, SteadyNow());
}

void
EntryProxy::OnRequest(const std::shared_ptr<HttpExchange>& aExchange)
{
  mContext.mMetrics.mCalls.Increment();
  const HttpRequest& request = aExchange->Request();
  if (!mTable) {
    Respond(*aExchange, NotRunReply(503, "no document is in force here"));
    return;
  }
  const RouteMatch match = mTable->FindRoute(request.mMethod, request.mPath);
  if (match.mRoute == nullptr) {
    Refuse(*aExchange,
           { .mMethod = request.mMethod },
           match.mMethodNotAllowed
             ? NotRunReply(405, "the route does not take this method")
             : NotRunReply(404, "no route matches the path"));
    return;
  }
  ActiveCall active{ .mExchange = aExchange,
                     .mCall = CallOf(request, *match.mRoute),
                     .mArrived = SteadyNow() };
  const Call& call = active.mCall;
  if (!call.mIdempotent &&
      (call.mKey.empty() || call.mKey.size() > kMaxKeyLength)) {
    Refuse(*aExchange,
           call,
           NotRunReply(400,
                       "the route needs an Idempotency-Key of at most 256 "
                       "characters"));
    return;
  }
  if (mHandlers.mIsQuarantined(call)) {
    Refuse(*aExchange, call, NotRunReply(422, "the request is quarantined"));
    return;
  }
  if (mCalls.size() >= kMaxActiveCalls) {
    mTooManyCalls.Increment();
    Refuse(
      *aExchange, call, NotRunReply(503, "too many calls are in flight here"));
    return;
  }
  active.mCustomer = CustomerOf(request);
  active.mDeadline = active.mArrived + call.mTimeLeft;
  active.mLastReply = NotRunReply(503, "no endpoint is ready");
  const std::uint64_t id = mNextId++;
  active.mCall.mId = id;
  active.mTimeout =
    std::make_unique<Timer>(mContext.mLoop, [this, id] { OnTimeout(id); });
  active.mTimeout->StartOnce(call.mTimeLeft + kResponseGrace);
  aExchange->OnAbandoned([this, id] { OnAbandoned(id); });
  active.mArrivedAttempt = call.mAttempt;
  if (call.mAttempt == 0) {
    mRetryBudget.OnFirstCall();
  }
  mCalls.emplace(id, std::move(active));
  Dispatch(id);
}

std::string
EntryProxy::CustomerOf(const HttpRequest& aRequest) const
{
  return std::string(
    aRequest.mHeaders.Value(mTable->SourceDocument().mCustomerHeader));
}

void
EntryProxy::Refuse(HttpExchange& aExchange,
                   const Call& aCall,
                   const Reply& aReply)
{
  const std::string customer = CustomerOf(aExchange.Request());
  Respond(aExchange, aReply);
  mHandlers.mAnswered(aCall, customer, aReply.mStatus, aReply.mOutcome);
}

void
EntryProxy::Dispatch(std::uint64_t aId)
{
  ActiveCall& active = mCalls.at(aId);
  const Millis now = SteadyNow();
  active.mCall.mTimeLeft = active.mDeadline - now;
  if (active.mCall.mTimeLeft < kMinTimeLeft) {
    Answer(aId, NotRunReply(504, "the deadline passed before the call ran"));
    return;
  }
  const Endpoint* const endpoint = ChooseEndpoint(active);
  if (endpoint == nullptr) {
    const Reply last = active.mLastReply;
    Answer(aId, last);
    return;
  }
  active.mNode = endpoint->mNode;
  active.mSlots = endpoint->mSlots;
  active.mSent = now;
  ++active.mAttempts;
  mPicker.OnSent(active.mNode, now);
  if (active.mNode == mContext.mSettings.mName) {
    active.mLink = 0;
    const int attempt = active.mAttempts;
    const ServedId served =
      mTargetProxy.Serve(active.mCall, [this, aId](Reply aReply) {
        HandleReply(aId, std::move(aReply));
      });
    // Serve() may have responded before it returned, and the response may have
    // started another attempt.
    const auto found = mCalls.find(aId);
    if (found != mCalls.end() && found->second.mAttempts == attempt) {
      found->second.mServed = served;
    }
    return;
  }
  const MemberFact* const member = mFacts.Member(active.mNode);
  active.mLink = mLinks.SendToNode(
    active.mNode, member == nullptr ? "" : member->mPeerAddress, active.mCall);
  if (active.mLink == 0) {
    HandleReply(aId, NotRunReply(503, "the node can't be reached"));
  }
}

void
EntryProxy::OnReply(const Reply& aReply)
{
  HandleReply(aReply.mId, aReply);
}

bool
EntryProxy::TryRetry(ActiveCall& aActive, const Reply& aReply)
{
  if (aActive.mAttempts >= kMaxAttempts) {
    return false;
  }
  // The call did not reach a target and is redirected to another version, so
  // it does not count against the retry budget.
  if (IsExposureRefusal(aReply)) {
    return true;
  }
  if (aReply.mOutcome == Outcome::Ran ||
      (aReply.mOutcome == Outcome::NotRun && aReply.mStatus != 503)) {
    return false;
  }
  // Calls with an idempotency key are not retried: each node stores only the
  // outcomes of the keys that it ran. If a key ran on another node because the
  // first one had no free slot, a retry by the caller would be sent to the
  // first one and run again.
  if (!aActive.mCall.mIdempotent || !mHandlers.mMayRetry(aActive.mCall)) {
    return false;
  }
  const std::uint64_t refusedRetries = mRetryBudget.RefusedRetries();
  const bool allowed =
    mRetryBudget.TryRetry({ .mArrivedAttempt = aActive.mArrivedAttempt,
                            .mRetries = aActive.mRetries,
                            .mOutcome = aReply.mOutcome,
                            .mIdempotent = aActive.mCall.mIdempotent },
                          SteadyNow());
  mRetriesRefused.Increment(
    static_cast<double>(mRetryBudget.RefusedRetries() - refusedRetries));
  if (allowed) {
    ++aActive.mRetries;
    aActive.mCall.mAttempt = aActive.mArrivedAttempt + 1;
    mContext.mMetrics.mRetries.Increment();
  }
  return allowed;
}

void
EntryProxy::HandleReply(std::uint64_t aId, Reply aReply)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  ActiveCall& active = found->second;
  const Millis now = SteadyNow();
  mPicker.OnReply(active.mNode,
                  aReply.mOutcome,
                  aReply.mLoad,
                  active.mSlots,
                  now - active.mSent,
                  now,
                  mContext.mRandom);
  if (!TryRetry(active, aReply)) {
    Answer(aId, aReply);
    return;
  }
  if (IsExposureRefusal(aReply)) {
    active.mExcludedVersions.push_back(active.mCall.mVersion);
  } else {
    active.mExcludedNodes.push_back(active.mNode);
  }
  active.mLastReply = std::move(aReply);
  Dispatch(aId);
}

void
EntryProxy::OnLinkLost(const LinkInfo& aLink)
{
  std::vector<std::uint64_t> lost;
  for (const auto& [id, active] : mCalls) {
    if (active.mLink == aLink.mId) {
      lost.push_back(id);
    }
  }
  // A call queued for a link that was never established was not sent.
  const Reply reply = aLink.mEstablished
                        ? UnknownReply(502, "the link to the node was lost")
                        : NotRunReply(503, "the node can't be reached");
  for (const std::uint64_t id : lost) {
    HandleReply(id, reply);
  }
}

void
EntryProxy::CancelAttempt(const ActiveCall& aActive)
{
  if (aActive.mLink != 0) {
    mLinks.Send(aActive.mLink, Cancel{ aActive.mCall.mId });
  } else {
    mTargetProxy.Cancel(aActive.mServed);
  }
}

void
EntryProxy::OnTimeout(std::uint64_t aId)
{
  ActiveCall& active = mCalls.at(aId);
  mPicker.OnFailure(active.mNode, SteadyNow(), mContext.mRandom);
  CancelAttempt(active);
  Answer(aId, UnknownReply(504, "no answer came before the deadline"));
}

void
EntryProxy::OnAbandoned(std::uint64_t aId)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  mPicker.OnAbandoned(found->second.mNode, SteadyNow());
  CancelAttempt(found->second);
  Answer(aId, UnknownReply(499, "the caller gave up"));
}

void
EntryProxy::Answer(std::uint64_t aId, const Reply& aReply)
{
  const auto found = mCalls.find(aId);
  const ActiveCall active = std::move(found->second);
  mCalls.erase(found);
  mContext.mMetrics.mCallLatency.Observe(
    (SteadyNow() - active.mArrived).mCount);
  Respond(*active.mExchange, aReply);
  mHandlers.mAnswered(
    active.mCall, active.mCustomer, aReply.mStatus, aReply.mOutcome);
}

void
EntryProxy::Respond(HttpExchange& aExchange, const Reply& aReply)
{
  HttpResponse response{ .mStatus = aReply.mStatus, .mBody = aReply.mBody };
  for (const auto& [name, value] : aReply.mHeaders) {
    if (name != kRefusalHeader) {
      response.mHeaders.Add(name, value);
    }
  }
  response.mHeaders.Add(std::string(kOutcomeHeader),
                        std::string(ToString(aReply.mOutcome)));
  if (aReply.mOutcome == Outcome::NotRun) {
    mContext.mMetrics.mRefusals.Increment();
    if (aReply.mStatus == 503) {
      response.mHeaders.Add("Retry-After", "1");
    }
  }
  aExchange.Respond(std::move(response));
}

} // namespace papayaway
