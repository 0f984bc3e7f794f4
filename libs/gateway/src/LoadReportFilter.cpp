#include <gateway/LoadReportFilter.h>

#include <algorithm>
#include <cmath>

namespace papayaway::gateway {

namespace {

/** @return the running and waiting requests divided by the slots. */
double
Utilization(const TargetLoad& aLoad)
{
  return static_cast<double>(aLoad.mRunning + aLoad.mWaiting) /
         std::max(1, aLoad.mSlots);
}

} // namespace

bool
LoadReportFilter::ShouldReport(const TargetLoad& aLoad, Millis aNow) const
{
  if (!mLastReport || aNow - mReportedAt >= mOptions.mMaxInterval ||
      aLoad.mSlots != mLastReport->mSlots) {
    return true;
  }
  const double utilization = Utilization(aLoad);
  const double lastUtilization = Utilization(*mLastReport);
  if (std::max(utilization, lastUtilization) >= mOptions.mBusyUtilization &&
      std::abs(utilization - lastUtilization) >= mOptions.mUtilizationStep) {
    return true;
  }
  if (std::abs(aLoad.mSuccessRate - mLastReport->mSuccessRate) >=
      mOptions.mSuccessRateStep) {
    return true;
  }
  const auto lastRate = mLastReport->mAdmissionRate;
  if (aLoad.mAdmissionRate.has_value() != lastRate.has_value() ||
      (lastRate && std::abs(*aLoad.mAdmissionRate - *lastRate) >
                     *lastRate * mOptions.mAdmissionRateStep)) {
    return true;
  }
  const Millis runTime = aLoad.mMeanRunTime * aLoad.mSlowdown;
  const Millis lastRunTime = mLastReport->mMeanRunTime * mLastReport->mSlowdown;
  return runTime >= lastRunTime * mOptions.mRunTimeFactor ||
         lastRunTime >= runTime * mOptions.mRunTimeFactor;
}

void
LoadReportFilter::OnReported(const TargetLoad& aLoad, Millis aNow)
{
  mLastReport = aLoad;
  mReportedAt = aNow;
}

} // namespace papayaway::gateway
