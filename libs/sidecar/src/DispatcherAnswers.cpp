#include <sidecar/Dispatcher.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>

namespace papayaway::sidecar {

using Category = EventLog::Category;

namespace {

/** The shortest Retry-After; a caller that returns sooner would probably be
 *  refused again. */
constexpr Millis kMinRetryAfter{ 100 };
/** Retry-After varies randomly by this fraction in either direction, so that
 *  refused callers do not return at the same time. */
constexpr double kRetryAfterJitter = 0.35;
/** The origin of responses that a target has sent. */
constexpr std::string_view kTargetOrigin = "target";

std::string
RetryAfterText(Millis aRetryAfter)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", aRetryAfter.mCount / 1000);
  return text.data();
}

CallerResponse
ErrorResponse(int aStatus, const char* aReason)
{
  CallerResponse response{ .mStatus = aStatus,
                           .mBody = std::string(aReason) + "\n" };
  response.mHeaders.Add("Content-Type", "text/plain");
  return response;
}

} // namespace

void
Dispatcher::Refuse(CallerExchange& aExchange,
                   const std::string& aRequestId,
                   int aStatus,
                   const char* aReason,
                   Millis aRetryAfter)
{
  mDependencies.mMetrics.OnRefused(aReason);
  if (mDependencies.mLog.ShouldWrite("refused", Category::Failure)) {
    mDependencies.mLog.Write(
      "calls",
      "refused",
      { { "request", aRequestId },
        { "status", aStatus },
        { "reason", aReason },
        { "state_version",
          mTable ? mTable->State().mVersion : std::uint64_t{ 0 } } });
  }
  CallerResponse response = ErrorResponse(aStatus, aReason);
  if (aRetryAfter.mCount > 0) {
    response.mHeaders.Add("Retry-After", RetryAfterText(aRetryAfter));
  }
  aExchange.Respond(std::move(response));
}

void
Dispatcher::AnswerFromLastReply(std::uint64_t aId)
{
  ActiveRequest& active = mActiveRequests.at(aId);
  ReplyMessage& last = active.mLastReply;
  switch (last.mOutcome) {
    case CallOutcome::Answered:
      Answer(aId,
             { .mStatus = last.mStatus,
               .mHeaders = std::move(last.mHeaders),
               .mBody = std::move(last.mBody) },
             "target");
      return;
    case CallOutcome::NotRun:
      AnswerRefused(aId, "no_room", last.mRetryAfter);
      return;
    case CallOutcome::Unknown:
      break;
  }
  if (active.mFailedResponse) {
    Answer(aId, std::move(*active.mFailedResponse), "target");
    return;
  }
  const bool late = SteadyNow() >= active.mDeadline;
  Answer(aId,
         ErrorResponse(late ? 504 : 502, last.mReason.c_str()),
         "outcome_unknown");
}

void
Dispatcher::AnswerRefused(std::uint64_t aId,
                          const char* aReason,
                          Millis aExpectedWait)
{
  const ActiveRequest& active = mActiveRequests.at(aId);
  // An earlier attempt ran or may have run although the last one did not.
  if (active.mFailedResponse) {
    Answer(aId, std::move(*mActiveRequests.at(aId).mFailedResponse), "target");
    return;
  }
  if (active.mMayHaveRun) {
    Answer(aId, ErrorResponse(502, aReason), "outcome_unknown");
    return;
  }
  mDependencies.mCaps.Credit(active.mTenant, active.mTokenExpiry);
  const Millis timeLeft =
    active.mArrivedAt + active.mCallerTimeout - SteadyNow();
  Millis retryAfter;
  if (mDependencies.mLocalTarget.LoadControlActive()) {
    retryAfter =
      gateway::RetryAfter(aExpectedWait, timeLeft, mDependencies.mRandom);
    mEarlyReturns.OnRefused(active.mRequestId, SteadyNow() + retryAfter);
  } else {
    const Millis maxRetryAfter = timeLeft * kMaxRetryAfterFraction;
    const double jitter =
      1 + kRetryAfterJitter * (2 * UniformFraction(mDependencies.mRandom) - 1);
    retryAfter = std::max(
      std::min(std::max(aExpectedWait, kMinRetryAfter) * jitter, maxRetryAfter),
      Millis{ 1 });
  }
  CallerResponse response = ErrorResponse(503, aReason);
  response.mHeaders.Add("Retry-After", RetryAfterText(retryAfter));
  mDependencies.mMetrics.OnRefused(aReason);
  Answer(aId, std::move(response), aReason);
}

void
Dispatcher::AnswerOverCap(std::uint64_t aId, Millis aRetryAfter)
{
  CallerResponse response = ErrorResponse(429, "over_cap");
  response.mHeaders.Add("Retry-After", RetryAfterText(aRetryAfter));
  mDependencies.mMetrics.OnRefused("over_cap");
  Answer(aId, std::move(response), "over_cap");
}

void
Dispatcher::Answer(std::uint64_t aId,
                   CallerResponse aResponse,
                   const char* aOrigin)
{
  const auto found = mActiveRequests.find(aId);
  const ActiveRequest active = std::move(found->second);
  mActiveRequests.erase(found);
  mDeadlines.erase({ active.mDeadline, aId });
  const Millis time = SteadyNow() - active.mArrivedAt;
  const int status = aResponse.mStatus;
  if (aOrigin == kTargetOrigin) {
    RecordNestedCall(active, gateway::NestedCallEnd::Answered);
  } else if ((status == 503 || status == 504) &&
             active.mLastReply.mReason != "quarantined") {
    RecordNestedCall(active, gateway::NestedCallEnd::RefusedOrLate);
  }
  mDependencies.mMetrics.OnRequest(
    active.mRule->mName, std::to_string(status / 100) + "xx", time);
  if (mDependencies.mLog.ShouldWrite(
        "answered", status < 400 ? Category::Success : Category::Failure)) {
    mDependencies.mLog.Write(
      "calls",
      "answered",
      { { "request", active.mRequestId },
        { "status", status },
        { "by", aOrigin },
        { "last", active.mLastReply.mReason },
        { "route", active.mRule->mName },
        { "service", active.mService },
        { "target_node", active.mNode },
        { "targets_reached", active.mTargetsReached },
        { "refusals", active.mRefusals },
        { "time_ms", time.WholeMillis() },
        { "deadline_left_ms", (active.mDeadline - SteadyNow()).WholeMillis() },
        { "state_version", active.mTable->State().mVersion } });
  }
  active.mExchange->Respond(std::move(aResponse));
}

void
Dispatcher::RecordNestedCall(const ActiveRequest& aActive,
                             gateway::NestedCallEnd aEnd)
{
  if (aActive.mParent) {
    mDependencies.mLocalTarget.OnNestedCallEnded(
      aActive.mParent->mRoute, aEnd, aActive.mArrivedAt);
  }
}

void
Dispatcher::AnswerError(std::uint64_t aId, int aStatus, const char* aReason)
{
  Answer(aId, ErrorResponse(aStatus, aReason), aReason);
}

} // namespace papayaway::sidecar
