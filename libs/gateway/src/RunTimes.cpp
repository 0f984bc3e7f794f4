#include <gateway/RunTimes.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace papayaway::gateway {

namespace {

Millis
Blend(Millis aOld, Millis aNew)
{
  return aOld * (1 - RunTimes::kNewWeight) + aNew * RunTimes::kNewWeight;
}

} // namespace

void
RunTimes::OnRun(std::string_view aRoute, Millis aTime)
{
  mOverall = Blend(mOverall, aTime);
  const auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end()) {
    mRoutes.emplace(std::string(aRoute),
                    Estimate{ .mMean = aTime, .mDeviation = aTime * 0.5 });
    return;
  }
  Estimate& estimate = found->second;
  estimate.mDeviation = Blend(
    estimate.mDeviation, Millis{ std::abs((aTime - estimate.mMean).mCount) });
  estimate.mMean = Blend(estimate.mMean, aTime);
}

double
RunTimes::Slowdown(std::span<const OpenRun> aRuns) const
{
  if (aRuns.size() < 2) {
    return 1;
  }
  std::vector<double> ratios;
  ratios.reserve(aRuns.size());
  for (const OpenRun& run : aRuns) {
    ratios.push_back(run.mAge / Mean(run.mRoute));
  }
  const auto most =
    ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2 - 1);
  std::nth_element(ratios.begin(), most, ratios.end());
  return *most > kOverdue ? *most : 1;
}

Millis
RunTimes::Mean(std::string_view aRoute) const
{
  const auto found = mRoutes.find(aRoute);
  return found == mRoutes.end() ? mOverall : found->second.mMean;
}

Millis
RunTimes::Most(std::string_view aRoute) const
{
  const auto found = mRoutes.find(aRoute);
  return found == mRoutes.end()
           ? mOverall * (1 + 0.5 * kMostDeviations)
           : found->second.mMean + found->second.mDeviation * kMostDeviations;
}

} // namespace papayaway::gateway
