#pragma once

#include <string>

#include "BenchReport.h"

namespace papayaway {

/** Measures the time that nodes add to a call and their processor time.
 *  @param aPrograms the folder of the programs. */
void BenchLatency(BenchReport& aReport, const std::string& aPrograms);

} // namespace papayaway
