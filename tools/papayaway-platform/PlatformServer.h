#pragma once

#include <cstdint>
#include <memory>

#include <net/DelayedCalls.h>
#include <net/HttpServer.h>

#include "Faults.h"
#include "PlatformService.h"

namespace papayaway {

/** Counts requests and serves them, subject to the simulated faults. */
class PlatformServer
{
public:
  explicit PlatformServer(EventLoop& aLoop);

  void Serve(const std::shared_ptr<HttpExchange>& aExchange);

private:
  HttpResponse SetFaults(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse Counters() const;
  void RespondLater(const std::shared_ptr<HttpExchange>& aExchange,
                    HttpResponse aResponse);

  PlatformService mService;
  Faults mFaults;
  DelayedCalls mDelayed;
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  std::uint64_t mBytesIn = 0;
  std::uint64_t mBytesOut = 0;
};

} // namespace papayaway
