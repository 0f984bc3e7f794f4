#include <rollout/ExposureBudget.h>
#include <rollout/MoveReport.h>
#include <rollout/TakeBackDecision.h>

#include <gtest/gtest.h>

namespace papayaway {
namespace {

MoveReportInput
RunningMove()
{
  return { .mService = "s",
           .mMove = { .mTo = "v2" },
           .mFact = MoveFact{ .mService = "s",
                              .mTo = "v2",
                              .mStage = 2,
                              .mShare = 50,
                              .mStarted = Seconds(1000) },
           .mConductor = "n1" };
}

// Guards against reporting a move as in progress although its state can't be
// observed in full.
TEST(MoveReport, UnknownListsWhatIsUnobserved)
{
  MoveReportInput input = RunningMove();
  EXPECT_EQ(MakeMoveReport(input, Seconds(1001)).mProgress,
            MoveProgress::InProgress);
  input.mUnreachableDataCentres = { "nbo-2" };
  input.mConductor = "";
  const MoveReport report = MakeMoveReport(input, Seconds(1601));
  EXPECT_EQ(report.mProgress, MoveProgress::Unknown);
  EXPECT_EQ(report.mUnobserved.size(), 3U);
}

// Guards against reporting a move that was taken back as unknown because other
// parts of the state can't be observed.
TEST(MoveReport, TakenBackIsFinal)
{
  MoveReportInput input = RunningMove();
  input.mFact->mState = MoveState::TakenBack;
  input.mFact->mReason = "route /a: 3 of 3 calls failed";
  input.mConductor = "";
  const MoveReport report = MakeMoveReport(input, Seconds(5000));
  EXPECT_EQ(report.mProgress, MoveProgress::TakenBack);
  EXPECT_EQ(report.mReason, "route /a: 3 of 3 calls failed");
}

// Guards against serving nodes that together exceed the budget of a stage, and
// against a node that gets a new quota when the set of nodes changes.
TEST(ExposureBudget, NodesDivideTheStageBudget)
{
  const std::vector<std::string> nodes{ "a", "b", "c", "d" };
  MoveFact fact{ .mService = "s", .mTo = "v2", .mStage = 1 };
  int admitted = 0;
  for (const std::string& node : nodes) {
    ExposureBudget budget;
    budget.Update(fact, node, nodes);
    while (budget.Admit("/bids")) {
      ++admitted;
    }
    budget.Update(fact, node, { node });
    EXPECT_FALSE(budget.Admit("/bids"));
  }
  EXPECT_EQ(admitted, ExposureBudget::kStageBudgets[0]);
}

// Guards against non-idempotent calls to a new version before this node has the
// fact of its move or after the move was taken back.
TEST(ExposureBudget, AdmitsNothingBeforeMoveOrAfterTakeBack)
{
  ExposureBudget budget;
  EXPECT_FALSE(budget.Admit("/bids"));
  MoveFact fact{ .mStage = 3, .mShare = 200 };
  budget.Update(fact, "a", { "a" });
  EXPECT_TRUE(budget.Admit("/bids"));
  fact.mState = MoveState::TakenBack;
  budget.Update(fact, "a", { "a" });
  EXPECT_FALSE(budget.Admit("/bids"));
}

// Guards against a node that needs the lease or the platform to take a move
// back, and against one that takes it back after the old version may have been
// stopped.
TEST(TakeBackDecision, NeedsNoLeaseAndEndsSixtySecondsAfterFinish)
{
  EvidenceWindow window;
  TakeBackDecision takeBackDecision;
  MoveInput input{ .mService = "s",
                   .mMove = { .mTo = "v2" },
                   .mOldVersions = { "v1" },
                   .mRoutes = { "/a" },
                   .mCurrent = RunningMove().mFact };
  EXPECT_FALSE(takeBackDecision.Decide(input, "n", window, Seconds(10)));
  window.Add({ .mService = "s",
               .mVersion = "v2",
               .mRoute = "/a",
               .mCalls = 4,
               .mFailures = 4 },
             "dc",
             Seconds(11));
  const auto fact = takeBackDecision.Decide(input, "n", window, Seconds(11));
  ASSERT_TRUE(fact);
  EXPECT_EQ(fact->mState, MoveState::TakenBack);
  EXPECT_EQ(fact->mShare, 0);
  input.mCurrent->mState = MoveState::Finished;
  EXPECT_TRUE(takeBackDecision.Decide(input, "n", window, Seconds(12)));
  EXPECT_FALSE(takeBackDecision.Decide(input, "n", window, Seconds(73)));
}

} // namespace
} // namespace papayaway
