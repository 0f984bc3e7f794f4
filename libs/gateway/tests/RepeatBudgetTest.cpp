#include <gateway/RepeatBudget.h>

#include <gtest/gtest.h>

#include <gateway/NodeRecord.h>
#include <gateway/RunTimes.h>

namespace papayaway::gateway {
namespace {

// Guards against a retry storm: all requests fail, but the retries must stay a
// small share of the requests.
TEST(RepeatBudget, RetriesAreLimitedToAShareOfTheRequests)
{
  RepeatBudget budget({ .mShare = 0.1, .mReserve = 2 });
  int repeats = 0;
  for (int i = 0; i < 1000; ++i) {
    const Millis now{ i * 10.0 };
    budget.OnRequest("s", now);
    repeats += budget.TryRepeat("s", 0, now) ? 1 : 0;
  }
  EXPECT_GE(repeats, 95);
  EXPECT_LE(repeats, 105);
}

// Guards against a burst of retries during an overload, allowed by tokens that
// accumulated while requests succeeded.
TEST(RepeatBudget, EarnedTokensAreBounded)
{
  RepeatBudget budget({ .mShare = 0.1, .mReserve = 2, .mMaxEarned = 10 });
  for (int i = 0; i < 10000; ++i) {
    budget.OnRequest("s", {});
  }
  int repeats = 0;
  while (budget.TryRepeat("s", 0, {})) {
    ++repeats;
  }
  EXPECT_EQ(repeats, 12);
}

// Guards against less urgent requests using up the tokens that urgent ones need
// when all targets of a service refuse many requests: here each request asks
// for a retry, and 1 in 10 is urgent.
TEST(RepeatBudget, UrgentRequestsAreRetriedFirstWhenTokensAreFew)
{
  RepeatBudget budget({ .mShare = 0.1, .mReserve = 0 });
  int urgent = 0;
  int others = 0;
  for (int i = 0; i < 1000; ++i) {
    const Millis now{ i * 10.0 };
    budget.OnRequest("s", now);
    const bool isUrgent = i % 10 == 0;
    const bool repeated = budget.TryRepeat("s", isUrgent ? 0 : 2, now);
    urgent += isUrgent && repeated ? 1 : 0;
    others += !isUrgent && repeated ? 1 : 0;
  }
  EXPECT_GE(urgent, 90);
  EXPECT_LE(urgent + others, 105);
}

TEST(RepeatBudget, ServicesHaveSeparateBudgets)
{
  RepeatBudget budget({ .mReserve = 1 });
  EXPECT_TRUE(budget.TryRepeat("a", 0, {}));
  EXPECT_FALSE(budget.TryRepeat("a", 0, {}));
  EXPECT_TRUE(budget.TryRepeat("b", 0, {}));
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

// Guards against an older record that arrives late and restores a target that
// has stopped.
TEST(NodeDirectory, OlderRecordDoesNotReplaceANewerOne)
{
  const NodeRecord first{
    .mNode = "n", .mPeerAddress = "a:1", .mLifetime = 1, .mSequence = 9
  };
  const NodeRecord second{
    .mNode = "n", .mPeerAddress = "a:1", .mLifetime = 2, .mSequence = 1
  };
  NodeDirectory directory;
  EXPECT_TRUE(directory.Merge(second));
  EXPECT_FALSE(directory.Merge(first));
  EXPECT_FALSE(directory.Merge(second));
  EXPECT_EQ(directory.Find("n")->mLifetime, 2U);
}

// Guards against a billed store write by each node that restarts unchanged.
TEST(NodeRecord, RestartAloneDoesNotChangeTheContent)
{
  const NodeRecord before{
    .mNode = "n", .mPeerAddress = "a:1", .mLifetime = 1, .mSequence = 9
  };
  NodeRecord after = before;
  after.mLifetime = 2;
  after.mSequence = 1;
  EXPECT_TRUE(after.SaysTheSame(before));
  after.mTarget = TargetInfo{ .mId = "t", .mState = TargetState::Ready };
  EXPECT_FALSE(after.SaysTheSame(before));
}

// Guards against a node that connects to itself and receives its own messages.
// This happens if the store still has the record of a removed node that had the
// same address.
TEST(NodeDirectory, LaterNodeReplacesAnotherNodeWithTheSameAddress)
{
  const NodeRecord departed{ .mNode = "old",
                             .mPeerAddress = "a:1",
                             .mLifetime = 1 };
  const NodeRecord successor{ .mNode = "new",
                              .mPeerAddress = "a:1",
                              .mLifetime = 5 };
  NodeDirectory directory;
  EXPECT_TRUE(directory.Merge(departed));
  EXPECT_TRUE(directory.Merge(successor));
  EXPECT_EQ(directory.Find("old"), nullptr);
  EXPECT_FALSE(directory.Merge(departed));
  EXPECT_NE(directory.Find("new"), nullptr);
}

} // namespace
} // namespace papayaway::gateway
