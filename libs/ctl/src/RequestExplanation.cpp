#include <ctl/RequestExplanation.h>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "Output.h"

namespace papayaway {
namespace {

using Json = nlohmann::json;

/** Events up to this long before the first line of a request may have caused
 *  its end: a failed node is detected about 2 s after its last message. */
constexpr Millis kRelatedBefore = Seconds(3);
/** Events that ended the request are logged within this time after its last
 *  line. */
constexpr Millis kRelatedAfter = Seconds(1);

/** Events that affect the requests at a node. */
constexpr std::array<std::string_view, 11> kRelatedEvents = {
  "started",
  "stopping",
  "stopped",
  "reloaded",
  "target_state",
  "link_lost",
  "target_crashed",
  "store_answers",
  "store_does_not_answer",
  "left_out",
  "desired_state_in_force",
};

/** @return the line as a JSON object, or null if it is not one. */
Json
ParseLine(std::string_view aLine)
{
  Json line = Json::parse(aLine, nullptr, false);
  return line.is_object() ? std::move(line) : Json();
}

Millis
TimeOf(const Json& aLine)
{
  return Millis{ static_cast<double>(NumberMember(aLine, "time")) };
}

/** @return a description of the reason why an attempt was refused or lost. */
std::string
ReasonText(const std::string& aReason)
{
  static const std::map<std::string, std::string> reasonTexts = {
    { "no_slot_in_time", "the target's queue could not start it in time" },
    { "queue_full", "the target's queue was full" },
    { "deadline_while_waiting", "its deadline passed in the target's queue" },
    { "target_shed", "the target itself refused to run it" },
    { "target_not_ready", "the target was not ready" },
    { "target_leaving", "the target was leaving" },
    { "other_service", "the node had a target of another service" },
    { "other_version", "the node had a target of another version" },
    { "version_replaced", "the version of the target was replaced" },
    { "another_target", "another target had taken over the address" },
    { "target_refused_connection", "the target accepted no connection" },
    { "target_connection_lost",
      "the connection to the target ended while it may have run" },
    { "target_silent_at_deadline",
      "the target had not answered by the deadline" },
    { "link_lost",
      "the link to the node of the target ended while it may have run" },
    { "link_not_opened", "the node of the target could not be reached" },
    { "no_link", "the node of the target could not be reached" },
    { "quarantined",
      "requests with the same fingerprint have crashed targets" },
    { "no_target", "the service had no target" },
    { "no_slot_before_deadline",
      "no target could start it in the time that was left" },
    { "no_room", "no target had room" },
    { "no_desired_state", "the node had no desired state yet" },
    { "no_route", "no route rule of the desired state matches it" },
    { "no_request_id", "it had no request id" },
    { "too_many_requests", "the node had too many requests in flight" },
    { "deadline", "no answer came before its deadline" },
  };
  const auto found = reasonTexts.find(aReason);
  return found == reasonTexts.end() ? "reason \"" + aReason + "\""
                                    : found->second;
}

std::string
CauseOfResponse(const Json& aLine)
{
  const std::string by = TextMember(aLine, "by");
  const std::string last = TextMember(aLine, "last");
  const std::int64_t status = NumberMember(aLine, "status");
  const std::string node = TextMember(aLine, "target_node");
  std::string cause = "answered " + std::to_string(status) + " after " +
                      std::to_string(NumberMember(aLine, "time_ms")) + " ms";
  if (by == "target") {
    cause += ": the answer of a target";
    if (status < 500) {
      return cause + " on node " + node;
    }
    if (!last.empty()) {
      cause += "; at the last one, on node " + node + ", " + ReasonText(last);
    }
  } else if (by == "no_room" || by == "outcome_unknown") {
    cause += by == "no_room" ? ", it has not run: " : ", it may have run: ";
    cause += ReasonText(last.empty() ? by : last);
    if (!node.empty()) {
      cause += " (last node " + node + ")";
    }
  } else {
    cause += ": " + ReasonText(by);
  }
  return cause + "; targets reached: " +
         std::to_string(NumberMember(aLine, "targets_reached")) +
         ", offers refused: " + std::to_string(NumberMember(aLine, "refusals"));
}

} // namespace

RequestExplanation::RequestExplanation(std::string aRequest)
  : mRequest(std::move(aRequest))
{
}

bool
RequestExplanation::AddLine(std::string_view aLine)
{
  // Most lines belong to other requests, and this search is cheaper than
  // parsing them.
  if (aLine.find(mRequest) == std::string_view::npos) {
    return true;
  }
  Json line = ParseLine(aLine);
  if (line.is_null()) {
    return false;
  }
  if (TextMember(line, "request") != mRequest) {
    return true;
  }
  const Millis time = TimeOf(line);
  mFirstTime = mLines.empty() ? time : std::min(mFirstTime, time);
  mLastTime = std::max(mLastTime, time);
  mNodes.insert(TextMember(line, "node"));
  if (std::string target = TextMember(line, "target_node"); !target.empty()) {
    mNodes.insert(std::move(target));
  }
  mLines.push_back(std::move(line));
  return true;
}

void
RequestExplanation::AddRelatedEvent(std::string_view aLine)
{
  Json line = ParseLine(aLine);
  const std::string event = line.is_null() ? "" : TextMember(line, "event");
  if (std::find(kRelatedEvents.begin(), kRelatedEvents.end(), event) ==
      kRelatedEvents.end()) {
    return;
  }
  const Millis time = TimeOf(line);
  const bool inTimeRange =
    time >= mFirstTime - kRelatedBefore && time <= mLastTime + kRelatedAfter;
  const bool involved = mNodes.contains(TextMember(line, "node")) ||
                        mNodes.contains(TextMember(line, "peer"));
  if (!inTimeRange || !involved) {
    return;
  }
  mLinesOmitted = mLinesOmitted || event == "left_out";
  mRelatedEvents.push_back(std::move(line));
}

std::vector<Json>
RequestExplanation::Lines() const
{
  std::vector<Json> lines = mLines;
  lines.insert(lines.end(), mRelatedEvents.begin(), mRelatedEvents.end());
  std::stable_sort(
    lines.begin(), lines.end(), [](const Json& aLeft, const Json& aRight) {
      return TimeOf(aLeft) < TimeOf(aRight);
    });
  return lines;
}

std::string
RequestExplanation::Cause() const
{
  // A request that was retried has several responses; the last one is
  // explained.
  const Json* end = nullptr;
  std::string lossCause;
  for (const Json& line : mLines) {
    const std::string event = TextMember(line, "event");
    if (event == "ran" && line.contains("cause")) {
      lossCause = TextMember(line, "cause");
    }
    const bool ends =
      event == "answered" || event == "refused" || event == "abandoned";
    if (ends && (end == nullptr || TimeOf(line) >= TimeOf(*end))) {
      end = &line;
    }
  }
  if (end == nullptr) {
    return "the logs contain no line about the end of the request";
  }
  const std::string event = TextMember(*end, "event");
  if (event == "refused") {
    return "refused with " + std::to_string(NumberMember(*end, "status")) +
           " before a target was selected: " +
           ReasonText(TextMember(*end, "reason"));
  }
  if (event == "abandoned") {
    return "the caller disconnected after " +
           std::to_string(NumberMember(*end, "time_ms")) +
           " ms, while the request was at node " +
           TextMember(*end, "target_node");
  }
  const std::string cause = CauseOfResponse(*end);
  return lossCause.empty() ? cause
                           : cause + "; a response was lost: " + lossCause;
}

} // namespace papayaway
