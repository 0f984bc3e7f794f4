#include <traffic/ConcurrencyLimit.h>

#include <algorithm>

namespace papayaway {

namespace {

constexpr Millis kMinWindow{ 200 };
// The mean of fewer replies varies too much to compare.
constexpr int kMinReplies = 10;
// The routes of one target differ in latency, so the mean also changes with
// the mix of routes.
constexpr double kToleratedRatio = 2;
constexpr double kDecreaseFactor = 0.8;
// The baseline doubles in 70 windows (14 s at full rate), so that the limit
// recovers when a target has become permanently slower.
constexpr double kBaselineGrowth = 1.01;
constexpr double kSmoothingFactor = 0.3;
constexpr int kFloorDivisor = 4;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(int aSlots)
  : mSlots(std::max(1, aSlots))
  , mLimit(mSlots)
{
}

void
ConcurrencyLimit::SetSlots(int aSlots)
{
  const int slots = std::max(1, aSlots);
  if (slots != mSlots) {
    // Keeps the ratio of limit to slots.
    mLimit = mLimit * slots / mSlots;
    mSlots = slots;
    mLimit = std::clamp<double>(mLimit, Floor(), mSlots);
  }
}

int
ConcurrencyLimit::Floor() const
{
  return std::max(1, mSlots / kFloorDivisor);
}

void
ConcurrencyLimit::OnAnswered(Millis aLatency, int aInFlight, Millis aNow)
{
  mWindowSum += aLatency;
  ++mWindowCount;
  mWindowReachedLimit = mWindowReachedLimit || aInFlight >= Limit();
  if (mWindowCount >= kMinReplies && aNow - mWindowStart >= kMinWindow) {
    EndWindow(aNow);
  }
}

void
ConcurrencyLimit::OnTimedOut(Millis aNow)
{
  if (aNow - mWindowStart >= kMinWindow && mWindowCount < kMinReplies) {
    // A window does not end without enough replies; start a new one here so
    // that further timeouts can decrease the limit.
    mWindowStart = aNow;
    mWindowDecreased = false;
  }
  if (!mWindowDecreased) {
    mWindowDecreased = true;
    Decrease();
  }
}

void
ConcurrencyLimit::EndWindow(Millis aNow)
{
  const Millis mean = mWindowSum * (1.0 / mWindowCount);
  if (mBaseline == Millis{}) {
    mBaseline = mean;
    mSmoothedLatency = mean;
  }
  mBaseline = std::min(mBaseline * kBaselineGrowth, mean);
  mSmoothedLatency += (mean - mSmoothedLatency) * kSmoothingFactor;
  if (mean > mBaseline * kToleratedRatio) {
    if (!mWindowDecreased) {
      Decrease();
    }
  } else if (mWindowReachedLimit && !mWindowDecreased) {
    mLimit = std::min<double>(mSlots, mLimit + 1);
  }
  mWindowStart = aNow;
  mWindowSum = {};
  mWindowCount = 0;
  mWindowReachedLimit = false;
  mWindowDecreased = false;
}

void
ConcurrencyLimit::Decrease()
{
  mLimit = std::max<double>(Floor(), mLimit * kDecreaseFactor);
}

} // namespace papayaway
