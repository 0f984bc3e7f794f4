#include "Target.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>

#include <nlohmann/json.hpp>

#include "WorkPlan.h"

namespace papayaway {

namespace {

using nlohmann::json;

constexpr int kCrashStatus = 70;
constexpr std::size_t kMaxKeys = 1'000'000;
constexpr std::size_t kMaxConnections = 10'000;
constexpr std::string_view kKeyHeader = "Idempotency-Key";
constexpr std::string_view kDeadlineHeader = "Papayaway-Deadline";

std::optional<int>
NumberIn(std::string_view aText)
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
         has(aRequest.mHeaders.Value(kKeyHeader));
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
  } else if (IsSilent(aExchange->ConnectionId())) {
    // The server keeps the exchange until the client closes the connection.
  } else if (path == "/health") {
    aExchange->Respond(Health());
  } else if (path == "/load") {
    aExchange->Respond(Load());
  } else {
    Admit(aExchange);
  }
}

bool
Target::IsSilent(std::uint64_t aConnection)
{
  if (mOptions.mSilenceAfter == 0) {
    return false;
  }
  const bool isSilent =
    ++mRequestsByConnection[aConnection] > mOptions.mSilenceAfter;
  if (mRequestsByConnection.size() > kMaxConnections) {
    mRequestsByConnection.erase(mRequestsByConnection.begin());
  }
  return isSilent;
}

void
Target::Admit(const std::shared_ptr<HttpExchange>& aExchange)
{
  if (mRefusesNew) {
    aExchange->Respond(Refusal(503, "the target is draining"));
    return;
  }
  const SlotQueue::Id id = ++mLastId;
  const SlotQueue::Admission admission = mSlots.Admit(id);
  if (admission == SlotQueue::Admission::Shed) {
    aExchange->Respond(Refusal(503, "all slots are in use"));
    return;
  }
  Work& work = mWork[id];
  work.mExchange = aExchange;
  const auto remaining =
    NumberIn(aExchange->Request().mHeaders.Value(kDeadlineHeader));
  if (remaining) {
    work.mDeadline = SteadyNow() + Millis{ static_cast<double>(*remaining) };
  }
  aExchange->OnAbandoned([this, id] { Abandon(id); });
  if (admission == SlotQueue::Admission::Run) {
    Start(id);
  }
}

void
Target::Start(SlotQueue::Id aId)
{
  Work& work = mWork.at(aId);
  work.mRuns = true;
  const HttpRequest& request = work.mExchange->Request();
  const Millis now = SteadyNow();
  if (work.mDeadline <= now) {
    Finish(aId, Refusal(504, "the deadline has passed"));
    return;
  }
  if (!mOptions.mCrashOn.empty() && Contains(request, mOptions.mCrashOn)) {
    std::_Exit(kCrashStatus);
  }
  CountRun(request);
  const WorkPlan plan =
    PlanWork(mOptions, request.mPath, now - mStart, mSlots.Running(), mRandom);
  work.mFails = plan.mFails;
  if (now + plan.mWork > work.mDeadline) {
    mDelayed.RunAt(work.mDeadline, [this, aId] {
      Finish(aId, JsonResponse(504, R"({"error":"deadline exceeded"})"));
    });
    return;
  }
  mDelayed.RunAfter(plan.mWork, [this, aId] {
    const auto found = mWork.find(aId);
    if (found == mWork.end()) {
      return;
    }
    const HttpRequest& finished = found->second.mExchange->Request();
    const int depth =
      NumberIn(finished.mHeaders.Value("Test-Depth")).value_or(0);
    if (depth > 0 && !mOptions.mCallNext.empty()) {
      CallNext(aId, depth - 1);
    } else {
      AnswerWork(aId);
    }
  });
}

