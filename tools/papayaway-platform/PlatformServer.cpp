#include "PlatformServer.h"

#include <algorithm>

namespace papayaway {

namespace {

std::size_t
SizeOf(const HttpHeaders& aHeaders)
{
  std::size_t size = 0;
  for (const auto& [name, value] : aHeaders.Fields()) {
    size += name.size() + value.size() + 4;
  }
  return size;
}

} // namespace

PlatformServer::PlatformServer(EventLoop& aLoop)
  : mDelayed(aLoop)
{
}

void
PlatformServer::Serve(const std::shared_ptr<HttpExchange>& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  // Administrative requests are not subject to faults, so that faults can be
  // disabled again.
  if (request.mPath == "/admin/faults") {
    aExchange->Respond(SetFaults(request));
    return;
  }
  if (request.mPath == "/admin/counters") {
    aExchange->Respond(Counters());
    return;
  }
  const bool isWrite = request.mMethod != "GET";
  ++(isWrite ? mWrites : mReads);
  mBytesIn += request.mMethod.size() + request.mPath.size() +
              request.mQuery.size() + SizeOf(request.mHeaders) +
              request.mBody.size();
  switch (mFaults.NextAction(isWrite)) {
    case FaultAction::Hang:
      return;
    case FaultAction::Refuse:
      RespondLater(aExchange, JsonResponse(503, R"({"error":"outage"})"));
      return;
    case FaultAction::LoseResponse: {
      mService.Serve(request, SteadyNow());
      HttpResponse lost = JsonResponse(503, R"({"error":"reply lost"})");
      lost.mHeaders.Add("X-Fault", "reply-lost");
      RespondLater(aExchange, std::move(lost));
      return;
    }
    case FaultAction::None:
      // A delay applies to the response only: a write is executed immediately,
      // so a client whose call timed out finds its write committed afterwards.
      RespondLater(aExchange, mService.Serve(request, SteadyNow()));
      return;
  }
}

void
PlatformServer::RespondLater(const std::shared_ptr<HttpExchange>& aExchange,
                             HttpResponse aResponse)
{
  mBytesOut += SizeOf(aResponse.mHeaders) + aResponse.mBody.size();
  if (mFaults.mDelay.mCount <= 0) {
    aExchange->Respond(std::move(aResponse));
    return;
  }
  mDelayed.RunAfter(mFaults.mDelay,
                    [aExchange, response = std::move(aResponse)] {
                      aExchange->Respond(response);
                    });
}

HttpResponse
PlatformServer::SetFaults(const HttpRequest& aRequest)
{
  if (aRequest.mMethod != "POST") {
    return JsonResponse(405, R"({"error":"faults are set by POST"})");
  }
  try {
    const nlohmann::json body = nlohmann::json::parse(aRequest.mBody);
    // A member that is missing in the body disables its fault.
    mFaults = { .mOutage = body.value("outage", false),
                .mHang = body.value("hang", false),
                .mDelay = { std::max(0., body.value("delay_ms", 0.)) },
                .mLoseResponses = body.value("lose_replies", std::uint64_t{}) };
  } catch (const nlohmann::json::exception& parseError) {
    return JsonResponse(
      400, nlohmann::json{ { "error", parseError.what() } }.dump());
  }
  return JsonResponse(200, "{}");
}

HttpResponse
PlatformServer::Counters() const
{
  nlohmann::json counters = mService.Sizes();
  counters["reads"] = mReads;
  counters["writes"] = mWrites;
  counters["bytes_in"] = mBytesIn;
  counters["bytes_out"] = mBytesOut;
  counters["delayed"] = mDelayed.Pending();
  return JsonResponse(200, counters.dump());
}

} // namespace papayaway
