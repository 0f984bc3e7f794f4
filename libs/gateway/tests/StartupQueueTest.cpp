#include <gateway/StartupQueue.h>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

using Ids = std::vector<std::uint64_t>;

constexpr StartupQueueOptions kOptions{ .mWindow = Millis{ 1000 },
                                        .mMaxWait = Millis{ 400 },
                                        .mMaxWaitFraction = 0.5,
                                        .mMaxRequests = 3 };

// Guards against refused or reordered requests when all nodes restart at once
// while callers keep sending: requests that arrive before the desired state is
// known must be held and returned in the order of their arrival.
TEST(StartupQueue, RequestsAreHeldInTheOrderOfTheirArrival)
{
  StartupQueue queue(kOptions, Millis{ 5000 });
  EXPECT_TRUE(queue.TryHold(1, Seconds(2), Millis{ 5010 }, Millis{ 5010 }));
  EXPECT_TRUE(queue.TryHold(2, Seconds(2), Millis{ 5020 }, Millis{ 5020 }));
  EXPECT_TRUE(queue.TryHold(3, std::nullopt, Millis{ 5030 }, Millis{ 5030 }));
  queue.Remove(2);
  EXPECT_EQ(queue.TakeAll(), (Ids{ 1, 3 }));
  EXPECT_EQ(queue.TakeAll(), Ids{});
}

// Guards against callers that wait too long when the desired state does not
// arrive.
TEST(StartupQueue, RequestsExpireIfTheStateDoesNotArrive)
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

// Guards against a wait that restarts each time the request is held again.
TEST(StartupQueue, WaitCountsFromTheArrival)
{
  StartupQueue queue(kOptions, Millis{ 5000 });
  ASSERT_TRUE(queue.TryHold(1, Seconds(2), Millis{ 5000 }, Millis{ 5000 }));
  ASSERT_EQ(queue.TakeAll(), Ids{ 1 });
  ASSERT_TRUE(queue.TryHold(2, Seconds(2), Millis{ 5000 }, Millis{ 5300 }));
  EXPECT_EQ(queue.TakeExpired(Millis{ 5400 }), Ids{ 2 });
  EXPECT_FALSE(queue.TryHold(3, Seconds(2), Millis{ 5000 }, Millis{ 5400 }));
}

// Guards against a wait that uses up the timeout of the caller, so that no time
// is left to run the request.
TEST(StartupQueue, WaitIsLimitedToAFractionOfTheCallerTimeout)
{
  StartupQueue queue(kOptions, Millis{ 5000 });
  ASSERT_TRUE(queue.TryHold(1, Millis{ 200 }, Millis{ 5000 }, Millis{ 5000 }));
  EXPECT_EQ(queue.TakeExpired(Millis{ 5100 }), Ids{ 1 });
  EXPECT_FALSE(queue.TryHold(2, Millis{ 0 }, Millis{ 5000 }, Millis{ 5000 }));
}

// Guards against memory use that grows without limit with the number of
// callers.
TEST(StartupQueue, NumberOfHeldRequestsIsLimited)
{
  StartupQueue queue(kOptions, Millis{ 5000 });
  for (std::uint64_t id = 0; id < 3; ++id) {
    EXPECT_TRUE(queue.TryHold(id, Seconds(2), Millis{ 5000 }, Millis{ 5000 }));
  }
  EXPECT_FALSE(queue.TryHold(3, Seconds(2), Millis{ 5000 }, Millis{ 5000 }));
}

} // namespace
} // namespace papayaway::gateway
