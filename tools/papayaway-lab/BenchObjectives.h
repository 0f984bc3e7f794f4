#pragma once

#include <base/Millis.h>

/** The figures of section 1.3 of docs/design.md that a bench can check. */
namespace papayaway::stated {

constexpr int kNodes = 900;
constexpr double kChangesPerDay = 4700;
constexpr double kChangesPerSecond = kChangesPerDay / 86400;
constexpr Millis kInForce = Seconds(4);
constexpr double kCorePercent = 4.2;
/** MB and KB count by 1000, the stricter reading. */
constexpr double kResidentBytes = 32e6;
constexpr double kNetworkBytesPerSecond = 4e3;
constexpr Millis kAddedLatency{ 0.55 };
constexpr double kPlatformReadsPerSecond = 2000;
/** The lowest figure of "several hundred". */
constexpr double kPlatformWritesPerSecond = 300;

} // namespace papayaway::stated
