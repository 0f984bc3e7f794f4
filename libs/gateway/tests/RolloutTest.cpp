#include <gateway/Rollout.h>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

const RolloutOrder kOrder{ .mService = "s",
                           .mVersion = "v2",
                           .mPeriod = Seconds(16),
                           .mOrderVersion = 7 };

VersionEvidence
MakeEvidence(const std::string& aVersion,
             const std::string& aRoute,
             const VersionCounts& aCounts)
{
  return { { { .mService = "s", .mVersion = aVersion, .mRoute = aRoute },
             aCounts } };
}

EvidenceAggregator
EvidenceOfHealthyOldVersion()
{
  EvidenceAggregator evidence;
  evidence.Merge(
    "old",
    1,
    MakeEvidence(
      "v1",
      "a",
      { .mRuns = 500, .mFailures = 2, .mTotalRunTime = Seconds(100) }));
  evidence.Merge(
    "old",
    1,
    MakeEvidence("v1", "b", { .mRuns = 200, .mTotalRunTime = Seconds(60) }));
  return evidence;
}

RolloutProgress
ProgressAtStage(std::uint32_t aStage, Millis aSince)
{
  return { .mService = "s",
           .mVersion = "v2",
           .mOrderVersion = 7,
           .mStage = aStage,
           .mStageStarted = aSince };
}

std::optional<RolloutProgress>
Next(const std::optional<RolloutProgress>& aProgress,
     Millis aNow,
     const EvidenceAggregator& aEvidence,
     bool aOldIdle = false)
{
  return NextStep(kOrder,
                  { .mProgress = aProgress,
                    .mNow = aNow,
                    .mOldTargetsIdle = aOldIdle,
                    .mNewTargetReady = true },
                  aEvidence,
                  {});
}

TEST(Rollout, OrderStartsTheFirstStage)
{
  const auto next =
    Next(std::nullopt, Seconds(1), EvidenceOfHealthyOldVersion());
  ASSERT_TRUE(next);
  EXPECT_EQ(next->mStage, 0U);
  EXPECT_EQ(next->mState, RolloutState::Running);
}

// Guards against missing a fault on a single route because the successful runs
// of other routes outweigh it.
TEST(Rollout, FaultOnOneRouteIsFound)
{
  EvidenceAggregator evidence = EvidenceOfHealthyOldVersion();
  evidence.Merge("new", 1, MakeEvidence("v2", "a", { .mRuns = 60 }));
  evidence.Merge(
    "new", 1, MakeEvidence("v2", "b", { .mRuns = 8, .mFailures = 4 }));
  EXPECT_NE(FindFault(evidence, kOrder, {}), "");
}

TEST(Rollout, SlowVersionIsFound)
{
  EvidenceAggregator evidence = EvidenceOfHealthyOldVersion();
  evidence.Merge(
    "new", 1, MakeEvidence("v2", "a", { .mRuns = 10, .mSlowRuns = 5 }));
  EXPECT_NE(FindFault(evidence, kOrder, {}), "");
}

// Guards against blaming the new version for an outage that affects all
// versions.
TEST(Rollout, FaultOfAllVersionsIsNotBlamedOnTheNewOne)
{
  EvidenceAggregator evidence;
  evidence.Merge(
    "old", 1, MakeEvidence("v1", "a", { .mRuns = 100, .mFailures = 40 }));
  evidence.Merge(
    "new", 1, MakeEvidence("v2", "a", { .mRuns = 20, .mFailures = 9 }));
  EXPECT_EQ(FindFault(evidence, kOrder, {}), "");
}

// Guards against judging the counts of each node separately. If half of the
// responses of a version fail, each node counts only a few failures, and 50
// failed responses are sent before one node has counted enough.
TEST(Rollout, FaultIsFoundFromTheSumOfAllNodes)
{
  EvidenceAggregator evidence = EvidenceOfHealthyOldVersion();
  for (int node = 0; node < 4; ++node) {
    evidence.Merge("new" + std::to_string(node),
                   1,
                   MakeEvidence("v2", "a", { .mRuns = 2, .mFailures = 1 }));
  }
  EXPECT_NE(FindFault(evidence, kOrder, {}), "");
}

// Guards against adding the counts of a node again with each message.
TEST(Rollout, RepeatedEvidenceCountsOnce)
{
  EvidenceAggregator evidence;
  for (int i = 0; i < 5; ++i) {
    evidence.Merge(
      "new", 1, MakeEvidence("v2", "a", { .mRuns = 3, .mFailures = 1 }));
  }
  EXPECT_EQ(evidence.CountsByRoute("s", "v2", false).at("a").mFailures, 1U);
}

