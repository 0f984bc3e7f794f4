#include "WorkPlan.h"

#include <algorithm>
#include <cmath>

namespace papayaway {

namespace {

constexpr double kSlowFactor = 20;
constexpr double kColdFactor = 5;
constexpr Millis kLateFailRise = Seconds(10);

// Returns the share of the requests that the fault concerns at this moment.
double
AffectedShare(const TargetOptions& aOptions,
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
      return aOptions.mFaultRate * std::min(1., since / kLateFailRise);
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
  // Work times are exponentially distributed around their mean.
  WorkPlan plan{ aOptions.mWork * -std::log(1 - UniformFraction(aRandom)) };
  if (aUptime < aOptions.mColdStart) {
    // The extra time falls linearly to nothing at the end of the cold start.
    const double left = 1 - aUptime / aOptions.mColdStart;
    plan.mWork = plan.mWork * (1 + (kColdFactor - 1) * left);
  }
  const double share = AffectedShare(aOptions, aPath, aUptime, aRunning);
  if (UniformFraction(aRandom) < share) {
    if (aOptions.mFault == TargetFault::Slow) {
      plan.mWork = plan.mWork * kSlowFactor;
    } else {
      plan.mFails = true;
    }
  }
  return plan;
}

} // namespace papayaway
