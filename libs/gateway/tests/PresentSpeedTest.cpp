#include <gateway/PresentSpeed.h>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

/** Reports this value 20 times a second. */
void
Report(PresentSpeed& aSpeed, double aValue, Millis aFrom, Millis aTo)
{
  for (Millis now = aFrom; now < aTo; now += Millis{ 50 }) {
    aSpeed.OnReport(aValue, now);
  }
}

// Load: a target runs 2.5 times slower for 0.6 s, then as usual.
// Guards against requests that are judged by the speed of other periods.
TEST(PresentSpeed, SlowPeriodIsKnownAtOnceAndEndsAtOnce)
{
  PresentSpeed speed;
  Report(speed, 1, Seconds(0), Seconds(20));
  EXPECT_EQ(speed.Slowdown(Seconds(20)), 1);
  Report(speed, 2.5, Seconds(20), Seconds(20.6));
  EXPECT_NEAR(speed.Slowdown(Seconds(20.55)), 2.5, 0.2);
  speed.OnReport(1, Seconds(20.6));
  EXPECT_EQ(speed.Slowdown(Seconds(20.6)), 1);
}

// Failed input: a target that stops reporting in a slow period.
// Guards against a target that gets no requests because of an old report.
TEST(PresentSpeed, OldReportLosesItsInfluence)
{
  PresentSpeed speed;
  EXPECT_FALSE(speed.IsReported());
  EXPECT_EQ(speed.Slowdown(Seconds(5)), 1);
  speed.OnReport(3, Seconds(5));
  EXPECT_EQ(speed.Slowdown(Seconds(5)), 3);
  EXPECT_EQ(speed.Slowdown(Seconds(5.25)), 2);
  EXPECT_LT(speed.Slowdown(Seconds(10)), 1.1);
}

// Failed input: false reports, constant and out of range.
// Guards against a target that is avoided for good or preferred because of what
// it reports.
TEST(PresentSpeed, FalseReportsAreBounded)
{
  PresentSpeed slow;
  Report(slow, 3, Seconds(0), Seconds(60));
  EXPECT_LT(slow.Slowdown(Seconds(60)), 1.1);
  PresentSpeed broken;
  broken.OnReport(1e9, Seconds(1));
  EXPECT_EQ(broken.Slowdown(Seconds(1)), PresentSpeed::kMaxReport);
  broken.OnReport(0, Seconds(1));
  EXPECT_EQ(broken.Slowdown(Seconds(1)), 1);
}

} // namespace
} // namespace papayaway::gateway
