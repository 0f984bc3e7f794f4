#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include <base/Millis.h>
#include <net/HttpClient.h>

#include "LatencyHistogram.h"

namespace papayaway {

/** Collects the results of the calls. */
class LoadReport
{
public:
  /** Counts a call whose first attempt is sent aLag after its scheduled
   *  arrival. */
  void CountSent(Millis aLag);

  void CountRetry() { ++mRetries; }

  /** Counts a call that was not sent because too many calls were in flight. */
  void CountDropped() { ++mDropped; }

  /** Counts the result of the last attempt of a call.
   *  @param aLatency the time since the scheduled arrival.
   *  @param aIsWrong whether the body is the response to another request. */
  void CountResult(const HttpResult& aResult, Millis aLatency, bool aIsWrong);

  [[nodiscard]] std::uint64_t Sent() const { return mSent; }
  [[nodiscard]] std::uint64_t Ended() const { return mAllLatencies.Count(); }
  [[nodiscard]] nlohmann::json ToJson() const;
  [[nodiscard]] std::string ToText() const;

private:
  using Counts = std::map<std::string, std::uint64_t>;

  std::uint64_t mSent = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mDropped = 0;
  std::uint64_t mWrongBodies = 0;
  Counts mByStatus;
  Counts mByOutcome;
  Counts mByVersion;
  LatencyHistogram mSuccessLatencies;
  LatencyHistogram mAllLatencies;
  LatencyHistogram mSendLag;
};

/** @return whether aBody is a target's response to this request: its path, key
 *    and echo are those of the request. */
bool IsResponseTo(const HttpRequest& aRequest, const std::string& aBody);

} // namespace papayaway
