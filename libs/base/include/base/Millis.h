#pragma once

#include <compare>
#include <cstdint>

namespace papayaway {

/**
 * A point in time or a duration in milliseconds.
 *
 * Points come from SteadyNow() (since an arbitrary start, never going back)
 * or WallNow() (since the Unix epoch). Fractions hold down to a microsecond.
 */
struct Millis
{
  double mCount = 0;

  // clang-tidy 14 reports the 0 in the comparisons that the compiler derives
  // from this operator.
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

  /** @return the whole milliseconds, rounded down. */
  [[nodiscard]] constexpr std::int64_t Whole() const
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

/** @return a time later than any other. */
constexpr Millis
Never()
{
  return { 1e15 };
}

/** @return the time of the monotonic clock. */
Millis SteadyNow();

/** @return the time of the wall clock since the Unix epoch. */
Millis WallNow();

} // namespace papayaway
