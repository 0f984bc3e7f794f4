#pragma once

#include <base/Millis.h>

namespace papayaway {

/**
 * Limits the calls in flight at one target by the gradient of its latency.
 *
 * Per window of replies the mean latency is compared with the lowest recent
 * one. If it rose beyond a tolerance, the limit falls by a factor; if not and
 * the limit was reached, it rises by one. It stays between Floor() and the
 * slots of the target.
 */
class ConcurrencyLimit
{
public:
  /** @param aSlots calls that the target runs at a time, at least 1. */
  explicit ConcurrencyLimit(int aSlots);

  /** Takes over the slots that the target announces. */
  void SetSlots(int aSlots);

  /** @return the number of calls that may be in flight. */
  [[nodiscard]] int Limit() const { return static_cast<int>(mLimit); }

  /** @return the least limit: a quarter of the slots, at least 1. A lower one
   *    would starve a target whose latency rose for another reason. */
  [[nodiscard]] int Floor() const;

  [[nodiscard]] int Slots() const { return mSlots; }

  /** Tells of a call that the target answered.
   *  @param aInFlight the calls in flight, this one included. */
  void OnAnswered(Millis aLatency, int aInFlight, Millis aNow);

  /** Tells of a call without an answer by its deadline. It lowers the limit
   *  at most once per window. */
  void OnTimedOut(Millis aNow);

  /** @return the mean latency of recent windows; 0 before the first. */
  [[nodiscard]] Millis TypicalLatency() const { return mTypical; }

private:
  void EndWindow(Millis aNow);
  void Lower();

  int mSlots;
  double mLimit;
  /** The lowest window mean, rising slowly so that it is forgotten. */
  Millis mBaseline;
  Millis mTypical;
  Millis mWindowStart;
  Millis mWindowSum;
  int mWindowCount = 0;
  bool mWindowReachedLimit = false;
  bool mWindowLowered = false;
};

} // namespace papayaway
