#include <gateway/PresentSpeed.h>

#include <algorithm>
#include <cmath>

namespace papayaway::gateway {

void
PresentSpeed::OnReport(double aSlowdown, Millis aNow)
{
  if (mReported) {
    // The last report was valid from its time until now, but for no longer than
    // reports stay significant.
    const Millis valid = std::clamp(aNow - mReportedAt, Millis{}, Seconds(1));
    const double kept = std::exp2(valid * -1 / kUsualHalfLife);
    mUsual = mUsual * kept + mLast * (1 - kept);
  }
  mReported = true;
  mLast = std::clamp(aSlowdown, kMinReport, kMaxReport);
  mReportedAt = aNow;
}

double
PresentSpeed::Slowdown(Millis aNow) const
{
  return std::max(1.0, DiscountedSlowdown(mLast / mUsual, aNow - mReportedAt));
}

} // namespace papayaway::gateway
