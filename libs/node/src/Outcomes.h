#pragma once

#include <string>
#include <string_view>

#include <net/HttpClient.h>
#include <traffic/AdmissionQueue.h>
#include <wire/Messages.h>

namespace papayaway {

constexpr std::string_view kOutcomeHeader = "Papayaway-Outcome";
constexpr std::string_view kDeadlineHeader = "Papayaway-Deadline";
constexpr std::string_view kAttemptHeader = "Papayaway-Attempt";
constexpr std::string_view kKeyHeader = "Idempotency-Key";

/** Marks a refusal that sends the call to another version. */
constexpr std::string_view kRefusalHeader = "Papayaway-Refusal";

/** @return "ran", "not-run" or "unknown". */
std::string_view ToString(Outcome aOutcome);

/** @return a refusal of a call that was not given to a target. */
Reply NotRunReply(int aStatus, const std::string& aReason);

/** @return a refusal by the exposure budget of the new version. */
Reply ExposureRefusal();

/** @return a reply for a call that may or may not have run. */
Reply UnknownReply(int aStatus, const std::string& aReason);

/** @return the reply for what a target answered or failed to answer. */
Reply ReplyOf(HttpResult aResult);

/** @return how a call ended for the estimate of the target's latency. Failures
 *    and refusals of the target are often much faster than answers and would
 *    lower the baseline, so they do not count. */
CallEnd EndOf(const Reply& aReply);

/** @return whether the refusal is one by the exposure budget. */
bool IsExposureRefusal(const Reply& aReply);

} // namespace papayaway
