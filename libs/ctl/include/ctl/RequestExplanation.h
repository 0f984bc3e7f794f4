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
 * Finds out from the logs of sidecars why a request got its answer.
 *
 * Logs can be larger than memory, so they are read line by line and twice:
 * AddLine() for all lines, then AddNearby() for all lines, which needs the
 * nodes and times that the first pass has found. docs/OPERATIONS.md lists the
 * events.
 */
class RequestExplanation
{
public:
  explicit RequestExplanation(std::string aRequest);

  /** Keeps a line of this request.
   *  @return false if the line mentions the request but can't be read. */
  bool AddLine(std::string_view aLine);

  /** Keeps a line of another event that may have to do with the request: at
   *  the same time, a node that took part stopped, started, lost a link or its
   *  target, or left out lines. */
  void AddNearby(std::string_view aLine);

  [[nodiscard]] bool IsFound() const { return !mLines.empty(); }

  /** @return whether a node that took part left out lines then, so that some of
   *    the request's lines may be missing. */
  [[nodiscard]] bool MayBeIncomplete() const { return mLeftOut; }

  /** @return the lines of both passes, in the order of their time. */
  [[nodiscard]] std::vector<nlohmann::json> Lines() const;

  /** @return one sentence about the answer and its cause. */
  [[nodiscard]] std::string Cause() const;

private:
  std::string mRequest;
  std::vector<nlohmann::json> mLines;
  std::vector<nlohmann::json> mNearby;
  std::set<std::string, std::less<>> mNodes;
  Millis mFirst;
  Millis mLast;
  bool mLeftOut = false;
};

} // namespace papayaway
