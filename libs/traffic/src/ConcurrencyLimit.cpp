#include <traffic/ConcurrencyLimit.h>

#include <algorithm>

namespace papayaway {

namespace {

constexpr Millis kWindow{ 200 };
// The mean of fewer replies says little about the latency.
constexpr int kMinReplies = 10;
// Routes of one target differ in latency, so the mean moves with their mix.
constexpr double kTolerance = 2;
constexpr double kDecrease = 0.8;
// The baseline doubles in 70 windows, 14 s at full rate; a target that became
// slower for good is held back no longer than that.
constexpr double kBaselineRise = 1.01;
constexpr double kTypicalWeight = 0.3;
constexpr int kFloorShare = 4;

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
    // Keeps the limit's share of the slots.
    mLimit = mLimit * slots / mSlots;
    mSlots = slots;
    mLimit = std::clamp<double>(mLimit, Floor(), mSlots);
  }
}

int
ConcurrencyLimit::Floor() const
{
  return std::max(1, mSlots / kFloorShare);
}

void
ConcurrencyLimit::OnAnswered(Millis aLatency, int aInFlight, Millis aNow)
{
  mWindowSum += aLatency;
  ++mWindowCount;
  mWindowReachedLimit = mWindowReachedLimit || aInFlight >= Limit();
  if (mWindowCount >= kMinReplies && aNow - mWindowStart >= kWindow) {
    EndWindow(aNow);
  }
}

void
ConcurrencyLimit::OnTimedOut(Millis aNow)
{
  if (aNow - mWindowStart >= kWindow && mWindowCount < kMinReplies) {
    // Without enough replies windows never end, but timeouts must count.
    mWindowStart = aNow;
    mWindowLowered = false;
  }
  if (!mWindowLowered) {
    mWindowLowered = true;
    Lower();
  }
}

void
ConcurrencyLimit::EndWindow(Millis aNow)
{
  const Millis mean = mWindowSum * (1.0 / mWindowCount);
  if (mBaseline == Millis{}) {
    mBaseline = mean;
    mTypical = mean;
  }
  mBaseline = std::min(mBaseline * kBaselineRise, mean);
  mTypical += (mean - mTypical) * kTypicalWeight;
  if (mean > mBaseline * kTolerance) {
    if (!mWindowLowered) {
      Lower();
    }
  } else if (mWindowReachedLimit && !mWindowLowered) {
    mLimit = std::min<double>(mSlots, mLimit + 1);
  }
  mWindowStart = aNow;
  mWindowSum = {};
  mWindowCount = 0;
  mWindowReachedLimit = false;
  mWindowLowered = false;
}

void
ConcurrencyLimit::Lower()
{
  mLimit = std::max<double>(Floor(), mLimit * kDecrease);
}

} // namespace papayaway
