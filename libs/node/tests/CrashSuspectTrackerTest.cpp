#include <gtest/gtest.h>

#include "CrashSuspectTracker.h"
#include "RecentIds.h"

namespace papayaway {
namespace {

using Fingerprints = std::vector<std::string>;

// Guards against leaving out requests whose connection broke before the crash
// was detected.
TEST(CrashSuspectTracker, BrokenCallsAreSuspectsOfLaterCrash)
{
  CrashSuspectTracker tracker;
  tracker.OnSent(1, "a", Seconds(1));
  tracker.OnSent(2, "b", Seconds(1));
  tracker.OnBroken(2, Seconds(2));
  EXPECT_EQ(tracker.InFlight(), Fingerprints{ "a" });
  EXPECT_EQ(tracker.TakeSuspects(Seconds(3)), (Fingerprints{ "a", "b" }));
}

// Guards against counting one crash twice against a request, when the crash is
// detected by a refused connection and again by the new process.
TEST(CrashSuspectTracker, ABrokenCallCountsOnce)
{
  CrashSuspectTracker tracker;
  tracker.OnSent(1, "a", Seconds(1));
  tracker.OnBroken(1, Seconds(2));
  EXPECT_EQ(tracker.TakeSuspects(Seconds(3)), Fingerprints{ "a" });
  EXPECT_EQ(tracker.TakeSuspects(Seconds(4)), Fingerprints{});
}

// Guards against crashes that are not counted because the target needs longer
// to come back than the evidence is kept.
TEST(CrashSuspectTracker, BrokenCallCountsUntilTheTargetIsBack)
{
  CrashSuspectTracker tracker;
  tracker.OnSent(1, "crash", Seconds(1));
  tracker.OnBroken(1, Seconds(2));
  EXPECT_EQ(tracker.TakeSuspects(Seconds(15)), Fingerprints{ "crash" });
}

// Guards against suspecting a request whose response was lost, when its target
// ends much later for another reason.
TEST(CrashSuspectTracker, BrokenCallThatTheTargetSurvivedIsLeftOut)
{
  CrashSuspectTracker tracker;
  tracker.OnSent(1, "lost", Seconds(1));
  tracker.OnBroken(1, Seconds(2));
  tracker.OnSent(2, "next", Seconds(3));
  tracker.OnAnswered(2);
  EXPECT_EQ(tracker.TakeSuspects(Seconds(15)), Fingerprints{});
}

// Guards against suspecting requests that were answered, that were sent after
// the crash, or whose connection broke long before it.
TEST(CrashSuspectTracker, UnrelatedCallsAreLeftOut)
{
  CrashSuspectTracker tracker;
  tracker.OnSent(2, "old", Seconds(1));
  tracker.OnBroken(2, Seconds(1));
  tracker.OnSent(1, "answered", Seconds(2));
  tracker.OnAnswered(1);
  tracker.OnSent(3, "guilty", Seconds(11));
  tracker.OnBroken(3, Seconds(12));
  tracker.OnSent(4, "later", Seconds(13));
  EXPECT_EQ(tracker.TakeSuspects(Seconds(14)), Fingerprints{ "guilty" });
}

// Guards against unbounded memory when connections break without a crash.
TEST(CrashSuspectTracker, BrokenCallsAreBounded)
{
  CrashSuspectTracker tracker;
  for (CrashSuspectTracker::CallId i = 0;
       i < 2 * CrashSuspectTracker::kMaxBroken;
       ++i) {
    tracker.OnSent(i, std::to_string(i), Seconds(1));
    tracker.OnBroken(i, Seconds(1));
  }
  EXPECT_EQ(tracker.TakeSuspects(Seconds(1)).size(),
            CrashSuspectTracker::kMaxBroken);
}

// Guards against broadcast reports that are forwarded forever, and against
// unbounded memory.
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
