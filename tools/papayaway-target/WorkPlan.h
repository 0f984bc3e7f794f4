#pragma once

#include <cstddef>
#include <string_view>

#include <base/Millis.h>
#include <base/Random.h>

#include "TargetOptions.h"

namespace papayaway {

/** The duration and the outcome of one simulated request. */
struct WorkPlan
{
  Millis mWorkTime;
  bool mShouldFail = false;
};

/** Chooses at random how long a request takes and whether it fails.
 *  @param aUptime the time since the start of the target.
 *  @param aRunning the number of running requests, including this one. */
WorkPlan PlanWork(const TargetOptions& aOptions,
                  std::string_view aPath,
                  Millis aUptime,
                  std::size_t aRunning,
                  Random& aRandom);

} // namespace papayaway
