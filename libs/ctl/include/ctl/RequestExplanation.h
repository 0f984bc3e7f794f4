#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include <base/Millis.h>

namespace papayaway {

/**
 * Explains from the logs of sidecars why a request got its response.
 *
 * Logs can be larger than memory, so they are read line by line in two passes:
 * AddLine() for all lines, then AddRelatedEvent() for all lines, which needs
 * the nodes and the time range found by the first pass. docs/OPERATIONS.md
 * lists the events.
 */
class RequestExplanation
{
public:
  explicit RequestExplanation(std::string aRequest);

  /** Keeps the line if it belongs to the request.
   *  @return false if the line contains the request id but can't be parsed. */
  bool AddLine(std::string_view aLine);

  /** Keeps the line if its event may have affected the request: at about the
   *  same time, a node involved in the request stopped, started, lost a link or
   *  its target, or omitted log lines. */
  void AddRelatedEvent(std::string_view aLine);

  [[nodiscard]] bool IsFound() const { return !mLines.empty(); }

  /** @return whether a node involved in the request omitted log lines at that
   *    time, so that lines of the request may be missing. */
  [[nodiscard]] bool MayBeIncomplete() const { return mLinesOmitted; }

  /** @return the lines kept by both passes, sorted by time. */
  [[nodiscard]] std::vector<nlohmann::json> Lines() const;

  /** @return one sentence that states the response and its cause. */
  [[nodiscard]] std::string Cause() const;

private:
  std::string mRequest;
  std::vector<nlohmann::json> mLines;
  std::vector<nlohmann::json> mRelatedEvents;
  std::set<std::string, std::less<>> mNodes;
  Millis mFirstTime;
  Millis mLastTime;
  bool mLinesOmitted = false;
};

} // namespace papayaway
