#pragma once

#include "BenchReport.h"

namespace papayaway {

/** Runs the simulation of version moves, which has a fixed seed, for every
 *  kind of fault and reports its results. */
void BenchMoves(BenchReport& aReport);

} // namespace papayaway
