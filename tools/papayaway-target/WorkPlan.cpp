#include "WorkPlan.h"

#include <algorithm>
#include <cmath>

namespace papayaway {

namespace {

constexpr double kSlowFaultFactor = 20;
constexpr double kColdStartFactor = 5;
constexpr Millis kLateFailRampTime = Seconds(10);

// Returns the fraction of the requests that the fault affects at aUptime.
double
AffectedFraction(const TargetOptions& aOptions,
                 std::string_view aPath,
                 Millis aUptime,
                 std::size_t aRunning)
{
  const Millis since = aUptime - aOptions.mFaultAfter;
  if (since.mCount < 0) {
    return 0;
  }
  switch (aOptions.mFault) {
    case TargetFault::None:
      return 0;
    case TargetFault::Fail:
    case TargetFault::Slow:
      return aOptions.mFaultRate;
    case TargetFault::LateFail:
      return aOptions.mFaultRate * std::min(1., since / kLateFailRampTime);
    case TargetFault::LoadFail:
      return aRunning * 2 > static_cast<std::size_t>(aOptions.mSlots)
               ? aOptions.mFaultRate
               : 0;
    case TargetFault::RouteFail:
      return aPath.starts_with(aOptions.mFaultRoute) ? aOptions.mFaultRate : 0;
  }
  return 0;
}

} // namespace

WorkPlan
PlanWork(const TargetOptions& aOptions,
         std::string_view aPath,
         Millis aUptime,
         std::size_t aRunning,
         Random& aRandom)
{
  // Work times are exponentially distributed.
  WorkPlan plan{ aOptions.mMeanWorkTime *
                 -std::log(1 - UniformFraction(aRandom)) };
  if (aUptime < aOptions.mColdStart) {
    // The additional time falls linearly to 0 at the end of the cold start.
    const double left = 1 - aUptime / aOptions.mColdStart;
    plan.mWorkTime = plan.mWorkTime * (1 + (kColdStartFactor - 1) * left);
  }
  const double fraction = AffectedFraction(aOptions, aPath, aUptime, aRunning);
  if (UniformFraction(aRandom) < fraction) {
    if (aOptions.mFault == TargetFault::Slow) {
      plan.mWorkTime = plan.mWorkTime * kSlowFaultFactor;
    } else {
      plan.mShouldFail = true;
    }
  }
  return plan;
}

} // namespace papayaway
