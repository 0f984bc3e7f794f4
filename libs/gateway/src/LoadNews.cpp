#include <gateway/LoadNews.h>

#include <algorithm>
#include <cmath>

namespace papayaway::gateway {

namespace {

/** @return the requests at the target as a part of its slots. */
double
UsedPart(const TargetLoad& aLoad)
{
  return static_cast<double>(aLoad.mRunning + aLoad.mWaiting) /
         std::max(1, aLoad.mSlots);
}

} // namespace

bool
LoadNews::IsNews(const TargetLoad& aLoad, Millis aNow) const
{
  if (!mTold || aNow - mToldAt >= mOptions.mLongest ||
      aLoad.mSlots != mTold->mSlots) {
    return true;
  }
  const double used = UsedPart(aLoad);
  const double told = UsedPart(*mTold);
  if (std::max(used, told) >= mOptions.mBusyPart &&
      std::abs(used - told) >= mOptions.mStep) {
    return true;
  }
  if (std::abs(aLoad.mSuccess - mTold->mSuccess) >= mOptions.mSuccessStep) {
    return true;
  }
  return aLoad.mMeanRun >= mTold->mMeanRun * mOptions.mRunFactor ||
         mTold->mMeanRun >= aLoad.mMeanRun * mOptions.mRunFactor;
}

void
LoadNews::OnTold(const TargetLoad& aLoad, Millis aNow)
{
  mTold = aLoad;
  mToldAt = aNow;
}

} // namespace papayaway::gateway
