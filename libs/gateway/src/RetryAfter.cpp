#include <gateway/RetryAfter.h>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace papayaway::gateway {

namespace {

/** At a lower rate the expected wait is more exact than the measured rate. */
constexpr double kMinServedPerSecond = 0.5;
/** A caller may return this much before the time it was told; clocks and
 *  rounding differ. */
constexpr Millis kEarlyTolerance{ 20 };

} // namespace

void
CapacityPromises::OnServed(Millis aNow)
{
  mServed = mServed * std::exp2((mCountedAt - aNow) / mOptions.mHalfLife) + 1;
  mCountedAt = aNow;
}

double
CapacityPromises::ServedPerSecond(Millis aNow) const
{
  const double served =
    mServed * std::exp2((mCountedAt - aNow) / mOptions.mHalfLife);
  return served * std::numbers::ln2 / (mOptions.mHalfLife / Seconds(1));
}

Millis
CapacityPromises::Promise(int aAhead,
                          Millis aExpectedWait,
                          Millis aTimeLeft,
                          Millis aNow)
{
  const Millis longest =
    std::max(Millis{}, aTimeLeft) * mOptions.mMaxFractionOfTimeLeft;
  const double rate = ServedPerSecond(aNow);
  if (rate < kMinServedPerSecond) {
    return std::min(aExpectedWait, longest);
  }
  const Millis returnAt =
    std::max(mNextPromise, aNow + Seconds((aAhead + 1) / rate));
  if (returnAt - aNow > longest) {
    return longest;
  }
  mNextPromise = returnAt + Seconds(1 / (rate * mOptions.mPromisedFraction));
  return returnAt - aNow;
}

Millis
RetryAfter(Millis aPromise,
           Millis aTimeLeft,
           Random& aRandom,
           const RetryAfterOptions& aOptions)
{
  const Millis wait = std::min(std::max(aPromise, aOptions.mMin),
                               aTimeLeft * aOptions.mMaxFractionOfTimeLeft);
  return std::max(wait * (1 - aOptions.mSpread * UniformFraction(aRandom)),
                  Millis{ 1 });
}

void
EarlyReturns::OnRefused(const std::string& aRequestId, Millis aReturnAt)
{
  const auto [entry, added] = mReturnAt.insert_or_assign(aRequestId, aReturnAt);
  if (!added) {
    return;
  }
  mOrder.push_back(aRequestId);
  if (mOrder.size() > mMaxEntries) {
    mReturnAt.erase(mOrder.front());
    mOrder.pop_front();
  }
}

Millis
EarlyReturns::EarlyBy(const std::string& aRequestId, Millis aNow) const
{
  const auto found = mReturnAt.find(aRequestId);
  if (found == mReturnAt.end() || found->second - aNow <= kEarlyTolerance) {
    return {};
  }
  return found->second - aNow;
}

} // namespace papayaway::gateway
