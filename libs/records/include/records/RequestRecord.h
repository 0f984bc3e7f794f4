#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <base/Millis.h>
#include <wire/Messages.h>

namespace papayaway {

/** The record of one request of a customer. */
struct RequestRecord
{
  /** The number of the request, counted from 1 per customer and incarnation of
   *  a node. Assigned by RecordBuffer. */
  std::uint64_t mSequence = 0;
  Millis mWallTime;
  std::string mMethod;
  /** The prefix of the route that matched. */
  std::string mRoute;
  int mStatus = 0;
  Outcome mOutcome = Outcome::Unknown;

  bool operator==(const RequestRecord&) const = default;
};

/** @return one line of JSON with the keys sequence, time_ms, method, route,
 *    status and outcome ("ran", "not-run", "unknown"), ending in a newline. */
std::string ToLine(const RequestRecord& aRecord);

/** @return the sequence of a line from ToLine(), or nothing if the line is
 *    malformed. */
std::optional<std::uint64_t> SequenceOfLine(std::string_view aLine);

} // namespace papayaway
