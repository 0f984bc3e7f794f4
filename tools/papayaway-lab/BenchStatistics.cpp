#include "BenchStatistics.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <limits>

namespace papayaway {

double
Quantile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return std::numeric_limits<double>::quiet_NaN();
  }
  std::sort(aValues.begin(), aValues.end());
  const double rank =
    std::ceil(aFraction * static_cast<double>(aValues.size()));
  const auto index = static_cast<std::size_t>(std::max(1., rank)) - 1;
  return aValues[std::min(index, aValues.size() - 1)];
}

Line
FitLine(const std::vector<std::pair<double, double>>& aPoints)
{
  const auto count = static_cast<double>(aPoints.size());
  double sumX = 0;
  double sumY = 0;
  for (const auto& [x, y] : aPoints) {
    sumX += x;
    sumY += y;
  }
  double covariance = 0;
  double variance = 0;
  for (const auto& [x, y] : aPoints) {
    covariance += (x - sumX / count) * (y - sumY / count);
    variance += (x - sumX / count) * (x - sumX / count);
  }
  // 0 / 0, so NaN, if all points have the same x.
  const double slope = covariance / variance;
  return { sumY / count - slope * sumX / count, slope };
}

} // namespace papayaway
