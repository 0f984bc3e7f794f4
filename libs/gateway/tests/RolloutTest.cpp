#include <gateway/Rollout.h>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

const RolloutOrder kOrder{ .mService = "s",
                           .mVersion = "v2",
                           .mPeriod = Seconds(16),
                           .mOrderedAt = 7 };

VersionEvidence
Counts(const std::string& aVersion,
       const std::string& aRoute,
       const VersionCounts& aCounts)
{
  return { { { .mService = "s", .mVersion = aVersion, .mRoute = aRoute },
             aCounts } };
}

EvidenceBook
HealthyOld()
{
  EvidenceBook book;
  book.Merge(
    "old",
    1,
    Counts("v1", "a", { .mRuns = 500, .mFailures = 2, .mTime = Seconds(100) }));
  book.Merge(
    "old", 1, Counts("v1", "b", { .mRuns = 200, .mTime = Seconds(60) }));
  return book;
}

RolloutProgress
AtStage(std::uint32_t aStage, Millis aSince)
{
  return { .mService = "s",
           .mVersion = "v2",
           .mOrderedAt = 7,
           .mStage = aStage,
           .mStageSince = aSince };
}

std::optional<RolloutProgress>
Next(const std::optional<RolloutProgress>& aProgress,
     Millis aNow,
     const EvidenceBook& aBook,
     bool aOldIdle = false)
{
  return NextStep(kOrder,
                  { .mProgress = aProgress,
                    .mNow = aNow,
                    .mOldIdle = aOldIdle,
                    .mNewReady = true },
                  aBook,
                  {});
}

TEST(Rollout, OrderStartsTheFirstStage)
{
  const auto next = Next(std::nullopt, Seconds(1), HealthyOld());
  ASSERT_TRUE(next);
  EXPECT_EQ(next->mStage, 0U);
  EXPECT_EQ(next->mState, RolloutState::Running);
}

// Guards against a version that fails on one route only and hides among the
// good runs of the others.
TEST(Rollout, FaultOnOneRouteIsFound)
{
  EvidenceBook book = HealthyOld();
  book.Merge("new", 1, Counts("v2", "a", { .mRuns = 60 }));
  book.Merge("new", 1, Counts("v2", "b", { .mRuns = 8, .mFailures = 4 }));
  EXPECT_NE(FindFault(book, kOrder, {}), "");
}

TEST(Rollout, SlowVersionIsFound)
{
  EvidenceBook book = HealthyOld();
  book.Merge("new", 1, Counts("v2", "a", { .mRuns = 10, .mSlow = 5 }));
  EXPECT_NE(FindFault(book, kOrder, {}), "");
}

// Guards against blaming the new version for an outage that all share.
TEST(Rollout, FaultThatTheOldVersionSharesIsNotTheNewOnes)
{
  EvidenceBook book;
  book.Merge("old", 1, Counts("v1", "a", { .mRuns = 100, .mFailures = 40 }));
  book.Merge("new", 1, Counts("v2", "a", { .mRuns = 20, .mFailures = 9 }));
  EXPECT_EQ(FindFault(book, kOrder, {}), "");
}

// Guards against 50 bad answers of a bad version: half of its answers fail
// and each node sees only a part of them.
TEST(Rollout, FaultIsFoundFromTheSumOfAllNodes)
{
  EvidenceBook book = HealthyOld();
  for (int node = 0; node < 4; ++node) {
    book.Merge("new" + std::to_string(node),
               1,
               Counts("v2", "a", { .mRuns = 2, .mFailures = 1 }));
  }
  EXPECT_NE(FindFault(book, kOrder, {}), "");
}

// Guards against counts of a node that are added again with each message.
TEST(Rollout, RepeatedEvidenceCountsOnce)
{
  EvidenceBook book;
  for (int i = 0; i < 5; ++i) {
    book.Merge("new", 1, Counts("v2", "a", { .mRuns = 3, .mFailures = 1 }));
  }
  EXPECT_EQ(book.ByRoute("s", "v2", false).at("a").mFailures, 1U);
}

// Guards against a rise before a fault that comes late could show.
TEST(Rollout, FirstStageLastsAFixedPartOfThePeriod)
{
  EvidenceBook book = HealthyOld();
  book.Merge("new", 1, Counts("v2", "a", { .mRuns = 60 }));
  book.Merge("new", 1, Counts("v2", "b", { .mRuns = 30 }));
  EXPECT_FALSE(Next(AtStage(0, {}), Seconds(5), book));
  const auto next = Next(AtStage(0, {}), Seconds(7), book);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->mStage, 1U);
}

// Guards against a rise without evidence on a busy route.
TEST(Rollout, BusyRouteWithoutRunsHoldsTheFirstStage)
{
  EvidenceBook book = HealthyOld();
  book.Merge("new", 1, Counts("v2", "a", { .mRuns = 60 }));
  EXPECT_FALSE(Next(AtStage(0, {}), Seconds(7), book));
}

// Guards against "succeeded" while old targets still work: they are stopped
// at once and would cut their requests off.
TEST(Rollout, SucceedsOnlyWhenTheOldTargetsAreIdle)
{
  const EvidenceBook book = HealthyOld();
  const RolloutProgress last = AtStage(3, Seconds(9));
  EXPECT_FALSE(Next(last, Seconds(11), book, false));
  const auto next = Next(last, Seconds(11), book, true);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->mState, RolloutState::Succeeded);
}

TEST(Rollout, DecidedStateIsFinal)
{
  RolloutProgress rolledBack = AtStage(1, {});
  rolledBack.mState = RolloutState::RolledBack;
  EXPECT_FALSE(Next(rolledBack, Seconds(12), HealthyOld(), true));
  EXPECT_TRUE(rolledBack.Supersedes(AtStage(3, {})));
  EXPECT_FALSE(AtStage(3, {}).Supersedes(rolledBack));
}

// Guards against an order that is given again with another version and is
// taken for the decided one.
TEST(Rollout, NewerOrderSupersedesADecidedOne)
{
  RolloutProgress rolledBack = AtStage(1, {});
  rolledBack.mState = RolloutState::RolledBack;
  RolloutProgress newer = AtStage(0, {});
  newer.mOrderedAt = 9;
  EXPECT_TRUE(newer.Supersedes(rolledBack));
  EXPECT_FALSE(rolledBack.Supersedes(newer));
}

} // namespace
} // namespace papayaway::gateway
