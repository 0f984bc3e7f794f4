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
/** The id that a caller may give a request, for the log. */
constexpr std::string_view kRequestIdHeader = "X-Request-Id";

/** Marks a refusal after which the call is redirected to another version. */
constexpr std::string_view kRefusalHeader = "Papayaway-Refusal";

/** @return "ran", "not-run" or "unknown". */
std::string_view ToString(Outcome aOutcome);

/** @return a refusal of a call that was not sent to a target. */
Reply NotRunReply(int aStatus, const std::string& aReason);

/** @return a refusal because the exposure budget of the new version is used
 *    up. */
Reply ExposureRefusal();

/** @return the response to a call that may or may not have run. */
Reply UnknownReply(int aStatus, const std::string& aReason);

/** @return the Reply for a target's HTTP response, or for the failure to get
 *    one. */
Reply ReplyOf(HttpResult aResult);

/** @return how a call counts in the estimate of the target's latency. Failures
 *    and refusals are not counted, because they are often much faster than
 *    answered calls and would lower the baseline. */
CallEnd EndOf(const Reply& aReply);

/** @return whether aReply was made by ExposureRefusal(). */
bool IsExposureRefusal(const Reply& aReply);

} // namespace papayaway
