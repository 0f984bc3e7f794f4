#include <gateway/LoadNews.h>

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
LoadNews::IsNews(const TargetLoad& aLoad, Millis aNow) const
{
  if (!mLastReport || aNow - mReportedAt >= mOptions.mLongest ||
      aLoad.mSlots != mLastReport->mSlots) {
    return true;
  }
  const double utilization = Utilization(aLoad);
  const double lastUtilization = Utilization(*mLastReport);
  if (std::max(utilization, lastUtilization) >= mOptions.mBusyUtilization &&
      std::abs(utilization - lastUtilization) >= mOptions.mUtilizationStep) {
    return true;
  }
  if (std::abs(aLoad.mSuccess - mLastReport->mSuccess) >=
      mOptions.mSuccessRateStep) {
    return true;
  }
  return aLoad.mMeanRun >= mLastReport->mMeanRun * mOptions.mRunTimeFactor ||
         mLastReport->mMeanRun >= aLoad.mMeanRun * mOptions.mRunTimeFactor;
}

void
LoadNews::OnTold(const TargetLoad& aLoad, Millis aNow)
{
  mLastReport = aLoad;
  mReportedAt = aNow;
}

} // namespace papayaway::gateway
