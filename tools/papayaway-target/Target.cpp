#include "Target.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>

#include <nlohmann/json.hpp>

#include "WorkPlan.h"

namespace papayaway {

namespace {

using nlohmann::json;

constexpr int kCrashExitCode = 70;
constexpr std::size_t kMaxCountedKeys = 1'000'000;
constexpr std::size_t kMaxTrackedConnections = 10'000;
constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
constexpr std::string_view kDeadlineHeader = "Papayaway-Deadline";

std::optional<int>
ParseInt(std::string_view aText)
{
  int value = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  return !aText.empty() && parsed.ec == std::errc() && parsed.ptr == end
           ? std::optional(value)
           : std::nullopt;
}

std::string
Dump(const json& aBody)
{
  return aBody.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool
Contains(const HttpRequest& aRequest, const std::string& aText)
{
  const auto has = [&](std::string_view aPart) {
    return aPart.find(aText) != std::string_view::npos;
  };
  return has(aRequest.mPath) || has(aRequest.mQuery) || has(aRequest.mBody) ||
         has(aRequest.mHeaders.Value(kIdempotencyKeyHeader));
}

} // namespace

Target::Target(EventLoop& aLoop,
               HttpClient& aClient,
               const TargetOptions& aOptions,
               Random aRandom)
  : mClient(aClient)
  , mOptions(aOptions)
  , mRandom(aRandom)
  , mSlots(static_cast<std::size_t>(aOptions.mSlots))
  , mDelayed(aLoop)
{
}

void
Target::Serve(const std::shared_ptr<HttpExchange>& aExchange,
              std::size_t aConnections)
{
  const std::string& path = aExchange->Request().mPath;
  if (path == "/stats") {
    aExchange->Respond(Stats(aConnections));
  } else if (CountRequestAndCheckSilence(aExchange->ConnectionId())) {
    // Never answered: the server keeps the exchange until the client closes
    // the connection.
  } else if (path == "/health") {
    aExchange->Respond(Health());
  } else if (path == "/load") {
    aExchange->Respond(Load());
  } else {
    Admit(aExchange);
  }
}

bool
Target::CountRequestAndCheckSilence(std::uint64_t aConnection)
{
  if (mOptions.mSilenceAfter == 0) {
    return false;
  }
  const bool isSilent =
    ++mRequestsByConnection[aConnection] > mOptions.mSilenceAfter;
  if (mRequestsByConnection.size() > kMaxTrackedConnections) {
    mRequestsByConnection.erase(mRequestsByConnection.begin());
  }
  return isSilent;
}

void
Target::Admit(const std::shared_ptr<HttpExchange>& aExchange)
{
  if (mRefusesNewRequests) {
    aExchange->Respond(Refusal(503, "the target is draining"));
    return;
  }
  const SlotQueue::Id id = ++mLastId;
  const SlotQueue::Admission admission = mSlots.Admit(id);
  if (admission == SlotQueue::Admission::Shed) {
    aExchange->Respond(Refusal(503, "all slots are in use"));
    return;
  }
  ActiveRequest& active = mRequests[id];
  active.mExchange = aExchange;
  const auto remaining =
    ParseInt(aExchange->Request().mHeaders.Value(kDeadlineHeader));
  if (remaining) {
    active.mDeadline = SteadyNow() + Millis{ static_cast<double>(*remaining) };
  }
  aExchange->OnAbandoned([this, id] { Abandon(id); });
  if (admission == SlotQueue::Admission::Run) {
    Start(id);
  }
}

void
Target::Start(SlotQueue::Id aId)
{
  ActiveRequest& active = mRequests.at(aId);
  active.mIsRunning = true;
  const HttpRequest& request = active.mExchange->Request();
  const Millis now = SteadyNow();
  if (active.mDeadline <= now) {
    Finish(aId, Refusal(504, "the deadline has passed"));
    return;
  }
  if (!mOptions.mCrashOn.empty() && Contains(request, mOptions.mCrashOn)) {
    std::_Exit(kCrashExitCode);
  }
  CountRun(request);
  const WorkPlan plan =
    PlanWork(mOptions, request.mPath, now - mStart, mSlots.Running(), mRandom);
  active.mShouldFail = plan.mShouldFail;
  if (now + plan.mWorkTime > active.mDeadline) {
    mDelayed.RunAt(active.mDeadline, [this, aId] {
      Finish(aId, JsonResponse(504, R"({"error":"deadline exceeded"})"));
    });
    return;
  }
  mDelayed.RunAfter(plan.mWorkTime, [this, aId] {
    const auto found = mRequests.find(aId);
    if (found == mRequests.end()) {
      return;
    }
    const HttpRequest& finished = found->second.mExchange->Request();
    const int depth =
      ParseInt(finished.mHeaders.Value("Test-Depth")).value_or(0);
    if (depth > 0 && !mOptions.mCallNext.empty()) {
      CallNext(aId, depth - 1);
    } else {
      RespondWithResult(aId);
    }
  });
}

void
Target::CallNext(SlotQueue::Id aId, int aDepth)
{
  ActiveRequest& active = mRequests.at(aId);
  const HttpRequest& request = active.mExchange->Request();
  const std::size_t slash = mOptions.mCallNext.find('/');
  HttpCall call{ .mAddress = mOptions.mCallNext.substr(0, slash),
                 .mRequest = { .mMethod = request.mMethod,
                               .mPath = mOptions.mCallNext.substr(slash),
                               .mBody = request.mBody },
                 .mIdempotent = request.mMethod == "GET" };
  HttpHeaders& headers = call.mRequest.mHeaders;
  headers.Add("Test-Depth", std::to_string(aDepth));
  if (active.mDeadline < Never()) {
    call.mTimeout = active.mDeadline - SteadyNow();
    headers.Add(std::string(kDeadlineHeader),
                std::to_string(std::max<std::int64_t>(
                  0, (active.mDeadline - SteadyNow()).WholeMillis())));
  }
  for (const char* const name : { "Papayaway-Attempt", "Papayaway-Customer" }) {
    if (request.mHeaders.Contains(name)) {
      headers.Add(name, std::string(request.mHeaders.Value(name)));
    }
  }
  if (request.mHeaders.Contains(kIdempotencyKeyHeader)) {
    // Each call of the chain is a separate operation and needs its own key.
    // The key is derived from the key of the received request, so that a
    // retry uses the same keys along the whole chain.
    headers.Add(std::string(kIdempotencyKeyHeader),
                std::string(request.mHeaders.Value(kIdempotencyKeyHeader)) +
                  "/" + std::to_string(aDepth));
  }
  active.mNextCall =
    mClient.Send(std::move(call), [this, aId](const HttpResult& aResult) {
      const auto found = mRequests.find(aId);
      if (found == mRequests.end()) {
        return;
      }
      found->second.mNextCall = 0;
      if (aResult.mFailure != HttpFailure::None ||
          aResult.mResponse.mStatus >= 400) {
        const json body{ { "error", "the next call failed" },
                         { "status", aResult.mResponse.mStatus } };
        Finish(aId, JsonResponse(502, body.dump()));
      } else {
        RespondWithResult(aId);
      }
    });
}

void
Target::RespondWithResult(SlotQueue::Id aId)
{
  const ActiveRequest& active = mRequests.at(aId);
  const HttpRequest& request = active.mExchange->Request();
  if (active.mShouldFail) {
    Finish(aId, JsonResponse(500, R"({"error":"fault of the version"})"));
    return;
  }
  const json body{ { "service", mOptions.mService },
                   { "version", mOptions.mVersion },
                   { "path", request.mPath },
                   { "key", request.mHeaders.Value(kIdempotencyKeyHeader) },
                   { "echo", request.mBody } };
  Finish(aId, JsonResponse(200, Dump(body)));
}

void
Target::Finish(SlotQueue::Id aId, HttpResponse aResponse)
{
  const auto found = mRequests.find(aId);
  if (found == mRequests.end()) {
    return;
  }
  const std::shared_ptr<HttpExchange> exchange =
    std::move(found->second.mExchange);
  mRequests.erase(found);
  aResponse.mHeaders.Set("Target-Version", mOptions.mVersion);
  exchange->Respond(std::move(aResponse));
  if (const auto next = mSlots.Finish()) {
    Start(*next);
  }
}

void
Target::Abandon(SlotQueue::Id aId)
{
  const auto found = mRequests.find(aId);
  if (found == mRequests.end()) {
    return;
  }
  const ActiveRequest active = std::move(found->second);
  mRequests.erase(found);
  if (active.mNextCall != 0) {
    mClient.Cancel(active.mNextCall);
  }
  if (!active.mIsRunning) {
    mSlots.RemoveFromQueue(aId);
  } else if (const auto next = mSlots.Finish()) {
    Start(*next);
  }
}

void
Target::CountRun(const HttpRequest& aRequest)
{
  ++mRuns;
  const std::string key(aRequest.mHeaders.Value(kIdempotencyKeyHeader));
  if (key.empty()) {
    return;
  }
  const auto found = mRunsByKey.find(key);
  if (found != mRunsByKey.end()) {
    ++found->second;
  } else if (mRunsByKey.size() < kMaxCountedKeys) {
    mRunsByKey.emplace(key, 1);
  } else {
    ++mUncountedKeys;
  }
}

HttpResponse
Target::Refusal(int aStatus, const char* aReason) const
{
  HttpResponse response =
    JsonResponse(aStatus, json{ { "error", aReason } }.dump());
  response.mHeaders.Add("Papayaway-Outcome", "not-run");
  response.mHeaders.Add("Target-Version", mOptions.mVersion);
  return response;
}

HttpResponse
Target::Stats(std::size_t aConnections) const
{
  const auto repeated =
    std::count_if(mRunsByKey.begin(), mRunsByKey.end(), [](const auto& aEntry) {
      return aEntry.second > 1;
    });
  const json stats{ { "runs", mRuns },
                    { "keys", mRunsByKey },
                    { "repeated_keys", repeated },
                    { "uncounted_keys", mUncountedKeys },
                    { "in_flight", mSlots.Running() },
                    { "waiting", mSlots.Queued() },
                    { "max_in_flight", mSlots.MaxRunning() },
                    { "connections", aConnections },
                    { "shed", mSlots.Shed() } };
  return JsonResponse(200, Dump(stats));
}

HttpResponse
Target::Health() const
{
  const bool healthy = mOptions.mAlwaysReportsIdle || !mRefusesNewRequests;
  return JsonResponse(healthy ? 200 : 503,
                      json{ { "healthy", healthy } }.dump());
}

HttpResponse
Target::Load() const
{
  const std::size_t running =
    mOptions.mAlwaysReportsIdle ? 0 : mSlots.Running();
  const std::size_t queued = mOptions.mAlwaysReportsIdle ? 0 : mSlots.Queued();
  return JsonResponse(200,
                      json{ { "in_flight", running },
                            { "waiting", queued },
                            { "slots", mOptions.mSlots } }
                        .dump());
}

} // namespace papayaway
