#include "Outcomes.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace papayaway {

namespace {

Reply
ErrorReply(int aStatus, Outcome aOutcome, const std::string& aReason)
{
  return { .mStatus = aStatus,
           .mHeaders = { { "Content-Type", "application/json" } },
           .mBody = nlohmann::json{ { "error", aReason } }.dump(),
           .mOutcome = aOutcome };
}

} // namespace

std::string_view
ToString(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Ran:
      return "ran";
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

Reply
NotRunReply(int aStatus, const std::string& aReason)
{
  return ErrorReply(aStatus, Outcome::NotRun, aReason);
}

Reply
ExposureRefusal()
{
  Reply reply = NotRunReply(
    503, "the new version runs no more calls of this route in this stage");
  reply.mHeaders.emplace_back(kRefusalHeader, "exposure");
  return reply;
}

Reply
UnknownReply(int aStatus, const std::string& aReason)
{
  return ErrorReply(aStatus, Outcome::Unknown, aReason);
}

Reply
ReplyOf(HttpResult aResult)
{
  if (aResult.mFailure != HttpFailure::None) {
    if (!aResult.mMayHaveRun) {
      return NotRunReply(503, "the target could not be reached");
    }
    switch (aResult.mFailure) {
      case HttpFailure::Timeout:
        return UnknownReply(504, "the target did not answer in time");
      case HttpFailure::Malformed:
        return UnknownReply(502, "the target's response is malformed");
      default:
        return UnknownReply(502, "the connection to the target was lost");
    }
  }
  Reply reply{ .mStatus = aResult.mResponse.mStatus,
               .mBody = std::move(aResult.mResponse.mBody),
               .mOutcome = Outcome::Ran };
  if (aResult.mResponse.mHeaders.Value(kOutcomeHeader) == "not-run") {
    reply.mOutcome = Outcome::NotRun;
  }
  for (const auto& field : aResult.mResponse.mHeaders.Fields()) {
    if (!EqualIgnoringCase(field.first, kOutcomeHeader) &&
        !EqualIgnoringCase(field.first, "Date")) {
      reply.mHeaders.push_back(field);
    }
  }
  return reply;
}

CallEnd
EndOf(const Reply& aReply)
{
  if (aReply.mOutcome == Outcome::Unknown && aReply.mStatus == 504) {
    return CallEnd::TimedOut;
  }
  return aReply.mOutcome == Outcome::Ran && aReply.mStatus < 500
           ? CallEnd::Answered
           : CallEnd::Other;
}

bool
IsExposureRefusal(const Reply& aReply)
{
  return aReply.mOutcome == Outcome::NotRun &&
         std::any_of(
           aReply.mHeaders.begin(),
           aReply.mHeaders.end(),
           [](const auto& aField) { return aField.first == kRefusalHeader; });
}

} // namespace papayaway
