#include <ctl/RequestExplanation.h>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "Output.h"

namespace papayaway {
namespace {

using Json = nlohmann::json;

/** Events this long before a request's first line may have caused its end: a
 *  node is known to be gone about 2 s after its last sign. */
constexpr Millis kBefore = Seconds(3);
/** News of what ended the request arrives within this time. */
constexpr Millis kAfter = Seconds(1);

/** Events that change what happens to the requests at a node. */
constexpr std::array<std::string_view, 11> kNearbyEvents = {
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

/** @return a line as an object; null if it is none. */
Json
Read(std::string_view aLine)
{
  Json line = Json::parse(aLine, nullptr, false);
  return line.is_object() ? std::move(line) : Json();
}

Millis
TimeOf(const Json& aLine)
{
  return Millis{ static_cast<double>(NumberMember(aLine, "time")) };
}

/** @return what the reason of a refused or lost attempt means. */
std::string
Meaning(const std::string& aReason)
{
  static const std::map<std::string, std::string> meanings = {
    { "no_slot_in_time",
      "the queue beside the target could not start it in time" },
    { "queue_full", "the queue beside the target was full" },
    { "deadline_while_waiting",
      "its deadline passed in the queue beside the target" },
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
    { "target_silent_at_deadline", "the target had not answered in time" },
    { "link_lost",
      "the link to the node beside the target ended while it may have run" },
    { "link_not_opened", "the node beside the target could not be reached" },
    { "no_link", "the node beside the target could not be reached" },
    { "quarantined", "requests like it have crashed targets" },
    { "no_target", "the service had no target" },
    { "no_slot_before_deadline",
      "every target had a longer queue than the time that was left" },
    { "no_room", "no target had room" },
    { "no_desired_state", "the node had no desired state yet" },
    { "no_route", "no rule of the desired state matches it" },
    { "no_request_id", "it had no request id" },
    { "too_many_requests", "the node had too many requests in flight" },
    { "deadline", "no answer came before its deadline" },
  };
  const auto found = meanings.find(aReason);
  return found == meanings.end() ? "reason \"" + aReason + "\"" : found->second;
}

std::string
CauseOfAnswer(const Json& aLine)
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
      return cause + " beside " + node;
    }
    if (!last.empty()) {
      cause += "; at the last one, beside " + node + ", " + Meaning(last);
    }
  } else if (by == "no_room" || by == "outcome_unknown") {
    cause += by == "no_room" ? ", it has not run: " : ", it may have run: ";
    cause += Meaning(last.empty() ? by : last);
    if (!node.empty()) {
      cause += " (last node " + node + ")";
    }
  } else {
    cause += ": " + Meaning(by);
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
  // Most lines are of other requests, and reading one costs more than this.
  if (aLine.find(mRequest) == std::string_view::npos) {
    return true;
  }
  Json line = Read(aLine);
  if (line.is_null()) {
    return false;
  }
  if (TextMember(line, "request") != mRequest) {
    return true;
  }
  const Millis time = TimeOf(line);
  mFirst = mLines.empty() ? time : std::min(mFirst, time);
  mLast = std::max(mLast, time);
  mNodes.insert(TextMember(line, "node"));
  if (std::string target = TextMember(line, "target_node"); !target.empty()) {
    mNodes.insert(std::move(target));
  }
  mLines.push_back(std::move(line));
  return true;
}

void
RequestExplanation::AddNearby(std::string_view aLine)
{
  Json line = Read(aLine);
  const std::string event = line.is_null() ? "" : TextMember(line, "event");
  if (std::find(kNearbyEvents.begin(), kNearbyEvents.end(), event) ==
      kNearbyEvents.end()) {
    return;
  }
  const Millis time = TimeOf(line);
  const bool near = time >= mFirst - kBefore && time <= mLast + kAfter;
  const bool ours = mNodes.contains(TextMember(line, "node")) ||
                    mNodes.contains(TextMember(line, "peer"));
  if (!near || !ours) {
    return;
  }
  mLeftOut = mLeftOut || event == "left_out";
  mNearby.push_back(std::move(line));
}

std::vector<Json>
RequestExplanation::Lines() const
{
  std::vector<Json> lines = mLines;
  lines.insert(lines.end(), mNearby.begin(), mNearby.end());
  std::stable_sort(
    lines.begin(), lines.end(), [](const Json& aLeft, const Json& aRight) {
      return TimeOf(aLeft) < TimeOf(aRight);
    });
  return lines;
}

std::string
RequestExplanation::Cause() const
{
  // A request that came back has an answer for each time; the last one counts.
  const Json* end = nullptr;
  for (const Json& line : mLines) {
    const std::string event = TextMember(line, "event");
    const bool ends =
      event == "answered" || event == "refused" || event == "abandoned";
    if (ends && (end == nullptr || TimeOf(line) >= TimeOf(*end))) {
      end = &line;
    }
  }
  if (end == nullptr) {
    return "the logs hold no line about its end";
  }
  const std::string event = TextMember(*end, "event");
  if (event == "refused") {
    return "refused with " + std::to_string(NumberMember(*end, "status")) +
           " before a target was looked for: " +
           Meaning(TextMember(*end, "reason"));
  }
  if (event == "abandoned") {
    return "the caller left after " +
           std::to_string(NumberMember(*end, "time_ms")) +
           " ms, while it was with " + TextMember(*end, "target_node");
  }
  return CauseOfAnswer(*end);
}

} // namespace papayaway
