#include <gateway/RetryBudget.h>

#include <gtest/gtest.h>

#include <gateway/RunTimes.h>

namespace papayaway::gateway {
namespace {

// Guards against a retry storm: all requests fail, but the retries must stay a
// small fraction of the requests.
TEST(RetryBudget, RetriesAreLimitedToAShareOfTheRequests)
{
  RetryBudget budget({ .mTokensPerRequest = 0.1, .mReserve = 2 });
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    const Millis now{ i * 10.0 };
    budget.OnRequest("s", now);
    retries += budget.TryRetry("s", 0, now) ? 1 : 0;
  }
  EXPECT_GE(retries, 95);
  EXPECT_LE(retries, 105);
}

// Guards against a burst of retries during an overload, allowed by tokens that
// accumulated while requests succeeded.
TEST(RetryBudget, EarnedTokensAreBounded)
{
  RetryBudget budget(
    { .mTokensPerRequest = 0.1, .mReserve = 2, .mMaxEarned = 10 });
  for (int i = 0; i < 10000; ++i) {
    budget.OnRequest("s", {});
  }
  int retries = 0;
  while (budget.TryRetry("s", 0, {})) {
    ++retries;
  }
  EXPECT_EQ(retries, 12);
}

// Guards against less urgent requests using up the tokens that urgent ones need
// when all targets of a service refuse many requests: here each request asks
// for a retry, and 1 in 10 is urgent.
TEST(RetryBudget, UrgentRequestsAreRetriedFirstWhenTokensAreFew)
{
  RetryBudget budget({ .mTokensPerRequest = 0.1, .mReserve = 0 });
  int urgent = 0;
  int others = 0;
  for (int i = 0; i < 1000; ++i) {
    const Millis now{ i * 10.0 };
    budget.OnRequest("s", now);
    const bool isUrgent = i % 10 == 0;
    const bool retried = budget.TryRetry("s", isUrgent ? 0 : 2, now);
    urgent += isUrgent && retried ? 1 : 0;
    others += !isUrgent && retried ? 1 : 0;
  }
  EXPECT_GE(urgent, 90);
  EXPECT_LE(urgent + others, 105);
}

TEST(RetryBudget, ServicesHaveSeparateBudgets)
{
  RetryBudget budget({ .mReserve = 1 });
  EXPECT_TRUE(budget.TryRetry("a", 0, {}));
  EXPECT_FALSE(budget.TryRetry("a", 0, {}));
  EXPECT_TRUE(budget.TryRetry("b", 0, {}));
}

TEST(RunTimes, EachRouteHasItsOwnMean)
{
  RunTimes times;
  for (int i = 0; i < 200; ++i) {
    times.OnRun("fast", Millis{ 10 });
    times.OnRun("slow", Millis{ 500 });
  }
  EXPECT_NEAR(times.Mean("fast").mCount, 10, 1);
  EXPECT_NEAR(times.Mean("slow").mCount, 500, 1);
  EXPECT_GT(times.Mean("other").mCount, 100);
}

} // namespace
} // namespace papayaway::gateway
