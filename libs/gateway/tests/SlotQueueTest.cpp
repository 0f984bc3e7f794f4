#include <gateway/SlotQueue.h>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

constexpr Millis kRunTime{ 100 };

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
           .mRunTime = kRunTime,
           .mRunTimeP75 = kRunTime };
}

using Ids = std::vector<std::uint64_t>;

// Guards against sending more requests to a target than it has slots: some
// targets never answer requests that they can't queue.
TEST(SlotQueue, NeverStartsMoreRequestsThanSlots)
{
  SlotQueue queue(2);
  EXPECT_EQ(queue.Offer(Request(1), {}).mStart, Ids{ 1 });
  EXPECT_EQ(queue.Offer(Request(2), {}).mStart, Ids{ 2 });
  EXPECT_TRUE(queue.Offer(Request(3), {}).mStart.empty());
  EXPECT_EQ(queue.Running(), 2);
  EXPECT_EQ(queue.OnFinished({}).mStart, Ids{ 3 });
  EXPECT_EQ(queue.Running(), 2);
}

// Guards against urgent requests that wait behind less urgent ones during a
// burst of requests of all priorities.
TEST(SlotQueue, UrgentRequestsOfABurstAreStartedFirst)
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

// Load: a burst of new requests and of calls of running requests.
// Guards against runs that are wasted because their calls wait behind new
// requests of the same priority, and against calls that overtake more urgent
// requests.
TEST(SlotQueue, CallsOfRunningRequestsAreStartedBeforeNewRequests)
{
  SlotQueue queue(1);
  static_cast<void>(queue.Offer(Request(1), {}));
  static_cast<void>(queue.Offer(Request(2, 1), {}));
  static_cast<void>(queue.Offer(Request(3, 0), {}));
  SlotRequest call = Request(4, 1);
  call.mNestedCall = true;
  static_cast<void>(queue.Offer(call, {}));
  EXPECT_EQ(queue.ExpectedWait(1, kRunTime, true), kRunTime * 3);
  EXPECT_EQ(queue.ExpectedWait(1, kRunTime), kRunTime * 4);
  EXPECT_EQ(queue.OnFinished({}).mStart, Ids{ 3 });
  EXPECT_EQ(queue.OnFinished({}).mStart, Ids{ 4 });
  EXPECT_EQ(queue.OnFinished({}).mStart, Ids{ 2 });
}

// Guards against requests that wait during a burst and are refused only later:
// a request that would miss its objective must be refused when it arrives.
TEST(SlotQueue, RequestsThatWouldMissTheObjectiveAreRefusedAtOnce)
{
  SlotQueue queue(1);
  int refused = 0;
  for (std::uint64_t id = 1; id <= 20; ++id) {
    refused += static_cast<int>(queue.Offer(Request(id), {}).mRefuse.size());
  }
  // One request runs; 5 more of 100 ms each end within the objective of 600 ms.
  EXPECT_EQ(queue.Waiting(), 5);
  EXPECT_EQ(refused, 14);
}

// Guards against missed objectives during a long overload: if requests with
// varying run times were admitted by their mean, a quarter of the responses
// would come too late.
TEST(SlotQueue, RequestsWithVaryingRunTimesAreAdmittedWithAMargin)
{
  SlotQueue queue(1);
  SlotRequest request = Request(1);
  request.mRunTimeP75 = Millis{ 300 };
  for (request.mId = 1; request.mId <= 20; ++request.mId) {
    static_cast<void>(queue.Offer(request, {}));
  }
  EXPECT_EQ(queue.Waiting(), 3);
}

// Guards against requests that wait until their deadline while urgent requests
// keep arriving: they must be refused as soon as they would miss their
// objective.
TEST(SlotQueue, RequestsDelayedByUrgentOnesAreRefusedEarly)
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

// Guards against using a slot for a request whose caller no longer waits when
// it ends.
TEST(SlotQueue, RequestWithoutTimeLeftIsNotStarted)
{
  SlotQueue queue(1);
  EXPECT_EQ(queue.Offer(Request(1, 0, Millis{ 600 }, Millis{ 50 }), {}).mRefuse,
            Ids{ 1 });
  EXPECT_EQ(queue.Running(), 0);
}

// Guards against idle slots: a response after the objective is better than none
// if no other request needs the slot.
TEST(SlotQueue, RequestPastItsObjectiveIsStartedIfNoOtherWaits)
{
  SlotQueue queue(1);
  EXPECT_EQ(queue.Offer(Request(1, 0, Millis{ -100 }), {}).mStart, Ids{ 1 });
}

// Guards against starting a waiting request whose caller has disconnected.
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

// Guards against slots that stay occupied until the deadline of a request that
// has ended long before, because the target's response was lost.
TEST(SlotQueue, LostResponsesFreeTheirSlots)
{
  SlotQueue queue(2);
  const auto request = [](std::uint64_t aId) {
    return SlotRequest{ .mId = aId,
                        .mDeadline = Millis{ 2000 },
                        .mObjective = Millis{ 1000 },
                        .mRunTime = Millis{ 100 },
                        .mRunTimeP75 = Millis{ 150 } };
  };
  (void)queue.Offer(request(1), {});
  (void)queue.Offer(request(2), {});
  EXPECT_TRUE(queue.Offer(request(3), {}).mStart.empty());
  EXPECT_EQ(queue.SetLostResponses(1, Millis{ 200 }).mStart,
            std::vector<std::uint64_t>{ 3 });
  EXPECT_EQ(queue.Running(), 2);
  // The request whose response was lost ends at its deadline. Its slot was
  // freed before, so no further slot becomes free.
  (void)queue.SetLostResponses(0, Millis{ 300 });
  EXPECT_TRUE(queue.OnFinished(Millis{ 300 }).mStart.empty());
  EXPECT_EQ(queue.Running(), 2);
}

TEST(SlotQueue, LostResponsesDoNotFreeMoreSlotsThanAreInUse)
{
  SlotQueue queue(2);
  (void)queue.SetLostResponses(50, {});
  EXPECT_EQ(queue.Running(), 0);
}

} // namespace
} // namespace papayaway::gateway
