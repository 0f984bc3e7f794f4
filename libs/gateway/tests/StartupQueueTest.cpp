#include <gateway/StartupQueue.h>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

using Ids = std::vector<std::uint64_t>;

constexpr StartupQueueOptions kOptions{ .mWindow = Millis{ 1000 },
                                        .mLongestWait = Millis{ 400 },
                                        .mPatiencePart = 0.5,
                                        .mMost = 3 };

// Load pattern: all nodes start again at once and callers do not stop. What
// came in the first moment is served in the order of its arrival.
TEST(StartupQueue, RequestsOfARestartAreServedWhenTheStateIsThere)
{
  StartupQueue queue(kOptions, Millis{ 5000 });
  EXPECT_TRUE(queue.TryHold(1, Seconds(2), Millis{ 5010 }, Millis{ 5010 }));
  EXPECT_TRUE(queue.TryHold(2, Seconds(2), Millis{ 5020 }, Millis{ 5020 }));
  EXPECT_TRUE(queue.TryHold(3, std::nullopt, Millis{ 5030 }, Millis{ 5030 }));
  queue.Remove(2);
  EXPECT_EQ(queue.TakeAll(), (Ids{ 1, 3 }));
  EXPECT_EQ(queue.TakeAll(), Ids{});
}

// Guards against callers kept waiting for nothing: the state does not come.
TEST(StartupQueue, NobodyWaitsLongForAStateThatDoesNotCome)
{
  StartupQueue queue(kOptions, Millis{ 5000 });
  ASSERT_TRUE(queue.TryHold(1, Seconds(2), Millis{ 5000 }, Millis{ 5000 }));
  ASSERT_TRUE(queue.TryHold(2, Seconds(2), Millis{ 5800 }, Millis{ 5800 }));
  EXPECT_EQ(queue.TakeExpired(Millis{ 5399 }), Ids{});
  EXPECT_EQ(queue.TakeExpired(Millis{ 5400 }), Ids{ 1 });
  // The window ends before the longest wait does.
  EXPECT_EQ(queue.TakeExpired(Millis{ 5999 }), Ids{});
  EXPECT_EQ(queue.TakeExpired(Millis{ 6000 }), Ids{ 2 });
  EXPECT_FALSE(queue.IsOpen(Millis{ 6000 }));
  EXPECT_FALSE(queue.TryHold(3, Seconds(2), Millis{ 6000 }, Millis{ 6000 }));
}

// Guards against a wait that begins anew each time a request is held again.
TEST(StartupQueue, WaitCountsFromTheArrival)
{
  StartupQueue queue(kOptions, Millis{ 5000 });
  ASSERT_TRUE(queue.TryHold(1, Seconds(2), Millis{ 5000 }, Millis{ 5000 }));
  ASSERT_EQ(queue.TakeAll(), Ids{ 1 });
  ASSERT_TRUE(queue.TryHold(2, Seconds(2), Millis{ 5000 }, Millis{ 5300 }));
  EXPECT_EQ(queue.TakeExpired(Millis{ 5400 }), Ids{ 2 });
  EXPECT_FALSE(queue.TryHold(3, Seconds(2), Millis{ 5000 }, Millis{ 5400 }));
}

// Guards against a wait that leaves an impatient caller no time to be served.
TEST(StartupQueue, ImpatientCallersWaitAPartOfTheirTime)
{
  StartupQueue queue(kOptions, Millis{ 5000 });
  ASSERT_TRUE(queue.TryHold(1, Millis{ 200 }, Millis{ 5000 }, Millis{ 5000 }));
  EXPECT_EQ(queue.TakeExpired(Millis{ 5100 }), Ids{ 1 });
  EXPECT_FALSE(queue.TryHold(2, Millis{ 0 }, Millis{ 5000 }, Millis{ 5000 }));
}

// Guards against memory that grows with the callers.
TEST(StartupQueue, HoldsABoundedNumber)
{
  StartupQueue queue(kOptions, Millis{ 5000 });
  for (std::uint64_t id = 0; id < 3; ++id) {
    EXPECT_TRUE(queue.TryHold(id, Seconds(2), Millis{ 5000 }, Millis{ 5000 }));
  }
  EXPECT_FALSE(queue.TryHold(3, Seconds(2), Millis{ 5000 }, Millis{ 5000 }));
}

} // namespace
} // namespace papayaway::gateway
