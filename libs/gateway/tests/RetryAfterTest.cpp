#include <gateway/RetryAfter.h>

#include <set>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

constexpr Millis kTimeLeft = Seconds(5);

/** @return promises of a target that has served this many requests a second for
 *    10 s, until now = 10 s. */
CapacityPromises
Serving(double aPerSecond)
{
  CapacityPromises promises;
  for (Millis now; now <= Seconds(10); now += Seconds(1 / aPerSecond)) {
    promises.OnServed(now);
  }
  return promises;
}

// Load: a target serves 40 requests a second, 10 wait, 20 callers are refused
// at once.
// Guards against refused callers that all return for the same free slot.
TEST(RetryAfter, RefusedCallersReturnOneAfterTheOther)
{
  CapacityPromises promises = Serving(40);
  EXPECT_NEAR(promises.ServedPerSecond(Seconds(10)), 40, 2);
  Millis last;
  for (int i = 0; i < 20; ++i) {
    const Millis wait = promises.Promise(10, {}, kTimeLeft, Seconds(10));
    EXPECT_NEAR(wait.mCount, 11 * 25 + i * 50, 40);
    EXPECT_GT(wait, last);
    last = wait;
  }
}

// Load: the same, and most callers have too little time left.
// Guards against capacity that is reserved for callers that give up before.
TEST(RetryAfter, CallersThatCannotBeServedInTimeGetNoPromise)
{
  CapacityPromises promises = Serving(40);
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(promises.Promise(40, {}, Seconds(2), Seconds(10)), Millis{ 600 });
  }
  EXPECT_NEAR(promises.Promise(10, {}, kTimeLeft, Seconds(10)).mCount, 275, 20);
}

// Failed input: a target that hangs serves nothing, and so does one that
// answers all requests with errors, whose slots are free at once.
// Guards against a Retry-After from a rate that is long past.
TEST(RetryAfter, ExpectedWaitIsUsedIfNothingIsServed)
{
  CapacityPromises promises = Serving(40);
  EXPECT_EQ(promises.Promise(10, Millis{ 700 }, kTimeLeft, Seconds(20)),
            Millis{ 700 });
  EXPECT_EQ(promises.Promise(10, Seconds(9), kTimeLeft, Seconds(20)),
            Millis{ 1500 });
}

// Load: callers with 1 s left are refused by an overloaded service.
// Guards against values that callers don't obey, and against callers that
// return at the same time because all get the longest one.
TEST(RetryAfter, ValuesAreSpreadBelowTheLongestOne)
{
  Random random(5);
  std::set<double> values;
  for (int i = 0; i < 100; ++i) {
    const Millis value = RetryAfter(Seconds(3), Seconds(1), random);
    EXPECT_LE(value, Millis{ 300 });
    EXPECT_GE(value, Millis{ 225 });
    values.insert(value.mCount);
  }
  EXPECT_GE(values.size(), 90U);
  EXPECT_GT(RetryAfter({}, Millis{ -5 }, random), Millis{});
}

// Load: 30 % of callers return immediately.
// Guards against callers that take the slots of those that wait as told, and
// against unbounded memory.
TEST(RetryAfter, CallersThatReturnTooSoonAreRecognised)
{
  EarlyReturns returns(100);
  returns.OnRefused("early", Millis{ 500 });
  EXPECT_EQ(returns.EarlyBy("early", Millis{ 100 }), Millis{ 400 });
  EXPECT_EQ(returns.EarlyBy("early", Millis{ 490 }), Millis{});
  EXPECT_EQ(returns.EarlyBy("first attempt", Millis{ 100 }), Millis{});
  for (int i = 0; i < 1000; ++i) {
    returns.OnRefused("request " + std::to_string(i % 300), Millis{ 500 });
  }
  EXPECT_EQ(returns.Entries(), 100U);
  EXPECT_EQ(returns.EarlyBy("early", Millis{ 100 }), Millis{});
}

} // namespace
} // namespace papayaway::gateway
