#pragma once

#include <optional>

#include <base/Millis.h>
#include <gateway/TargetChoice.h>

namespace papayaway::gateway {

/** Which changes of the load of a target are reported. The utilization is the
 *  number of running and waiting requests divided by the number of slots. */
struct LoadReportFilterOptions
{
  /** Changes of the utilization are reported only if it is at least this much
   *  before or after the change. Below it a target starts each request at once,
   *  so a change would not affect the choice of a target. */
  double mBusyUtilization = 0.5;
  /** The smallest change of the utilization that is reported. */
  double mUtilizationStep = 0.1;
  /** The smallest change of the success rate that is reported. */
  double mSuccessRateStep = 0.1;
  /** A change of the mean run time, with the present slowdown, is reported if
   * it rises or falls by at least this factor. */
  double mRunTimeFactor = 1.25;
  /** The smallest change of the admission rate that is reported, as a fraction
   *  of the rate. The start and the end of a limit are always reported. */
  double mAdmissionRateStep = 0.25;
  /** The longest time between two reports; the load is reported again after it,
   *  even if unchanged. */
  Millis mMaxInterval{ 1000 };

  bool operator==(const LoadReportFilterOptions&) const = default;
};

/**
 * Decides when the load of a target has to be reported again.
 *
 * Each node reports to each other node, so the number of messages grows with
 * the square of the number of nodes. Reports of small changes are suppressed,
 * because they would not affect the choice of a target.
 */
class LoadReportFilter
{
public:
  LoadReportFilter() = default;
  explicit LoadReportFilter(LoadReportFilterOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /** @return whether the load differs enough from the last report, or the last
   *    report is too long ago, or there is none yet. */
  [[nodiscard]] bool ShouldReport(const TargetLoad& aLoad, Millis aNow) const;

  /** Records that the load was reported. */
  void OnReported(const TargetLoad& aLoad, Millis aNow);

private:
  LoadReportFilterOptions mOptions;
  std::optional<TargetLoad> mLastReport;
  Millis mReportedAt;
};

} // namespace papayaway::gateway
