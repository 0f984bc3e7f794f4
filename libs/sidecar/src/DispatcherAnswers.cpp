#include <sidecar/Dispatcher.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace papayaway::sidecar {

using Weight = EventLog::Weight;

namespace {

/** Retry-After: the least, so that a caller does not come back in vain... */
constexpr Millis kLeastPause{ 100 };
/** ...and the most, as a part of what the caller has left. Callers follow it
 *  up to a third. */
constexpr double kMostPausePart = 0.3;
/** Returns are spread over this part of the pause on either side. */
constexpr double kPauseSpread = 0.35;

std::string
RetryAfterText(Millis aPause)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", aPause.mCount / 1000);
  return text.data();
}

CallerResponse
OwnResponse(int aStatus, const char* aReason)
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
  mParts.mMetrics.OnRefused(aReason);
  if (mParts.mLog.Wants("refused", Weight::Failure)) {
    mParts.mLog.Write(
      "calls",
      "refused",
      { { "request", aRequestId },
        { "status", aStatus },
        { "reason", aReason },
        { "state_version",
          mTable ? mTable->State().mVersion : std::uint64_t{ 0 } } });
  }
  CallerResponse response = OwnResponse(aStatus, aReason);
  if (aRetryAfter.mCount > 0) {
    response.mHeaders.Add("Retry-After", RetryAfterText(aRetryAfter));
  }
  aExchange.Respond(std::move(response));
}

void
Dispatcher::AnswerLast(std::uint64_t aId)
{
  ActiveRequest& active = mActive.at(aId);
  ReplyMessage& last = active.mLast;
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
  if (active.mFailed) {
    Answer(aId, std::move(*active.mFailed), "target");
    return;
  }
  const bool late = SteadyNow() >= active.mDeadline;
  Answer(aId,
         OwnResponse(late ? 504 : 502, last.mReason.c_str()),
         "outcome_unknown");
}

void
Dispatcher::AnswerRefused(std::uint64_t aId, const char* aReason, Millis aWait)
{
  const ActiveRequest& active = mActive.at(aId);
  // An earlier attempt ran or may have run although the last one did not.
  if (active.mFailed) {
    Answer(aId, std::move(*mActive.at(aId).mFailed), "target");
    return;
  }
  if (active.mMayHaveRun) {
    Answer(aId, OwnResponse(502, aReason), "outcome_unknown");
    return;
  }
  const Millis left = active.mArrived + active.mPatience - SteadyNow();
  const Millis most = left * kMostPausePart;
  const double spread =
    1 + kPauseSpread * (2 * UniformFraction(mParts.mRandom) - 1);
  const Millis pause = std::max(
    std::min(std::max(aWait, kLeastPause) * spread, most), Millis{ 1 });
  CallerResponse response = OwnResponse(503, aReason);
  response.mHeaders.Add("Retry-After", RetryAfterText(pause));
  mParts.mMetrics.OnRefused(aReason);
  Answer(aId, std::move(response), aReason);
}

void
Dispatcher::Answer(std::uint64_t aId,
                   CallerResponse aResponse,
                   const char* aWhy)
{
  const auto found = mActive.find(aId);
  const ActiveRequest active = std::move(found->second);
  mActive.erase(found);
  mDeadlines.erase({ active.mDeadline, aId });
  const Millis time = SteadyNow() - active.mArrived;
  const int status = aResponse.mStatus;
  mParts.mMetrics.OnRequest(
    active.mRule->mName, std::to_string(status / 100) + "xx", time);
  if (mParts.mLog.Wants("answered",
                        status < 400 ? Weight::Success : Weight::Failure)) {
    mParts.mLog.Write(
      "calls",
      "answered",
      { { "request", active.mRequestId },
        { "status", status },
        { "by", aWhy },
        { "last", active.mLast.mReason },
        { "route", active.mRule->mName },
        { "service", active.mService },
        { "target_node", active.mNode },
        { "targets_reached", active.mReached },
        { "refusals", active.mRefusals },
        { "time_ms", time.Whole() },
        { "deadline_left_ms", (active.mDeadline - SteadyNow()).Whole() },
        { "state_version", active.mTable->State().mVersion } });
  }
  active.mExchange->Respond(std::move(aResponse));
}

void
Dispatcher::AnswerFailed(std::uint64_t aId, int aStatus, const char* aReason)
{
  Answer(aId, OwnResponse(aStatus, aReason), aReason);
}

} // namespace papayaway::sidecar
