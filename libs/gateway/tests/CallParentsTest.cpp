#include <gateway/CallParents.h>

#include <base/Random.h>
#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

RunningParent
Parent(std::string aRoute,
       int aPriority,
       double aDeadline,
       double aTimeLeft = 10'000)
{
  return { .mRoute = std::move(aRoute),
           .mPriority = aPriority,
           .mDeadline = { aDeadline },
           .mTimeLeft = { aTimeLeft } };
}

/** @return the priority that the call inherits, or -1 if it is no call of a
 *    running request. */
int
Inherited(CallParents& aParents,
          const std::string& aRoute,
          double aTimeLeft,
          double aNow)
{
  const auto parent =
    aParents.Match(aRoute, Millis{ aTimeLeft }, Millis{ aNow });
  return parent ? parent->mPriority : -1;
}

// Load: a portal runs job-status and place-order, which both call orders.
// Guards against calls that lose the urgency of the request they serve.
TEST(CallParents, CallInheritsThePriorityOfItsParent)
{
  CallParents parents;
  parents.OnStarted(1, Parent("job-status", 2, 1000));
  parents.OnStarted(2, Parent("place-order", 1, 1300));
  // Rounded down to 899 ms and read 1 ms later, and read 30 ms later.
  EXPECT_EQ(Inherited(parents, "queue-peek", 899, 100), 2);
  EXPECT_EQ(Inherited(parents, "queue-peek", 1200, 130), 1);
  parents.OnEnded(2);
  EXPECT_EQ(Inherited(parents, "queue-peek", 1200, 130), -1)
    << "the parent has ended";
}

// Load: two requests with the same deadline run at once.
// Guards against calls that inherit the urgency of a route that never makes
// calls of theirs.
TEST(CallParents, RouteThatMakesSuchCallsIsPreferred)
{
  CallParents parents;
  parents.OnStarted(1, Parent("job-status", 2, 1000));
  EXPECT_EQ(Inherited(parents, "queue-peek", 900, 100), 2);
  parents.OnStarted(2, Parent("take-payment", 0, 1000));
  parents.OnStarted(3, Parent("job-status", 2, 1010));
  EXPECT_EQ(Inherited(parents, "queue-peek", 890, 110), 2);
}

// Load: callers send 7 requests a second to a node whose 18 running requests
// have deadlines in the next 2.5 s; the target makes 11 calls a second.
// Guards against requests of callers that are started before others because
// their deadline matches that of a running request by chance.
TEST(CallParents, RequestsOfCallersAreNotTakenForCalls)
{
  Random random(11);
  CallParents parents;
  int callers = 0;
  int callersMatched = 0;
  int calls = 0;
  int callsMatched = 0;
  std::uint64_t next = 1;
  for (double now = 0; now < 60'000; now += 40) {
    // A new request about every 40 ms; each runs for 720 ms.
    parents.OnStarted(
      next,
      Parent("balance-read", 0, now + 1000 + UniformFraction(random) * 1500));
    if (next > 18) {
      parents.OnEnded(next - 18);
    }
    if (UniformFraction(random) < 0.3) {
      ++callers;
      callersMatched +=
        Inherited(
          parents, "nom-submit", 500 + UniformFraction(random) * 2000, now) >= 0
          ? 1
          : 0;
    }
    if (UniformFraction(random) < 0.45) {
      parents.OnStarted(next + 1, Parent("balance-read", 0, now + 1400));
      ++calls;
      callsMatched += Inherited(parents,
                                "capacity-read",
                                1390 + UniformFraction(random) * 25,
                                now + 10) >= 0
                        ? 1
                        : 0;
    }
    next += 2;
  }
  EXPECT_LE(callersMatched, callers / 50);
  EXPECT_GE(callsMatched, calls * 98 / 100);
}

// Load: callers send 23 take-payment requests a second, all with 1.5 s, to a
// node whose target runs such requests.
// Guards against requests of callers that are taken for calls of a request that
// has started shortly before with the same time.
TEST(CallParents, RequestsWithTheTimeOfARunningRequestAreNotCalls)
{
  Random random(11);
  CallParents parents;
  double now = 0;
  for (std::uint64_t id = 1; id <= 500; ++id) {
    now += UniformFraction(random) * 86;
    EXPECT_EQ(Inherited(parents, "take-payment", 1500, now), -1);
    parents.OnStarted(id, Parent("take-payment", 0, now + 0.3 + 1499.7, 1499));
    if (id > 2) {
      parents.OnEnded(id - 2);
    }
  }
  EXPECT_EQ(Inherited(parents, "stock-check", 1499, now + 0.8), 0);
}

// Failed input: requests without the time that remains, ends of unknown
// requests, and more routes and running requests than are remembered.
// Guards against unbounded memory.
TEST(CallParents, MemoryIsBounded)
{
  CallParents parents({ .mMaxParents = 10, .mMaxRoutes = 10 });
  for (std::uint64_t id = 0; id < 100; ++id) {
    parents.OnStarted(id, Parent("r" + std::to_string(id), 1, 1000));
    EXPECT_FALSE(
      parents.Match("c" + std::to_string(id), std::nullopt, Millis{ 0 }));
  }
  EXPECT_EQ(parents.Running(), 10U);
  parents.OnEnded(12345);
  EXPECT_EQ(Inherited(parents, "c", 1000, 0), 1);
}

} // namespace
} // namespace papayaway::gateway
