#include <ctl/AdminClient.h>

#include <algorithm>
#include <functional>

namespace papayaway {
namespace {

using Json = nlohmann::json;

// The maximum number of concurrent calls of GetFromAll().
constexpr std::size_t kMaxCallsInFlight = 64;
// Large enough for an export of 8 MiB, whose size can double because each quote
// is escaped.
constexpr std::size_t kMaxResponseBytes = std::size_t{ 16 } << 20;

AdminResponse
ToAdminResponse(const std::string& aAddress, HttpResult aResult)
{
  AdminResponse response{ .mAddress = aAddress,
                          .mFailure = aResult.mFailure,
                          .mMayHaveRun = aResult.mMayHaveRun,
                          .mError = std::move(aResult.mError) };
  if (!response.Answered()) {
    return response;
  }
  response.mStatus = aResult.mResponse.mStatus;
  response.mBody = Json::parse(aResult.mResponse.mBody, nullptr, false);
  response.mOutcome = aResult.mResponse.mHeaders.Value("Papayaway-Outcome");
  if (response.mOutcome.empty() && response.mBody.is_object() &&
      response.mBody.contains("outcome") &&
      response.mBody["outcome"].is_string()) {
    response.mOutcome = response.mBody["outcome"].get<std::string>();
  }
  return response;
}

} // namespace

std::string
AdminResponse::ErrorMessage() const
{
  if (!Answered()) {
    return mAddress + ": " + (mError.empty() ? "no answer" : mError);
  }
  std::string text = mAddress + ": HTTP status " + std::to_string(mStatus);
  if (mStatus == 200) {
    return mAddress + ": the response is not a JSON object";
  }
  if (mBody.is_object() && mBody.contains("error") &&
      mBody["error"].is_string()) {
    text += ", " + mBody["error"].get<std::string>();
  }
  return text;
}

AdminClient::AdminClient(std::string aToken, Millis aTimeout)
  : mClient(mLoop, { .mMaxBody = kMaxResponseBytes })
  , mToken(std::move(aToken))
  , mTimeout(aTimeout)
{
}

AdminResponse
AdminClient::Get(const std::string& aAddress, const std::string& aPath)
{
  return Run(MakeCall(aAddress, "GET", aPath, ""));
}

AdminResponse
AdminClient::Post(const std::string& aAddress,
                  const std::string& aPath,
                  const Json& aBody)
{
  HttpCall call = MakeCall(aAddress, "POST", aPath, aBody.dump());
  call.mIdempotent = false;
  return Run(std::move(call));
}

AdminResponse
AdminClient::GetFromFirst(const std::vector<std::string>& aAddresses,
                          const std::string& aPath)
{
  AdminResponse response;
  for (const std::string& address : aAddresses) {
    response = Get(address, aPath);
    if (response.Answered() && response.mStatus < 500) {
      break;
    }
  }
  return response;
}

std::vector<AdminResponse>
AdminClient::GetFromAll(const std::vector<std::string>& aAddresses,
                        const std::string& aPath)
{
  std::vector<AdminResponse> responses(aAddresses.size());
  std::size_t next = 0;
  std::size_t inFlight = 0;
  const std::function<void()> sendNext = [&] {
    const std::size_t index = next++;
    ++inFlight;
    mClient.Send(MakeCall(aAddresses[index], "GET", aPath, ""),
                 [&, index](HttpResult aResult) {
                   responses[index] =
                     ToAdminResponse(aAddresses[index], std::move(aResult));
                   --inFlight;
                   if (next < aAddresses.size()) {
                     sendNext();
                   } else if (inFlight == 0) {
                     mLoop.Stop();
                   }
                 });
  };
  if (aAddresses.empty()) {
    return responses;
  }
  while (next < std::min(aAddresses.size(), kMaxCallsInFlight)) {
    sendNext();
  }
  RunLoop();
  return responses;
}

void
AdminClient::Wait(Millis aDelay)
{
  Timer timer(mLoop, [this] { mLoop.Stop(); });
  timer.StartOnce(aDelay);
  mLoop.Run();
}

HttpCall
AdminClient::MakeCall(const std::string& aAddress,
                      const std::string& aMethod,
                      const std::string& aPath,
                      std::string aBody) const
{
  const std::size_t query = std::min(aPath.find('?'), aPath.size());
  HttpCall call{ .mAddress = aAddress,
                 .mRequest = { .mMethod = aMethod,
                               .mPath = aPath.substr(0, query),
                               .mQuery = aPath.substr(query),
                               .mBody = std::move(aBody) },
                 .mTimeout = mTimeout,
                 .mConnectTimeout = std::min(mTimeout, Seconds(1)) };
  if (!mToken.empty()) {
    call.mRequest.mHeaders.Add("Authorization", "Bearer " + mToken);
  }
  if (!call.mRequest.mBody.empty()) {
    call.mRequest.mHeaders.Add("Content-Type", "application/json");
  }
  return call;
}

void
AdminClient::RunLoop()
{
  // EventLoop::Run() also returns when no watcher is active, which happens
  // between the end of a call and its deferred callback.
  Timer active(mLoop, [] {});
  active.StartRepeating(Seconds(1));
  mLoop.Run();
}

AdminResponse
AdminClient::Run(HttpCall aCall)
{
  AdminResponse response;
  const std::string address = aCall.mAddress;
  mClient.Send(std::move(aCall), [&](HttpResult aResult) {
    response = ToAdminResponse(address, std::move(aResult));
    mLoop.Stop();
  });
  RunLoop();
  return response;
}

} // namespace papayaway
