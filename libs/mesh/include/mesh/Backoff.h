#pragma once

#include <algorithm>

#include <base/Millis.h>
#include <base/Random.h>

namespace papayaway {

/** Exponential backoff with full jitter: each delay is random between zero and
 *  a bound that doubles with each attempt. */
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

  /** Restarts with the first bound, after a successful attempt. */
  void Reset() { mBound = kFirstBound; }

private:
  static constexpr Millis kFirstBound{ 100 };
  static constexpr Millis kMaxBound = Seconds(5);
  Millis mBound = kFirstBound;
};

} // namespace papayaway
