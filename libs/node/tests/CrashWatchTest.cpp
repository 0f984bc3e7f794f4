#include <gtest/gtest.h>

#include "CrashWatch.h"
#include "RecentIds.h"

namespace papayaway {
namespace {

using Fingerprints = std::vector<std::string>;

// Guards against losing the evidence because the broken connections are seen
// before the crash is.
TEST(CrashWatch, BrokenCallsCountAtALaterCrash)
{
  CrashWatch watch;
  watch.OnSent(1, "a", Seconds(1));
  watch.OnSent(2, "b", Seconds(1));
  watch.OnBroken(2, Seconds(2));
  EXPECT_EQ(watch.InFlight(), Fingerprints{ "a" });
  EXPECT_EQ(watch.TakeCrashed(Seconds(3)), (Fingerprints{ "a", "b" }));
}

// Guards against suspecting a request for a crash that was reported before,
// when the refused connection and the new process both tell of one crash.
TEST(CrashWatch, ABrokenCallCountsOnce)
{
  CrashWatch watch;
  watch.OnSent(1, "a", Seconds(1));
  watch.OnBroken(1, Seconds(2));
  EXPECT_EQ(watch.TakeCrashed(Seconds(3)), Fingerprints{ "a" });
  EXPECT_EQ(watch.TakeCrashed(Seconds(4)), Fingerprints{});
}

// Guards against blaming requests that were answered, that were sent after
// the crash, or whose connection broke long before.
TEST(CrashWatch, UnrelatedCallsAreLeftOut)
{
  CrashWatch watch;
  watch.OnSent(1, "answered", Seconds(1));
  watch.OnEnded(1);
  watch.OnSent(2, "old", Seconds(1));
  watch.OnBroken(2, Seconds(1));
  watch.OnSent(3, "guilty", Seconds(11));
  watch.OnBroken(3, Seconds(12));
  watch.OnSent(4, "later", Seconds(13));
  EXPECT_EQ(watch.TakeCrashed(Seconds(14)), Fingerprints{ "guilty" });
}

// Guards against unbounded memory when connections break without a crash.
TEST(CrashWatch, BrokenCallsAreBounded)
{
  CrashWatch watch;
  for (CrashWatch::CallId i = 0; i < 2 * CrashWatch::kMaxBroken; ++i) {
    watch.OnSent(i, std::to_string(i), Seconds(1));
    watch.OnBroken(i, Seconds(1));
  }
  EXPECT_EQ(watch.TakeCrashed(Seconds(1)).size(), CrashWatch::kMaxBroken);
}

// Guards against reports that circulate for ever, and against unbounded
// memory.
TEST(RecentIds, EachIdIsNewOnceWithinTheBound)
{
  RecentIds ids(2);
  EXPECT_TRUE(ids.Insert("a"));
  EXPECT_FALSE(ids.Insert("a"));
  EXPECT_TRUE(ids.Insert("b"));
  EXPECT_TRUE(ids.Insert("c"));
  EXPECT_FALSE(ids.Insert("c"));
  EXPECT_TRUE(ids.Insert("a"));
}

} // namespace
} // namespace papayaway
