#pragma once

#include <base/Millis.h>

namespace papayaway::gateway {

/** A reported slowdown counts half after this time. Slow periods of targets
 * last 0.6 s, so a report is on average made 0.3 s before the end of one. */
inline constexpr Millis kSlowdownHalfTime{ 250 };

/** @param aSlowdown how many times longer than usual work took.
 *  @param aAge the time since then.
 *  @return how many times longer than usual work is expected to take now. */
constexpr double
DiscountedSlowdown(double aSlowdown, Millis aAge)
{
  return aAge.mCount <= 0
           ? aSlowdown
           : 1 + (aSlowdown - 1) * (kSlowdownHalfTime.mCount /
                                    (kSlowdownHalfTime.mCount + aAge.mCount));
}

/**
 * The present speed of the local target, from its reports.
 *
 * A target that always reports the same value, true or false, is at its usual
 * speed: its mean run times already contain it. So the slowdown is relative to
 * the average of the reports of the last seconds.
 */
class PresentSpeed
{
public:
  /** Reports outside these limits are set to the limit. Targets differ in speed
   *  by factors of 0.5 to 1.6 and have slow periods of 2.5; a false report must
   *  not keep a target from all requests. */
  static constexpr double kMinReport = 0.25;
  static constexpr double kMaxReport = 4;
  /** The time after which a report counts half in the average, several times
   *  the length of a slow period. */
  static constexpr Millis kUsualHalfLife = Seconds(10);

  /** Handles the report of a response.
   *  @param aSlowdown 1 is usual. */
  void OnReport(double aSlowdown, Millis aNow);

  /** @return how many times longer than usual work takes now, at least 1. It
   *    approaches 1 when the target stops reporting. */
  [[nodiscard]] double Slowdown(Millis aNow) const;

  /** @return whether the target has reported its speed. */
  [[nodiscard]] bool IsReported() const { return mReported; }

private:
  bool mReported = false;
  double mUsual = 1;
  double mLast = 1;
  Millis mReportedAt;
};

} // namespace papayaway::gateway
