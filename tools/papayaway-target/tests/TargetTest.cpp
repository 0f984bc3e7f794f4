#include <gtest/gtest.h>

#include "SlotQueue.h"
#include "WorkPlan.h"

namespace papayaway {
namespace {

// Guards against more running requests than slots, and against a freed slot
// that stays unused while a request is queued.
TEST(SlotQueue, ShedsWhenSlotsAndQueueAreFull)
{
  SlotQueue slots(2);
  EXPECT_EQ(slots.Admit(1), SlotQueue::Admission::Run);
  EXPECT_EQ(slots.Admit(2), SlotQueue::Admission::Run);
  EXPECT_EQ(slots.Admit(3), SlotQueue::Admission::Queue);
  EXPECT_EQ(slots.Admit(4), SlotQueue::Admission::Shed);
  EXPECT_EQ(slots.Finish(), SlotQueue::Id{ 3 });
  EXPECT_EQ(slots.Finish(), std::nullopt);
  EXPECT_EQ(slots.Running(), 1U);
  EXPECT_EQ(slots.MaxRunning(), 2U);
  EXPECT_EQ(slots.Shed(), 1U);
  slots.Admit(5);
  slots.Admit(6);
  EXPECT_TRUE(slots.RemoveFromQueue(6));
  EXPECT_EQ(slots.Finish(), std::nullopt);
}

std::size_t
CountFailures(const TargetOptions& aOptions,
              const std::string& aPath,
              Millis aUptime,
              std::size_t aRunning)
{
  Random random(1);
  std::size_t failures = 0;
  for (int i = 0; i < 1000; ++i) {
    const WorkPlan plan = PlanWork(aOptions, aPath, aUptime, aRunning, random);
    failures += plan.mShouldFail ? 1 : 0;
  }
  return failures;
}

// Guards against a simulated fault that affects requests before its start,
// below its load threshold or on other paths.
TEST(WorkPlan, FaultsAffectOnlyMatchingRequests)
{
  TargetOptions options{ .mSlots = 10, .mFaultAfter = { 1000 } };
  options.mFault = TargetFault::Fail;
  EXPECT_EQ(CountFailures(options, "/a", { 999 }, 1), 0U);
  EXPECT_EQ(CountFailures(options, "/a", { 1000 }, 1), 1000U);
  options.mFault = TargetFault::LateFail;
  const std::size_t half = CountFailures(options, "/a", { 6000 }, 1);
  EXPECT_GT(half, 400U);
  EXPECT_LT(half, 600U);
  options.mFault = TargetFault::LoadFail;
  EXPECT_EQ(CountFailures(options, "/a", { 1000 }, 5), 0U);
  EXPECT_EQ(CountFailures(options, "/a", { 1000 }, 6), 1000U);
  options.mFault = TargetFault::RouteFail;
  options.mFaultRoute = "/b";
  EXPECT_EQ(CountFailures(options, "/a", { 1000 }, 1), 0U);
  EXPECT_EQ(CountFailures(options, "/b/1", { 1000 }, 1), 1000U);
}

// Guards against a mean work time that ignores the cold start or the slow
// fault.
TEST(WorkPlan, MeanWorkTimeFollowsColdStartAndSlowFault)
{
  const auto mean = [](const TargetOptions& aOptions, Millis aUptime) {
    Random random(1);
    double sum = 0;
    for (int i = 0; i < 10000; ++i) {
      sum += PlanWork(aOptions, "/", aUptime, 1, random).mWorkTime.mCount;
    }
    return sum / 10000;
  };
  const TargetOptions cold{ .mMeanWorkTime = { 2 }, .mColdStart = { 100 } };
  EXPECT_NEAR(mean(cold, { 100 }), 2, 0.1);
  EXPECT_NEAR(mean(cold, { 0 }), 10, 0.5);
  const TargetOptions slow{ .mMeanWorkTime = { 2 },
                            .mFault = TargetFault::Slow };
  EXPECT_NEAR(mean(slow, { 0 }), 40, 2);
}

} // namespace
} // namespace papayaway
