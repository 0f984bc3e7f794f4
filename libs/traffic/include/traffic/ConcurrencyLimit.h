#pragma once

#include <base/Millis.h>

namespace papayaway {

/**
 * Adaptive limit on the calls in flight at one target, driven by its latency.
 *
 * The mean latency of each window of replies is compared with a baseline, the
 * lowest recent window mean. If the mean exceeds the baseline by more than the
 * tolerated ratio, the limit is multiplied by a factor below 1. Otherwise, if
 * the limit was reached in the window, it rises by one. It stays between
 * Floor() and the slots of the target.
 */
class ConcurrencyLimit
{
public:
  /** @param aSlots calls that the target runs at a time, at least 1. */
  explicit ConcurrencyLimit(int aSlots);

  /** Sets the number of slots and scales the limit in proportion. */
  void SetSlots(int aSlots);

  /** @return the number of calls that may be in flight. */
  [[nodiscard]] int Limit() const { return static_cast<int>(mLimit); }

  /** @return the lowest possible limit: a quarter of the slots, at least 1.
   *    A lower limit would leave a target idle whose latency rose for a
   *    reason other than overload. */
  [[nodiscard]] int Floor() const;

  [[nodiscard]] int Slots() const { return mSlots; }

  /** Records a call that the target answered.
   *  @param aInFlight the calls in flight, including this one. */
  void OnAnswered(Millis aLatency, int aInFlight, Millis aNow);

  /** Records a call that was not answered by its deadline. Timeouts decrease
   *  the limit at most once per window. */
  void OnTimedOut(Millis aNow);

  /** @return the exponential moving average of the window means, or 0 before
   *    the end of the first window. */
  [[nodiscard]] Millis SmoothedLatency() const { return mSmoothedLatency; }

private:
  void EndWindow(Millis aNow);
  void Decrease();

  int mSlots;
  double mLimit;
  /** The lowest recent window mean. It grows a little with each window, so
   *  that an old minimum does not hold for ever. */
  Millis mBaseline;
  Millis mSmoothedLatency;
  Millis mWindowStart;
  Millis mWindowSum;
  int mWindowCount = 0;
  bool mWindowReachedLimit = false;
  bool mWindowDecreased = false;
};

} // namespace papayaway
