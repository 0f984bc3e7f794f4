#include <gateway/LoadReportFilter.h>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

constexpr TargetLoad kLowLoad{ .mSlots = 10,
                               .mRunning = 2,
                               .mMeanRunTime = Millis{ 100 } };

LoadReportFilter
AfterReportOf(const TargetLoad& aLoad)
{
  LoadReportFilter filter;
  filter.OnReported(aLoad, Millis{ 0 });
  return filter;
}

// Guards against useless reports at low load: their number grows with the
// square of the number of nodes, and they do not affect the choice of a target.
TEST(LoadReportFilter, LowLoadIsReportedOnceASecond)
{
  const LoadReportFilter filter = AfterReportOf(kLowLoad);
  TargetLoad load = kLowLoad;
  load.mRunning = 4;
  load.mMeanRunTime = Millis{ 110 };
  load.mSuccessRate = 0.95;
  EXPECT_FALSE(filter.ShouldReport(load, Millis{ 999 }));
  EXPECT_TRUE(filter.ShouldReport(load, Millis{ 1000 }));
  EXPECT_TRUE(LoadReportFilter().ShouldReport(kLowLoad, Millis{ 0 }));
}

// Guards against late reports during a burst: other nodes keep sending requests
// to a full target until they know its load.
TEST(LoadReportFilter, ChangedLoadOfABusyTargetIsReportedAtOnce)
{
  const LoadReportFilter filter = AfterReportOf(kLowLoad);
  TargetLoad load = kLowLoad;
  load.mRunning = 5;
  EXPECT_TRUE(filter.ShouldReport(load, Millis{ 1 }));
  load.mRunning = 10;
  load.mWaiting = 3;
  EXPECT_TRUE(filter.ShouldReport(load, Millis{ 1 }));
  const LoadReportFilter full = AfterReportOf(load);
  EXPECT_FALSE(full.ShouldReport(load, Millis{ 1 }));
  EXPECT_TRUE(full.ShouldReport(kLowLoad, Millis{ 1 }));
}

// Guards against late reports of a target that becomes slow or starts to fail
// while it has few requests.
TEST(LoadReportFilter, ChangedRunTimeSuccessRateOrSlotsAreReportedAtOnce)
{
  const LoadReportFilter filter = AfterReportOf(kLowLoad);
  TargetLoad load = kLowLoad;
  load.mMeanRunTime = Millis{ 130 };
  EXPECT_TRUE(filter.ShouldReport(load, Millis{ 1 }));
  load.mMeanRunTime = Millis{ 75 };
  EXPECT_TRUE(filter.ShouldReport(load, Millis{ 1 }));
  load = kLowLoad;
  load.mSuccessRate = 0.85;
  EXPECT_TRUE(filter.ShouldReport(load, Millis{ 1 }));
  load = kLowLoad;
  load.mSlots = 12;
  EXPECT_TRUE(filter.ShouldReport(load, Millis{ 1 }));
}

// Guards against entry nodes that flood a target that has become cold, or that
// avoid it when it is warm again, until the next periodic report.
TEST(LoadReportFilter, StartAndEndOfALimitAreReportedAtOnce)
{
  LoadReportFilter filter = AfterReportOf(kLowLoad);
  TargetLoad limited = kLowLoad;
  limited.mAdmissionRate = 15;
  EXPECT_TRUE(filter.ShouldReport(limited, Millis{ 1 }));
  filter.OnReported(limited, Millis{ 1 });
  limited.mAdmissionRate = 13;
  EXPECT_FALSE(filter.ShouldReport(limited, Millis{ 2 }));
  limited.mAdmissionRate = 10;
  EXPECT_TRUE(filter.ShouldReport(limited, Millis{ 2 }));
  EXPECT_TRUE(filter.ShouldReport(kLowLoad, Millis{ 2 }));
}

} // namespace
} // namespace papayaway::gateway
