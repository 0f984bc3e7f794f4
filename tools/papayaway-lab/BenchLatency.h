#pragma once

#include <string>

#include "BenchReport.h"

namespace papayaway {

/** Measures the latency that nodes add to a call and their CPU time per call.
 *  @param aPrograms the folder that contains the Papayaway programs. */
void BenchLatency(BenchReport& aReport, const std::string& aPrograms);

} // namespace papayaway
