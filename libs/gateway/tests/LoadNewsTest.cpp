#include <gateway/LoadNews.h>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

constexpr TargetLoad kCalm{ .mSlots = 10,
                            .mRunning = 2,
                            .mMeanRun = Millis{ 100 } };

LoadNews
Told(const TargetLoad& aLoad)
{
  LoadNews news;
  news.OnTold(aLoad, Millis{ 0 });
  return news;
}

// Guards against control traffic of calm hours that grows with the square of
// the nodes and changes no choice.
TEST(LoadNews, CalmTargetsAreToldOnceASecond)
{
  const LoadNews news = Told(kCalm);
  TargetLoad load = kCalm;
  load.mRunning = 4;
  load.mMeanRun = Millis{ 110 };
  load.mSuccess = 0.95;
  EXPECT_FALSE(news.IsNews(load, Millis{ 999 }));
  EXPECT_TRUE(news.IsNews(load, Millis{ 1000 }));
  EXPECT_TRUE(LoadNews().IsNews(kCalm, Millis{ 0 }));
}

// Load pattern: a burst. Neighbours that do not know of a full target go on
// sending to it, so its news can't wait.
TEST(LoadNews, FillingTargetsAreToldAtOnce)
{
  const LoadNews news = Told(kCalm);
  TargetLoad load = kCalm;
  load.mRunning = 5;
  EXPECT_TRUE(news.IsNews(load, Millis{ 1 }));
  load.mRunning = 10;
  load.mWaiting = 3;
  EXPECT_TRUE(news.IsNews(load, Millis{ 1 }));
  const LoadNews full = Told(load);
  EXPECT_FALSE(full.IsNews(load, Millis{ 1 }));
  EXPECT_TRUE(full.IsNews(kCalm, Millis{ 1 }));
}

// Load pattern: a target turns slow or grey while it has few requests.
TEST(LoadNews, SlowAndFailingTargetsAreToldAtOnce)
{
  const LoadNews news = Told(kCalm);
  TargetLoad load = kCalm;
  load.mMeanRun = Millis{ 130 };
  EXPECT_TRUE(news.IsNews(load, Millis{ 1 }));
  load.mMeanRun = Millis{ 75 };
  EXPECT_TRUE(news.IsNews(load, Millis{ 1 }));
  load = kCalm;
  load.mSuccess = 0.85;
  EXPECT_TRUE(news.IsNews(load, Millis{ 1 }));
  load = kCalm;
  load.mSlots = 12;
  EXPECT_TRUE(news.IsNews(load, Millis{ 1 }));
}

} // namespace
} // namespace papayaway::gateway
