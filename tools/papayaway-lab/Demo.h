#pragma once

#include <string>

#include "Checks.h"

namespace papayaway {

/** Demonstrates promotion, calls, version moves and fault tolerance in a
 *  cluster of processes that serves the sample document of customer Rafiki.
 *  @param aPrograms the folder that contains the Papayaway programs.
 *  @param aSamples the folder that contains the sample documents. */
void RunDemo(const std::string& aPrograms,
             const std::string& aSamples,
             Checks& aChecks);

} // namespace papayaway
