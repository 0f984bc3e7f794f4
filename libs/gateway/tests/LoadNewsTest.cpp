#include <gateway/LoadNews.h>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

constexpr TargetLoad kLowLoad{ .mSlots = 10,
                               .mRunning = 2,
                               .mMeanRun = Millis{ 100 } };

LoadNews
AfterReportOf(const TargetLoad& aLoad)
{
  LoadNews filter;
  filter.OnTold(aLoad, Millis{ 0 });
  return filter;
}

// Guards against useless reports at low load: their number grows with the
// square of the number of nodes, and they do not affect the choice of a target.
TEST(LoadNews, LowLoadIsReportedOnceASecond)
{
  const LoadNews filter = AfterReportOf(kLowLoad);
  TargetLoad load = kLowLoad;
  load.mRunning = 4;
  load.mMeanRun = Millis{ 110 };
  load.mSuccess = 0.95;
  EXPECT_FALSE(filter.IsNews(load, Millis{ 999 }));
  EXPECT_TRUE(filter.IsNews(load, Millis{ 1000 }));
  EXPECT_TRUE(LoadNews().IsNews(kLowLoad, Millis{ 0 }));
}

// Guards against late reports during a burst: other nodes keep sending requests
// to a full target until they know its load.
TEST(LoadNews, ChangedLoadOfABusyTargetIsReportedAtOnce)
{
  const LoadNews filter = AfterReportOf(kLowLoad);
  TargetLoad load = kLowLoad;
  load.mRunning = 5;
  EXPECT_TRUE(filter.IsNews(load, Millis{ 1 }));
  load.mRunning = 10;
  load.mWaiting = 3;
  EXPECT_TRUE(filter.IsNews(load, Millis{ 1 }));
  const LoadNews full = AfterReportOf(load);
  EXPECT_FALSE(full.IsNews(load, Millis{ 1 }));
  EXPECT_TRUE(full.IsNews(kLowLoad, Millis{ 1 }));
}

// Guards against late reports of a target that becomes slow or starts to fail
// while it has few requests.
TEST(LoadNews, ChangedRunTimeSuccessRateOrSlotsAreReportedAtOnce)
{
  const LoadNews filter = AfterReportOf(kLowLoad);
  TargetLoad load = kLowLoad;
  load.mMeanRun = Millis{ 130 };
  EXPECT_TRUE(filter.IsNews(load, Millis{ 1 }));
  load.mMeanRun = Millis{ 75 };
  EXPECT_TRUE(filter.IsNews(load, Millis{ 1 }));
  load = kLowLoad;
  load.mSuccess = 0.85;
  EXPECT_TRUE(filter.IsNews(load, Millis{ 1 }));
  load = kLowLoad;
  load.mSlots = 12;
  EXPECT_TRUE(filter.IsNews(load, Millis{ 1 }));
}

} // namespace
} // namespace papayaway::gateway
