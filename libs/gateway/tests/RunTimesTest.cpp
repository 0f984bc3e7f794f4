#include <gateway/RunTimes.h>

#include <array>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

RunTimes
TimesOf100Ms()
{
  RunTimes times;
  for (int i = 0; i < 100; ++i) {
    times.OnRun("r", Millis{ 100 });
  }
  return times;
}

// Load pattern: targets become many times slower at once. Guards against
// requests that go on being sent there until the first run ends.
TEST(RunTimes, OverdueRunsShowASlowTarget)
{
  const std::array<OpenRun, 4> runs{ { { "r", Millis{ 600 } },
                                       { "r", Millis{ 500 } },
                                       { "r", Millis{ 400 } },
                                       { "r", Millis{ 10 } } } };
  EXPECT_NEAR(TimesOf100Ms().Slowdown(runs), 4, 0.1);
}

// Guards against a sound target that is avoided because of one long run.
TEST(RunTimes, OneLongRunIsNoSlowTarget)
{
  const RunTimes times = TimesOf100Ms();
  const std::array<OpenRun, 3> mixed{
    { { "r", Millis{ 900 } }, { "r", Millis{ 80 } }, { "r", Millis{ 120 } } }
  };
  EXPECT_DOUBLE_EQ(times.Slowdown(mixed), 1);
  const std::array<OpenRun, 1> lone{ { { "r", Millis{ 900 } } } };
  EXPECT_DOUBLE_EQ(times.Slowdown(lone), 1);
  EXPECT_DOUBLE_EQ(times.Slowdown({}), 1);
}

} // namespace
} // namespace papayaway::gateway