void
Target::CallNext(SlotQueue::Id aId, int aDepth)
{
  Work& work = mWork.at(aId);
  const HttpRequest& request = work.mExchange->Request();
  const std::size_t slash = mOptions.mCallNext.find('/');
  HttpCall call{ .mAddress = mOptions.mCallNext.substr(0, slash),
                 .mRequest = { .mMethod = request.mMethod,
                               .mPath = mOptions.mCallNext.substr(slash),
                               .mBody = request.mBody },
                 .mIdempotent = request.mMethod == "GET" };
  HttpHeaders& headers = call.mRequest.mHeaders;
  headers.Add("Test-Depth", std::to_string(aDepth));
  if (work.mDeadline < Never()) {
    call.mTimeout = work.mDeadline - SteadyNow();
    headers.Add(std::string(kDeadlineHeader),
                std::to_string(std::max<std::int64_t>(
                  0, (work.mDeadline - SteadyNow()).WholeMillis())));
  }
  for (const char* const name : { "Papayaway-Attempt", "Papayaway-Customer" }) {
    if (request.mHeaders.Contains(name)) {
      headers.Add(name, std::string(request.mHeaders.Value(name)));
    }
  }
  if (request.mHeaders.Contains(kKeyHeader)) {
    // Each call of the chain is an operation of its own; the same outer key
    // always leads to the same inner key.
    headers.Add(std::string(kKeyHeader),
                std::string(request.mHeaders.Value(kKeyHeader)) + "/" +
                  std::to_string(aDepth));
  }
  work.mNextCall =
    mClient.Send(std::move(call), [this, aId](const HttpResult& aResult) {
      const auto found = mWork.find(aId);
      if (found == mWork.end()) {
        return;
      }
      found->second.mNextCall = 0;
      if (aResult.mFailure != HttpFailure::None ||
          aResult.mResponse.mStatus >= 400) {
        const json body{ { "error", "the next call failed" },
                         { "status", aResult.mResponse.mStatus } };
        Finish(aId, JsonResponse(502, body.dump()));
      } else {
        AnswerWork(aId);
      }
    });
}

void
Target::AnswerWork(SlotQueue::Id aId)
{
  const Work& work = mWork.at(aId);
  const HttpRequest& request = work.mExchange->Request();
  if (work.mFails) {
    Finish(aId, JsonResponse(500, R"({"error":"fault of the version"})"));
    return;
  }
  const json body{ { "service", mOptions.mService },
                   { "version", mOptions.mVersion },
                   { "path", request.mPath },
                   { "key", request.mHeaders.Value(kKeyHeader) },
                   { "echo", request.mBody } };
  Finish(aId, JsonResponse(200, Dump(body)));
}

void
Target::Finish(SlotQueue::Id aId, HttpResponse aResponse)
{
  const auto found = mWork.find(aId);
  if (found == mWork.end()) {
    return;
  }
  const std::shared_ptr<HttpExchange> exchange =
    std::move(found->second.mExchange);
  mWork.erase(found);
  aResponse.mHeaders.Set("Target-Version", mOptions.mVersion);
  exchange->Respond(std::move(aResponse));
  if (const auto next = mSlots.Finish()) {
    Start(*next);
  }
}

void
Target::Abandon(SlotQueue::Id aId)
{
  const auto found = mWork.find(aId);
  if (found == mWork.end()) {
    return;
  }
  const Work work = std::move(found->second);
  mWork.erase(found);
  if (work.mNextCall != 0) {
    mClient.Cancel(work.mNextCall);
  }
  if (!work.mRuns) {
    mSlots.Withdraw(aId);
  } else if (const auto next = mSlots.Finish()) {
    Start(*next);
  }
}

void
Target::CountRun(const HttpRequest& aRequest)
{
  ++mRuns;
  const std::string key(aRequest.mHeaders.Value(kKeyHeader));
  if (key.empty()) {
    return;
  }
  const auto found = mRunsByKey.find(key);
  if (found != mRunsByKey.end()) {
    ++found->second;
  } else if (mRunsByKey.size() < kMaxKeys) {
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
                    { "waiting", mSlots.Waiting() },
                    { "max_in_flight", mSlots.MaxRunning() },
                    { "connections", aConnections },
                    { "shed", mSlots.Shed() } };
  return JsonResponse(200, Dump(stats));
}

HttpResponse
Target::Health() const
{
  const bool healthy = mOptions.mLie || !mRefusesNew;
  return JsonResponse(healthy ? 200 : 503,
                      json{ { "healthy", healthy } }.dump());
}

HttpResponse
Target::Load() const
{
  const std::size_t running = mOptions.mLie ? 0 : mSlots.Running();
  const std::size_t waiting = mOptions.mLie ? 0 : mSlots.Waiting();
  return JsonResponse(200,
                      json{ { "in_flight", running },
                            { "waiting", waiting },
                            { "slots", mOptions.mSlots } }
                        .dump());
}

} // namespace papayaway
