#pragma once

#include <algorithm>

#include <base/Millis.h>
#include <base/Random.h>

namespace papayaway {

/** Full-jitter back-off: random delays below a bound that doubles. */
class Backoff
{
public:
  /** @return the delay before the next attempt. */
  Millis Next(Random& aRandom)
  {
    const Millis delay = mBound * UniformFraction(aRandom);
    mBound = std::min(mBound * 2, kMaxBound);
    return delay;
  }

  void Reset() { mBound = kFirstBound; }

private:
  static constexpr Millis kFirstBound{ 100 };
  static constexpr Millis kMaxBound = Seconds(5);
  Millis mBound = kFirstBound;
};

} // namespace papayaway
