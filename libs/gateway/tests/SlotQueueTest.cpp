#include <gateway/SlotQueue.h>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

constexpr Millis kRun{ 100 };

SlotRequest
Request(std::uint64_t aId,
        int aPriority = 1,
        Millis aObjective = Millis{ 600 },
        Millis aDeadline = Millis{ 2000 })
{
  return { .mId = aId,
           .mPriority = aPriority,
           .mDeadline = aDeadline,
           .mObjective = aObjective,
           .mRunTime = kRun,
           .mMostRunTime = kRun };
}

using Ids = std::vector<std::uint64_t>;

// Guards against more requests at a target than it has slots: some targets
// never answer what they can't queue.
TEST(SlotQueue, NeverStartsMoreThanTheSlots)
{
  SlotQueue queue(2);
  EXPECT_EQ(queue.Offer(Request(1), {}).mStart, Ids{ 1 });
  EXPECT_EQ(queue.Offer(Request(2), {}).mStart, Ids{ 2 });
  EXPECT_TRUE(queue.Offer(Request(3), {}).mStart.empty());
  EXPECT_EQ(queue.Running(), 2);
  EXPECT_EQ(queue.OnFinished({}).mStart, Ids{ 3 });
  EXPECT_EQ(queue.Running(), 2);
}

// Load pattern: a burst of all kinds. The urgent ones must not wait behind
// the others.
TEST(SlotQueue, BurstOfAllKindsRunsUrgentOnesFirst)
{
  SlotQueue queue(1);
  static_cast<void>(queue.Offer(Request(1), {}));
  static_cast<void>(queue.Offer(Request(2, 2), {}));
  static_cast<void>(queue.Offer(Request(3, 1), {}));
  static_cast<void>(queue.Offer(Request(4, 0), {}));
  static_cast<void>(queue.Offer(Request(5, 0), {}));
  EXPECT_EQ(queue.OnFinished({}).mStart, Ids{ 4 });
  EXPECT_EQ(queue.OnFinished({}).mStart, Ids{ 5 });
  EXPECT_EQ(queue.OnFinished({}).mStart, Ids{ 3 });
  EXPECT_EQ(queue.OnFinished({}).mStart, Ids{ 2 });
}

// Load pattern: a burst of one kind. A request that would miss its objective
// is refused at once rather than after it has waited.
TEST(SlotQueue, BurstOfOneKindIsRefusedAtOnceBeyondTheObjective)
{
  SlotQueue queue(1);
  int refused = 0;
  for (std::uint64_t id = 1; id <= 20; ++id) {
    refused += static_cast<int>(queue.Offer(Request(id), {}).mRefuse.size());
  }
  // One runs; 5 more of 100 ms each end within the objective of 600 ms.
  EXPECT_EQ(queue.Waiting(), 5);
  EXPECT_EQ(refused, 14);
}

// Load pattern: more than the capacity for a long time. Requests whose runs
// differ much are let in with a margin, or a quarter of the answers comes too
// late.
TEST(SlotQueue, RunsThatDifferAreLetInWithAMargin)
{
  SlotQueue queue(1);
  SlotRequest request = Request(1);
  request.mMostRunTime = Millis{ 300 };
  for (request.mId = 1; request.mId <= 20; ++request.mId) {
    static_cast<void>(queue.Offer(request, {}));
  }
  EXPECT_EQ(queue.Waiting(), 3);
}

// Load pattern: urgent requests keep coming. Those whose place they took are
// refused as soon as they can't make it, not at their deadline.
TEST(SlotQueue, PlacesTakenByUrgentRequestsAreRefusedEarly)
{
  SlotQueue queue(1);
  static_cast<void>(queue.Offer(Request(1), {}));
  static_cast<void>(queue.Offer(Request(2, 2), {}));
  for (std::uint64_t id = 3; id <= 7; ++id) {
    static_cast<void>(queue.Offer(Request(id, 0), {}));
  }
  EXPECT_TRUE(queue.OnTick(Millis{ 0 }).mRefuse.empty());
  EXPECT_EQ(queue.OnTick(Millis{ 50 }).mRefuse, Ids{ 2 });
}

// Guards against a slot that is used for an answer nobody waits for.
TEST(SlotQueue, RequestWithoutTimeLeftIsNotStarted)
{
  SlotQueue queue(1);
  EXPECT_EQ(queue.Offer(Request(1, 0, Millis{ 600 }, Millis{ 50 }), {}).mRefuse,
            Ids{ 1 });
  EXPECT_EQ(queue.Running(), 0);
}

// Guards against idle slots: a late answer is better than none while nobody
// else wants the slot.
TEST(SlotQueue, LateRequestRunsIfNobodyElseWaits)
{
  SlotQueue queue(1);
  EXPECT_EQ(queue.Offer(Request(1, 0, Millis{ -100 }), {}).mStart, Ids{ 1 });
}

// Guards against slots that leak when a waiting caller leaves.
TEST(SlotQueue, CancelledRequestLeavesTheQueue)
{
  SlotQueue queue(1);
  static_cast<void>(queue.Offer(Request(1), {}));
  static_cast<void>(queue.Offer(Request(2), {}));
  EXPECT_TRUE(queue.Cancel(2));
  EXPECT_FALSE(queue.Cancel(2));
  EXPECT_TRUE(queue.OnFinished({}).mStart.empty());
  EXPECT_EQ(queue.Running(), 0);
}

// Load pattern: a target loses a third of its answers. Guards against slots
// that stay taken until the deadlines of requests which have long ended.
TEST(SlotQueue, LostAnswersFreeTheirSlots)
{
  SlotQueue queue(2);
  const auto request = [](std::uint64_t aId) {
    return SlotRequest{ .mId = aId,
                        .mDeadline = Millis{ 2000 },
                        .mObjective = Millis{ 1000 },
                        .mRunTime = Millis{ 100 },
                        .mMostRunTime = Millis{ 150 } };
  };
  (void)queue.Offer(request(1), {});
  (void)queue.Offer(request(2), {});
  EXPECT_TRUE(queue.Offer(request(3), {}).mStart.empty());
  EXPECT_EQ(queue.SetLost(1, Millis{ 200 }).mStart,
            std::vector<std::uint64_t>{ 3 });
  EXPECT_EQ(queue.Running(), 2);
  // The lost one ends at its deadline; it freed its slot before.
  (void)queue.SetLost(0, Millis{ 300 });
  EXPECT_TRUE(queue.OnFinished(Millis{ 300 }).mStart.empty());
  EXPECT_EQ(queue.Running(), 2);
}

TEST(SlotQueue, NoMoreSlotsAreFreedThanThereAre)
{
  SlotQueue queue(2);
  (void)queue.SetLost(50, {});
  EXPECT_EQ(queue.Running(), 0);
}

} // namespace
} // namespace papayaway::gateway
