#include <gateway/RunTimes.h>

#include <array>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

RunTimes
RunTimesOf100Ms()
{
  RunTimes times;
  for (int i = 0; i < 100; ++i) {
    times.OnRun("r", Millis{ 100 });
  }
  return times;
}

// Guards against sending more requests to a target that suddenly becomes many
// times slower, until the first of its runs ends.
TEST(RunTimes, OverdueRunsIndicateASlowTarget)
{
  const std::array<RunInProgress, 4> runs{ { { "r", Millis{ 600 } },
                                             { "r", Millis{ 500 } },
                                             { "r", Millis{ 400 } },
                                             { "r", Millis{ 10 } } } };
  EXPECT_NEAR(RunTimesOf100Ms().Slowdown(runs), 4, 0.1);
}

// Guards against avoiding a healthy target because of one long run.
TEST(RunTimes, OneLongRunDoesNotIndicateASlowTarget)
{
  const RunTimes times = RunTimesOf100Ms();
  const std::array<RunInProgress, 3> oneLongRun{
    { { "r", Millis{ 900 } }, { "r", Millis{ 80 } }, { "r", Millis{ 120 } } }
  };
  EXPECT_DOUBLE_EQ(times.Slowdown(oneLongRun), 1);
  const std::array<RunInProgress, 1> onlyRun{ { { "r", Millis{ 900 } } } };
  EXPECT_DOUBLE_EQ(times.Slowdown(onlyRun), 1);
  EXPECT_DOUBLE_EQ(times.Slowdown({}), 1);
}

} // namespace
} // namespace papayaway::gateway
