#pragma once

#include "BenchReport.h"

namespace papayaway {

/** Runs the seeded model of version moves for every kind of fault. */
void BenchMoves(BenchReport& aReport);

} // namespace papayaway
