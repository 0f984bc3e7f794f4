// LocalTargetProxy: the limits for cold and starting targets.

#include <algorithm>
#include <charconv>
#include <string_view>
#include <vector>

#include <sidecar/LocalTargetProxy.h>

namespace papayaway::sidecar {

namespace {

/** The longest time for which a target may say that it is cold. */
constexpr Millis kMaxColdTime = Seconds(3600);
/** The highest rate that is told, in requests a second. No target runs as many,
 *  and messages have room for it. */
constexpr double kMaxRate = 100'000;
/** A process older than this carries its share already when this node first
 *  receives its check-in, for example after a restart of the node. */
constexpr Millis kStartingAge = Seconds(10);
/** A request that started later than this after its arrival waited for a slot;
 *  others start in the same iteration of the loop. */
constexpr Millis kWaited{ 5 };

const char*
StateName(gateway::TargetPace::State aState)
{
  switch (aState) {
    case gateway::TargetPace::State::Unlimited:
      return "unlimited";
    case gateway::TargetPace::State::Ramping:
      return "ramping";
    case gateway::TargetPace::State::Failing:
      break;
  }
  return "failing";
}

} // namespace

void
LocalTargetProxy::SetServiceRule(const gateway::ServiceRule* aRule)
{
  mColdLimiter.SetRate(aRule == nullptr ? 0 : aRule->mColdRequestsPerSecond);
  DecidePace();
}

void
LocalTargetProxy::OnColdHeader(const HttpHeaders& aHeaders)
{
  const std::string_view text = aHeaders.Value(mProtocol.Headers().mColdLeft);
  std::uint32_t millis = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, millis);
  if (text.empty()) {
    return;
  }
  if (parsed.ec != std::errc() || parsed.ptr != end ||
      Millis{ static_cast<double>(millis) } > kMaxColdTime) {
    mMetrics.mBadInput.Increment();
    return;
  }
  mColdLimiter.OnResponse(Millis{ static_cast<double>(millis) }, SteadyNow());
}

void
LocalTargetProxy::DecidePace()
{
  if (!UsesPace()) {
    mPace.End();
    return;
  }
  if (mPaceDecided || !mTarget) {
    return;
  }
  mPaceDecided = true;
  if (WallNow() - mTargetStarted < kStartingAge) {
    mPace.Start(SteadyNow());
  }
}

void
LocalTargetProxy::OnPeers(std::span<const gateway::TargetCandidate> aPeers)
{
  const Millis now = SteadyNow();
  Millis oldest;
  for (const auto& [id, active] : mActiveCalls) {
    if (active.mSentToTarget) {
      oldest = std::max(oldest, now - active.mStartedAt);
    }
  }
  gateway::TargetLoad own = Load();
  // Without the open requests, which would make overdue ones seem usual.
  own.mMeanRunTime = mRunTimes.OverallMean();
  own.mAdmissionRate = mColdLimiter.Rate(now);
  mPace.OnTick(gateway::SummarizePeers(aPeers, own), own, oldest, now);
  if (mPace.Current() == mLoggedPace) {
    return;
  }
  mLoggedPace = mPace.Current();
  if (mLog.ShouldWrite("pace", EventLog::Category::Failure)) {
    mLog.Write("target",
               "pace",
               { { "target", mTarget ? mTarget->mId : "" },
                 { "state", StateName(mLoggedPace) },
                 { "rate", mPace.Rate().value_or(-1) } });
  }
}

void
LocalTargetProxy::OnPacedResult(const ActiveCall& aActive,
                                const ReplyMessage& aReply)
{
  if (!UsesPace()) {
    return;
  }
  const Millis now = SteadyNow();
  if (aReply.mOutcome == CallOutcome::NotRun) {
    // A target that sheds requests is full, which is no failure.
    if (aReply.mStatus != 0 &&
        mPace.Current() != gateway::TargetPace::State::Failing) {
      mPace.OnResponse({}, Millis{}, true, now);
    }
  } else if (aReply.mOutcome == CallOutcome::Unknown || aReply.mStatus >= 500) {
    mPace.OnFailure(now);
  } else {
    mPace.OnResponse(now - aActive.mStartedAt,
                     mHandlers.mUsualRunTime(aActive.mCall.mRoute),
                     aActive.mStartedAt - aActive.mArrivedAt > kWaited,
                     now);
  }
}

const char*
LocalTargetProxy::ExceededLimit(Millis aNow) const
{
  if (!mColdLimiter.MayAdmit(aNow)) {
    return kColdRateReason;
  }
  return mPace.MayAdmit(aNow) ? nullptr : kPaceReason;
}

std::optional<double>
LocalTargetProxy::AdmissionRate() const
{
  const auto cold = mColdLimiter.AdvisedRate(SteadyNow());
  const auto pace = mPace.Rate();
  if (!cold && !pace) {
    return std::nullopt;
  }
  return std::min(
    { cold.value_or(kMaxRate), pace.value_or(kMaxRate), kMaxRate });
}

} // namespace papayaway::sidecar
