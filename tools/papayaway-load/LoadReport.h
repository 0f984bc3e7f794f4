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
  /** Counts a call whose first attempt leaves aLag after its arrival. */
  void CountSent(Millis aLag);

  void CountRetry() { ++mRetries; }

  /** Counts a call that was not sent because too many were open. */
  void CountDropped() { ++mDropped; }

  /** Counts the last result of a call.
   *  @param aLatency the time since the intended arrival.
   *  @param aIsWrong whether the body is not the answer to the request. */
  void CountEnd(const HttpResult& aResult, Millis aLatency, bool aIsWrong);

  [[nodiscard]] std::uint64_t Sent() const { return mSent; }
  [[nodiscard]] std::uint64_t Ended() const { return mAll.Count(); }
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
  LatencyHistogram mSucceeded;
  LatencyHistogram mAll;
  LatencyHistogram mLag;
};

/** @return whether aBody is a target's answer to this request: its path, key
 *    and echo are those of the request. */
bool IsAnswerTo(const HttpRequest& aRequest, const std::string& aBody);

} // namespace papayaway
