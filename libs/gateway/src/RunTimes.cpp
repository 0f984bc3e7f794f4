#include <gateway/RunTimes.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace papayaway::gateway {

namespace {

/** @return the exponential moving average after a new sample. */
Millis
MovingAverage(Millis aAverage, Millis aSample)
{
  return aAverage * (1 - RunTimes::kSampleWeight) +
         aSample * RunTimes::kSampleWeight;
}

} // namespace

void
RunTimes::OnRun(std::string_view aRoute, Millis aTime)
{
  mOverallMean = MovingAverage(mOverallMean, aTime);
  const auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end()) {
    mRoutes.emplace(std::string(aRoute),
                    Estimate{ .mMean = aTime, .mDeviation = aTime * 0.5 });
    return;
  }
  Estimate& estimate = found->second;
  estimate.mDeviation = MovingAverage(
    estimate.mDeviation, Millis{ std::abs((aTime - estimate.mMean).mCount) });
  estimate.mMean = MovingAverage(estimate.mMean, aTime);
}

double
RunTimes::Slowdown(std::span<const RunInProgress> aRuns) const
{
  if (aRuns.size() < 2) {
    return 1;
  }
  std::vector<double> ratios;
  ratios.reserve(aRuns.size());
  for (const RunInProgress& run : aRuns) {
    ratios.push_back(run.mAge / Mean(run.mRoute));
  }
  // More than half of the ratios are at least the one at this position.
  const auto majority =
    ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2 - 1);
  std::nth_element(ratios.begin(), majority, ratios.end());
  return *majority > kOverdueFactor ? *majority : 1;
}

Millis
RunTimes::Mean(std::string_view aRoute) const
{
  const auto found = mRoutes.find(aRoute);
  return found == mRoutes.end() ? mOverallMean : found->second.mMean;
}

Millis
RunTimes::Percentile75(std::string_view aRoute) const
{
  const auto found = mRoutes.find(aRoute);
  return found == mRoutes.end()
           ? mOverallMean * (1 + 0.5 * kPercentile75Deviations)
           : found->second.mMean +
               found->second.mDeviation * kPercentile75Deviations;
}

} // namespace papayaway::gateway
