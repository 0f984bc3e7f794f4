#include "BenchStatistics.h"

#include <cmath>

#include <gtest/gtest.h>

#include "BenchReport.h"

namespace papayaway {
namespace {

// Guards against an off-by-one error in the rank.
TEST(Quantile, IsSmallestValueThatCoversTheFraction)
{
  EXPECT_EQ(Quantile({ 4, 1, 3, 2 }, 0.5), 2);
  EXPECT_EQ(Quantile({ 4, 1, 3, 2 }, 0.99), 4);
  EXPECT_EQ(Quantile({ 4, 1, 3, 2 }, 0), 1);
  EXPECT_TRUE(std::isnan(Quantile({}, 0.5)));
}

// Guards against a wrong slope, which would make the extrapolation to 900
// nodes wrong.
TEST(FitLine, FindsLineThroughPoints)
{
  const Line line = FitLine({ { 25, 60 }, { 50, 110 }, { 100, 210 } });
  EXPECT_NEAR(line.mSlope, 2, 1e-9);
  EXPECT_NEAR(line.At(900), 1810, 1e-6);
}

// Guards against reporting an extrapolation from a single cluster size.
TEST(FitLine, OfOnePointIsNotANumber)
{
  EXPECT_TRUE(std::isnan(FitLine({ { 25, 60 } }).At(900)));
}

// Guards against counting a failed measurement (NaN) as within its bound.
TEST(Measure, IsOverBoundIfNotANumber)
{
  EXPECT_TRUE((Measure{ "m", std::nan(""), "ms", 4. }.IsOverBound()));
  EXPECT_TRUE((Measure{ "m", 4.1, "ms", 4. }.IsOverBound()));
  EXPECT_FALSE((Measure{ "m", 4, "ms", 4. }.IsOverBound()));
  EXPECT_FALSE((Measure{ "m", 4, "ms", {} }.IsOverBound()));
}

} // namespace
} // namespace papayaway
