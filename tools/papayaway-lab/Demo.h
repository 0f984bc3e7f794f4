#pragma once

#include <string>

#include "Checks.h"

namespace papayaway {

/** Runs the main job on the Rafiki document with separate processes.
 *  @param aPrograms the folder of the programs.
 *  @param aSamples the folder of the sample documents. */
void RunDemo(const std::string& aPrograms,
             const std::string& aSamples,
             Checks& aChecks);

} // namespace papayaway