// Guards against increasing the share before faults that appear only some time
// after the start can be found.
TEST(Rollout, FirstStageLastsAMinimumFractionOfThePeriod)
{
  EvidenceAggregator evidence = EvidenceOfHealthyOldVersion();
  evidence.Merge("new", 1, MakeEvidence("v2", "a", { .mRuns = 60 }));
  evidence.Merge("new", 1, MakeEvidence("v2", "b", { .mRuns = 30 }));
  EXPECT_FALSE(Next(ProgressAtStage(0, {}), Seconds(5), evidence));
  const auto next = Next(ProgressAtStage(0, {}), Seconds(7), evidence);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->mStage, 1U);
}

// Guards against increasing the share without evidence on a busy route.
TEST(Rollout, BusyRouteWithoutRunsExtendsTheFirstStage)
{
  EvidenceAggregator evidence = EvidenceOfHealthyOldVersion();
  evidence.Merge("new", 1, MakeEvidence("v2", "a", { .mRuns = 60 }));
  EXPECT_FALSE(Next(ProgressAtStage(0, {}), Seconds(7), evidence));
}

// Guards against reporting success while targets of old versions have requests
// in flight: they are stopped as soon as the rollout has succeeded, which would
// abort these requests.
TEST(Rollout, SucceedsOnlyWhenTheOldTargetsAreIdle)
{
  const EvidenceAggregator evidence = EvidenceOfHealthyOldVersion();
  const RolloutProgress last = ProgressAtStage(3, Seconds(9));
  EXPECT_FALSE(Next(last, Seconds(11), evidence, false));
  const auto next = Next(last, Seconds(11), evidence, true);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->mState, RolloutState::Succeeded);
}

TEST(Rollout, RolledBackStateIsFinal)
{
  RolloutProgress rolledBack = ProgressAtStage(1, {});
  rolledBack.mState = RolloutState::RolledBack;
  EXPECT_FALSE(
    Next(rolledBack, Seconds(12), EvidenceOfHealthyOldVersion(), true));
  EXPECT_TRUE(rolledBack.Supersedes(ProgressAtStage(3, {})));
  EXPECT_FALSE(ProgressAtStage(3, {}).Supersedes(rolledBack));
}

// Guards against taking a new order for an earlier one whose rollout has ended,
// so that the new rollout never starts.
TEST(Rollout, NewerOrderSupersedesARolledBackOne)
{
  RolloutProgress rolledBack = ProgressAtStage(1, {});
  rolledBack.mState = RolloutState::RolledBack;
  RolloutProgress newer = ProgressAtStage(0, {});
  newer.mOrderVersion = 9;
  EXPECT_TRUE(newer.Supersedes(rolledBack));
  EXPECT_FALSE(rolledBack.Supersedes(newer));
}

// Guards against requests for a rolled-back version once the next version is
// ordered: its targets are still running then.
TEST(Rollout, RolledBackVersionStaysOutAfterTheNextOrder)
{
  RolloutProgress progress = ProgressAtStage(1, {});
  progress.mState = RolloutState::RolledBack;
  EXPECT_TRUE(progress.IsWithdrawn("v2"));
  RolloutOrder order = kOrder;
  for (int version = 3; version < 20; ++version) {
    ++order.mOrderVersion;
    order.mVersion = "v" + std::to_string(version);
    const auto next = NextStep(
      order, { .mProgress = progress }, EvidenceAggregator(), RolloutPolicy());
    ASSERT_TRUE(next);
    EXPECT_TRUE(next->IsWithdrawn(progress.mVersion)) << version;
    EXPECT_FALSE(next->IsWithdrawn(order.mVersion)) << version;
    EXPECT_LE(next->mWithdrawnVersions.size(), kMaxWithdrawnVersions);
    progress = *next;
    progress.mState = RolloutState::RolledBack;
  }
}

TEST(Rollout, WithdrawnVersionThatIsOrderedAgainGetsRequests)
{
  RolloutProgress progress = ProgressAtStage(1, {});
  progress.mState = RolloutState::RolledBack;
  RolloutOrder order = kOrder;
  ++order.mOrderVersion;
  const auto next = NextStep(
    order, { .mProgress = progress }, EvidenceAggregator(), RolloutPolicy());
  ASSERT_TRUE(next);
  EXPECT_FALSE(next->IsWithdrawn("v2"));
}

} // namespace
} // namespace papayaway::gateway
