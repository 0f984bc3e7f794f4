#include <ctl/AdminClient.h>

#include <algorithm>
#include <functional>

namespace papayaway {
namespace {

using Json = nlohmann::json;

// The maximum number of concurrent calls of GetFromAll().
constexpr std::size_t kMaxOpenCalls = 64;
// Large enough for an export of 8 MiB, whose size can double because each quote
// is escaped.
constexpr std::size_t kMaxReplyBytes = std::size_t{ 16 } << 20;

AdminReply
ToReply(const std::string& aAddress, HttpResult aResult)
{
  AdminReply reply{ .mAddress = aAddress,
                    .mFailure = aResult.mFailure,
                    .mMayHaveRun = aResult.mMayHaveRun,
                    .mError = std::move(aResult.mError) };
  if (!reply.Answered()) {
    return reply;
  }
  reply.mStatus = aResult.mResponse.mStatus;
  reply.mBody = Json::parse(aResult.mResponse.mBody, nullptr, false);
  reply.mOutcome = aResult.mResponse.mHeaders.Value("Papayaway-Outcome");
  if (reply.mOutcome.empty() && reply.mBody.is_object() &&
      reply.mBody.contains("outcome") && reply.mBody["outcome"].is_string()) {
    reply.mOutcome = reply.mBody["outcome"].get<std::string>();
  }
  return reply;
}

} // namespace

std::string
AdminReply::ErrorMessage() const
{
  if (!Answered()) {
    return mAddress + ": " + (mError.empty() ? "no answer" : mError);
  }
  std::string text = mAddress + ": HTTP status " + std::to_string(mStatus);
  if (mStatus == 200) {
    return mAddress + ": the reply is not a JSON object";
  }
  if (mBody.is_object() && mBody.contains("error") &&
      mBody["error"].is_string()) {
    text += ", " + mBody["error"].get<std::string>();
  }
  return text;
}

AdminClient::AdminClient(std::string aToken, Millis aTimeout)
  : mClient(mLoop, { .mMaxBody = kMaxReplyBytes })
  , mToken(std::move(aToken))
  , mTimeout(aTimeout)
{
}

AdminReply
AdminClient::Get(const std::string& aAddress, const std::string& aPath)
{
  return Run(MakeCall(aAddress, "GET", aPath, ""));
}

AdminReply
AdminClient::Post(const std::string& aAddress,
                  const std::string& aPath,
                  const Json& aBody)
{
  HttpCall call = MakeCall(aAddress, "POST", aPath, aBody.dump());
  call.mIdempotent = false;
  return Run(std::move(call));
}

AdminReply
AdminClient::GetFromFirst(const std::vector<std::string>& aAddresses,
                          const std::string& aPath)
{
  AdminReply reply;
  for (const std::string& address : aAddresses) {
    reply = Get(address, aPath);
    if (reply.Answered() && reply.mStatus < 500) {
      break;
    }
  }
  return reply;
}

std::vector<AdminReply>
AdminClient::GetFromAll(const std::vector<std::string>& aAddresses,
                        const std::string& aPath)
{
  std::vector<AdminReply> replies(aAddresses.size());
  std::size_t next = 0;
  std::size_t open = 0;
  const std::function<void()> sendNext = [&] {
    const std::size_t index = next++;
    ++open;
    mClient.Send(MakeCall(aAddresses[index], "GET", aPath, ""),
                 [&, index](HttpResult aResult) {
                   replies[index] =
                     ToReply(aAddresses[index], std::move(aResult));
                   --open;
                   if (next < aAddresses.size()) {
                     sendNext();
                   } else if (open == 0) {
                     mLoop.Stop();
                   }
                 });
  };
  if (aAddresses.empty()) {
    return replies;
  }
  while (next < std::min(aAddresses.size(), kMaxOpenCalls)) {
    sendNext();
  }
  RunLoop();
  return replies;
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

AdminReply
AdminClient::Run(HttpCall aCall)
{
  AdminReply reply;
  const std::string address = aCall.mAddress;
  mClient.Send(std::move(aCall), [&](HttpResult aResult) {
    reply = ToReply(address, std::move(aResult));
    mLoop.Stop();
  });
  RunLoop();
  return reply;
}

} // namespace papayaway
