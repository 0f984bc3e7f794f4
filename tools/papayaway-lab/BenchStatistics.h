#pragma once

#include <utility>
#include <vector>

namespace papayaway {

/** @return the smallest value that aFraction of the values do not exceed, or
 *    NaN if there are none. */
double Quantile(std::vector<double> aValues, double aFraction);

/** A straight line. */
struct Line
{
  double mIntercept = 0;
  double mSlope = 0;

  [[nodiscard]] double At(double aX) const { return mIntercept + mSlope * aX; }
};

/** @return the least-squares line through points (x, y) with at least two
 *    different x; NaN otherwise. */
Line FitLine(const std::vector<std::pair<double, double>>& aPoints);

} // namespace papayaway
