#include <gateway/CallAdmission.h>

#include <algorithm>

namespace papayaway::gateway {

namespace {

/** So many calls suffice if the window has its greatest length. */
constexpr int kMinCallsOfLongWindow = 3;

} // namespace

double
CallAdmission::Burst(double aRate) const
{
  return std::max(1.0, aRate * mOptions.mBurstSeconds);
}

bool
CallAdmission::TryAdmit(const std::string& aRoute, Millis aNow)
{
  const auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end()) {
    return true;
  }
  RouteState& state = found->second;
  Adapt(state, aNow);
  ++state.mArrivals;
  if (!state.mRate) {
    ++state.mAdmitted;
    return true;
  }
  const double seconds = (aNow - state.mRefilledAt) / Seconds(1);
  state.mTokens = std::min(
    Burst(*state.mRate), state.mTokens + *state.mRate * std::max(0.0, seconds));
  state.mRefilledAt = aNow;
  if (state.mTokens < 1) {
    return false;
  }
  state.mTokens -= 1;
  ++state.mAdmitted;
  return true;
}

void
CallAdmission::OnNotStarted(const std::string& aRoute)
{
  const auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end()) {
    return;
  }
  RouteState& state = found->second;
  state.mAdmitted = std::max(0, state.mAdmitted - 1);
  if (state.mRate) {
    state.mTokens = std::min(Burst(*state.mRate), state.mTokens + 1);
  }
}

void
CallAdmission::OnCallEnded(const std::string& aParentRoute,
                           NestedCallEnd aEnd,
                           Millis aBegan,
                           Millis aNow)
{
  auto found = mRoutes.find(aParentRoute);
  if (found == mRoutes.end()) {
    if (mRoutes.size() >= mOptions.mMaxRoutes) {
      return;
    }
    found =
      mRoutes.emplace(aParentRoute, RouteState{ .mWindowStart = aNow }).first;
  }
  RouteState& state = found->second;
  if (aBegan <= state.mLoweredAt) {
    return;
  }
  ++state.mCalls;
  state.mLostCalls += aEnd == NestedCallEnd::RefusedOrLate ? 1 : 0;
  Adapt(state, aNow);
}

void
CallAdmission::Adapt(RouteState& aState, Millis aNow) const
{
  const Millis length = aNow - aState.mWindowStart;
  const bool enough =
    length >= mOptions.mWindow &&
    aState.mCalls >= (length >= mOptions.mMaxWindow ? kMinCallsOfLongWindow
                                                    : mOptions.mMinCalls);
  if (!enough && length < mOptions.mMaxWindow) {
    return;
  }
  const double seconds = length / Seconds(1);
  if (enough) {
    const double lost = static_cast<double>(aState.mLostCalls) / aState.mCalls;
    aState.mLostFraction = aState.mLostFraction * (1 - mOptions.mWindowWeight) +
                           lost * mOptions.mWindowWeight;
  } else {
    aState.mLostFraction *= 1 - mOptions.mWindowWeight;
  }
  aState.mCleanWindows = aState.mLostCalls == 0 ? aState.mCleanWindows + 1 : 0;
  if (enough && aState.mLostFraction > mOptions.mMaxLostFraction) {
    const double started = aState.mAdmitted / seconds;
    if (!aState.mRate) {
      aState.mRefilledAt = aNow;
    }
    aState.mRate = std::max(mOptions.mMinRate,
                            std::min(aState.mRate.value_or(started), started) *
                              (1 - aState.mLostFraction));
    aState.mTokens = std::min(aState.mTokens, Burst(*aState.mRate));
    aState.mLoweredAt = aNow;
  } else if (aState.mRate) {
    aState.mRate =
      *aState.mRate * (aState.mCleanWindows > mOptions.mFastIncreaseWindows
                         ? mOptions.mFastIncreaseFactor
                         : mOptions.mIncreaseFactor);
    if (*aState.mRate * seconds >
        (aState.mArrivals + 1) * mOptions.mRemoveFactor) {
      aState.mRate.reset();
    }
  }
  aState.mWindowStart = aNow;
  aState.mArrivals = 0;
  aState.mAdmitted = 0;
  aState.mCalls = 0;
  aState.mLostCalls = 0;
}

std::optional<double>
CallAdmission::Rate(const std::string& aRoute) const
{
  const auto found = mRoutes.find(aRoute);
  return found == mRoutes.end() ? std::nullopt : found->second.mRate;
}

std::size_t
CallAdmission::LimitedRoutes() const
{
  return static_cast<std::size_t>(
    std::count_if(mRoutes.begin(), mRoutes.end(), [](const auto& aEntry) {
      return aEntry.second.mRate.has_value();
    }));
}

Millis
CallAdmission::UntilNext(const std::string& aRoute) const
{
  const auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end() || !found->second.mRate ||
      found->second.mTokens >= 1) {
    return {};
  }
  const RouteState& state = found->second;
  return Seconds((1 - state.mTokens) / *state.mRate);
}

} // namespace papayaway::gateway
