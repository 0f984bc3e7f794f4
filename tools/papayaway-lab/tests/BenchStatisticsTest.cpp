#include "BenchStatistics.h"

#include <cmath>

#include <gtest/gtest.h>

#include "BenchReport.h"

namespace papayaway {
namespace {

// Guards against ranks that are off by one.
TEST(Quantile, IsSmallestValueThatCoversTheFraction)
{
  EXPECT_EQ(Quantile({ 4, 1, 3, 2 }, 0.5), 2);
  EXPECT_EQ(Quantile({ 4, 1, 3, 2 }, 0.99), 4);
  EXPECT_EQ(Quantile({ 4, 1, 3, 2 }, 0), 1);
  EXPECT_TRUE(std::isnan(Quantile({}, 0.5)));
}

// Guards against a wrong slope, which would falsify the figures for 900 nodes.
TEST(FitLine, FindsLineThroughPoints)
{
  const Line line = FitLine({ { 25, 60 }, { 50, 110 }, { 100, 210 } });
  EXPECT_NEAR(line.mSlope, 2, 1e-9);
  EXPECT_NEAR(line.At(900), 1810, 1e-6);
}

// Guards against a figure from one size that passes as an extrapolation.
TEST(FitLine, OfOnePointIsNotANumber)
{
  EXPECT_TRUE(std::isnan(FitLine({ { 25, 60 } }).At(900)));
}

// Guards against a failed measurement that counts as within its bound.
TEST(Measure, IsOverIfItIsNotANumber)
{
  EXPECT_TRUE((Measure{ "m", std::nan(""), "ms", 4. }.IsOver()));
  EXPECT_TRUE((Measure{ "m", 4.1, "ms", 4. }.IsOver()));
  EXPECT_FALSE((Measure{ "m", 4, "ms", 4. }.IsOver()));
  EXPECT_FALSE((Measure{ "m", 4, "ms", {} }.IsOver()));
}

} // namespace
} // namespace papayaway
