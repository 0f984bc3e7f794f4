#include <gateway/StateFreshness.h>

#include <algorithm>

namespace papayaway::gateway {

StateFreshness::StateFreshness(StateFreshnessOptions aOptions, Millis aStart)
  : mOptions(aOptions)
  , mStart(aStart)
  , mLastTick(aStart)
  , mIgnoreUntil(aStart)
{
}

void
StateFreshness::OnTick(Millis aNow)
{
  if (aNow - mLastTick > mOptions.mMaxTickGap) {
    mIgnoreUntil = aNow + mOptions.mDrainTime;
  }
  mLastTick = aNow;
}

void
StateFreshness::Confirm(Millis aAt, Millis aNow)
{
  if (!IgnoresReports(aNow) && (!mConfirmedAt || aAt > *mConfirmedAt)) {
    mConfirmedAt = aAt;
  }
}

bool
StateFreshness::IgnoresReports(Millis aNow)
{
  // The first input after a gap may be processed before the tick.
  OnTick(aNow);
  return aNow < mIgnoreUntil;
}

void
StateFreshness::OnStoreAnswer(Millis aConfirmedAt, Millis aNow)
{
  mStoreAnswered = true;
  Confirm(aConfirmedAt, aNow);
}

void
StateFreshness::OnReport(std::uint64_t aVersion,
                         std::optional<Millis> aConfirmedAgo,
                         std::uint64_t aOwnVersion,
                         Millis aNow)
{
  if (aVersion == 0) {
    return;
  }
  if (!mFirstReport) {
    mFirstReport = aNow;
  }
  const bool expired = aNow - mReportedAt >= mOptions.mReportLifetime;
  if (aVersion >= mReportedVersion || expired) {
    mReportedVersion = aVersion;
    mReportedAt = aNow;
  }
  // If an older version than the one here was the newest at that time, no
  // version existed that this node lacks.
  if (aConfirmedAgo && aVersion <= aOwnVersion) {
    Confirm(aNow - std::max(*aConfirmedAgo, Millis{}) -
              mOptions.mTransitAllowance,
            aNow);
  }
}

std::optional<Millis>
StateFreshness::ConfirmedAgo(Millis aNow) const
{
  return mConfirmedAt ? std::optional(aNow - *mConfirmedAt) : std::nullopt;
}

bool
StateFreshness::IsOutdated(std::uint64_t aOwnVersion, Millis aNow) const
{
  if (mReportedVersion > aOwnVersion &&
      aNow - mReportedAt < mOptions.mReportLifetime) {
    return true;
  }
  return !mStoreAnswered && mFirstReport &&
         aNow - *mFirstReport < mOptions.mFirstReportsWait;
}

StateDoubt
StateFreshness::Doubt(std::uint64_t aOwnVersion, Millis aNow)
{
  if (!mSettled) {
    if (IsOutdated(aOwnVersion, aNow)) {
      return StateDoubt::Outdated;
    }
    mSettled = aNow - mStart >= mOptions.mStartPeriod;
  }
  const bool confirmed =
    mConfirmedAt && aNow - *mConfirmedAt <= mOptions.mConfirmationLimit;
  return mOptions.mStrict && !confirmed ? StateDoubt::Unconfirmed
                                        : StateDoubt::None;
}

} // namespace papayaway::gateway
