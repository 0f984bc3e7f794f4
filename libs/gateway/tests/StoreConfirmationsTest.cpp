#include <gateway/StoreConfirmations.h>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

constexpr Millis kBatchDelay{ 400 };

// Guards against a schedule with which a lost follower is noticed too late for
// another node to read the change, or is reported lost while it works.
TEST(FollowSchedule, FollowsFromThePropagationLimit)
{
  for (const double limit : { 1000, 2000, 3000, 10000 }) {
    const FollowSchedule schedule =
      MakeFollowSchedule(Millis{ limit }, kBatchDelay);
    EXPECT_GT(schedule.mMaxAge, schedule.mWait + kBatchDelay) << limit;
    if (limit >= 2000) {
      EXPECT_LE(schedule.mMaxAge + schedule.mTakeoverTime,
                Millis{ limit } - Millis{ 500 });
      EXPECT_GE(schedule.mTakeoverTime, Millis{ 300 });
    }
  }
}

// Guards against a late or repeated report that makes the knowledge of a region
// seem newer than it is.
TEST(StoreConfirmations, AgeCountsFromTheNewestAnswer)
{
  StoreConfirmations confirmations({ .mMaxAge = Millis{ 1000 } });
  EXPECT_FALSE(confirmations.OverdueFor(Millis{ 9000 }));
  EXPECT_TRUE(confirmations.OnConfirmed("a", Millis{ 10000 }, Millis{ 10500 }));
  EXPECT_FALSE(
    confirmations.OnConfirmed("a", Millis{ 10000 }, Millis{ 10900 }));
  EXPECT_TRUE(confirmations.OnConfirmed("b", Millis{ 9000 }, Millis{ 10900 }));
  EXPECT_FALSE(confirmations.OverdueFor(Millis{ 11000 }));
  EXPECT_EQ(confirmations.OverdueFor(Millis{ 11200 }), Millis{ 200 });
  EXPECT_TRUE(confirmations.IsConfirmed("a", Millis{ 11000 }));
  EXPECT_FALSE(confirmations.IsConfirmed("b", Millis{ 11000 }));
  EXPECT_FALSE(confirmations.IsConfirmed("c", Millis{ 11000 }));
  confirmations.OnFollower("c", Millis{ 11000 });
  EXPECT_TRUE(confirmations.IsConfirmed("c", Millis{ 11500 }));
}

} // namespace
} // namespace papayaway::gateway
