#pragma once

#include <base/Millis.h>

/** Objectives from section 1.3 of docs/design.md that the benchmarks check. */
namespace papayaway::objectives {

constexpr int kNodes = 900;
constexpr double kChangesPerDay = 4700;
constexpr double kChangesPerSecond = kChangesPerDay / 86400;
constexpr Millis kMaxConvergenceTime = Seconds(4);
constexpr double kMaxCpuPercentOfCore = 4.2;
/** The design states MB and KB; they are taken as powers of 1000, which is
 *  stricter than powers of 1024. */
constexpr double kMaxResidentBytes = 32e6;
constexpr double kMaxNetworkBytesPerSecond = 4e3;
constexpr Millis kMaxAddedLatency{ 0.55 };
constexpr double kMaxPlatformReadsPerSecond = 2000;
/** The design says "several hundred"; 300 is the strictest reading. */
constexpr double kMaxPlatformWritesPerSecond = 300;

} // namespace papayaway::objectives
