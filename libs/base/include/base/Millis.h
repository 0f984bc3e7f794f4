#pragma once

#include <compare>
#include <cstdint>

namespace papayaway {

/**
 * A point in time or a duration in milliseconds.
 *
 * Points in time come from SteadyNow(), which counts from an arbitrary start
 * and never goes back, or WallNow(), which counts from the Unix epoch. The
 * value is precise to at least a microsecond.
 */
struct Millis
{
  double mCount = 0;

  // clang-tidy 14 reports the 0 that the compiler puts into "(a <=> b) < 0".
  // NOLINTNEXTLINE(modernize-use-nullptr)
  constexpr auto operator<=>(const Millis&) const = default;

  constexpr Millis operator+(Millis aOther) const
  {
    return { mCount + aOther.mCount };
  }
  constexpr Millis operator-(Millis aOther) const
  {
    return { mCount - aOther.mCount };
  }
  constexpr Millis operator*(double aFactor) const
  {
    return { mCount * aFactor };
  }
  constexpr double operator/(Millis aOther) const
  {
    return mCount / aOther.mCount;
  }
  constexpr Millis& operator+=(Millis aOther)
  {
    mCount += aOther.mCount;
    return *this;
  }

  /** @return the whole milliseconds, rounded towards zero. */
  [[nodiscard]] constexpr std::int64_t WholeMillis() const
  {
    return static_cast<std::int64_t>(mCount);
  }
};

/** @return a duration of aCount seconds. */
constexpr Millis
Seconds(double aCount)
{
  return { aCount * 1000 };
}

/** @return a time that is later than any time the clocks return. */
constexpr Millis
Never()
{
  return { 1e15 };
}

/** @return the time of the monotonic clock. */
Millis SteadyNow();

/** @return the time of the monotonic clock that does not stop while the process
 *    or the host is suspended. Not comparable with SteadyNow(). */
Millis BootNow();

/** @return the time of the wall clock since the Unix epoch. */
Millis WallNow();

} // namespace papayaway
