#pragma once

#include <cstddef>
#include <string_view>

#include <base/Millis.h>
#include <base/Random.h>

#include "TargetOptions.h"

namespace papayaway {

/** How one request is to be run. */
struct WorkPlan
{
  Millis mWork;
  bool mFails = false;
};

/** Decides how a request runs.
 *  @param aUptime the time since the start of the target.
 *  @param aRunning the requests that run, with this one. */
WorkPlan PlanWork(const TargetOptions& aOptions,
                  std::string_view aPath,
                  Millis aUptime,
                  std::size_t aRunning,
                  Random& aRandom);

} // namespace papayaway
