#include <gateway/ColdRateLimiter.h>

#include <algorithm>
#include <cmath>

namespace papayaway::gateway {

namespace {

/** The length of the window in which requests are counted. */
constexpr Millis kWindow = Seconds(1);
/** The maximum number of times that are kept of each kind. A window with as
 *  many requests is above every rate at which a target is called cold. */
constexpr std::size_t kMaxTimes = 1000;

void
Append(std::deque<Millis>& aTimes, Millis aNow)
{
  while (!aTimes.empty() &&
         (aTimes.front() + kWindow <= aNow || aTimes.size() >= kMaxTimes)) {
    aTimes.pop_front();
  }
  aTimes.push_back(aNow);
}

/** @return how many of the times are in the window that ends now. */
int
CountInWindow(const std::deque<Millis>& aTimes, Millis aNow)
{
  const auto first =
    std::upper_bound(aTimes.begin(), aTimes.end(), aNow - kWindow);
  return static_cast<int>(aTimes.end() - first);
}

} // namespace

void
ColdRateLimiter::OnReport(Millis aColdLeft, bool aNewProcess, Millis aNow)
{
  if (mLostAt && !aNewProcess && aNow < *mLostAt + mOptions.mStaleCheckIn) {
    return;
  }
  mLostAt.reset();
  mColdUntil = aNow + aColdLeft;
}

void
ColdRateLimiter::OnResponse(Millis aColdLeft, Millis aNow)
{
  mColdUntil = std::max(mColdUntil, aNow + aColdLeft);
}

bool
ColdRateLimiter::IsLimited(Millis aNow) const
{
  if (!mRate) {
    return aNow < mColdUntil;
  }
  return *mRate > 0 && (mLostAt || aNow < mColdUntil);
}

int
ColdRateLimiter::Limit(Millis aNow) const
{
  const double rate = mRate.value_or(0);
  const double bound = rate * mOptions.mFactor + mOptions.mSlack;
  double limit = mRate ? std::min(rate, bound) : bound / 3;
  if (aNow < mStarted + kWindow) {
    limit = std::min(limit, (bound - rate) / 2);
  }
  // A rate below one a second must not shut the target off.
  const double whole = std::max(std::floor(limit), std::min(1.0, bound));
  return static_cast<int>(
    std::clamp(whole, 0.0, static_cast<double>(kMaxTimes)));
}

bool
ColdRateLimiter::MayAdmit(Millis aNow) const
{
  return !IsLimited(aNow) || CountInWindow(mSent, aNow) < Limit(aNow);
}

void
ColdRateLimiter::OnSent(Millis aNow)
{
  Append(mSent, aNow);
}

void
ColdRateLimiter::OnHandedBack(Millis aNow)
{
  Append(mHandedBack, aNow);
}

void
ColdRateLimiter::OnNotCounted(Millis aSentAt)
{
  const auto found = std::lower_bound(mSent.begin(), mSent.end(), aSentAt);
  if (found != mSent.end() && *found == aSentAt) {
    mSent.erase(found);
  }
}

Millis
ColdRateLimiter::TimeToAdmission(Millis aNow) const
{
  if (MayAdmit(aNow)) {
    return {};
  }
  const auto limit = static_cast<std::size_t>(Limit(aNow));
  if (limit == 0 || mSent.size() < limit) {
    return kWindow;
  }
  return std::max(Millis{}, mSent[mSent.size() - limit] + kWindow - aNow);
}

std::optional<double>
ColdRateLimiter::Rate(Millis aNow) const
{
  return IsLimited(aNow) ? std::optional<double>(Limit(aNow)) : std::nullopt;
}

std::optional<double>
ColdRateLimiter::AdvisedRate(Millis aNow) const
{
  if (!IsLimited(aNow)) {
    return std::nullopt;
  }
  const double limit = Limit(aNow);
  const double offered =
    CountInWindow(mSent, aNow) + CountInWindow(mHandedBack, aNow);
  return limit * limit / std::max({ limit, offered, 1.0 });
}

} // namespace papayaway::gateway
