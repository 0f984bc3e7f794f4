#include <rollout/MoveController.h>

#include <gtest/gtest.h>

namespace papayaway {
namespace {

class MoveControllerTest : public testing::Test
{
protected:
  /** Runs the move until it ends or until aUntil. Each version gets aCalls
   *  per second; of those of the new version, aFailures fail. */
  void Run(Millis aUntil, std::uint64_t aCalls, std::uint64_t aFailures)
  {
    for (; mNow < aUntil; mNow += Seconds(1)) {
      for (const std::string version : { "v1", "v2" }) {
        mWindow.Add({ .mService = "s",
                      .mVersion = version,
                      .mRoute = "/bids",
                      .mCalls = aCalls,
                      .mFailures = version == "v2" ? aFailures : 0,
                      .mLatencySum = 5.0 * static_cast<double>(aCalls),
                      .mLatencySquareSum = 26.0 * static_cast<double>(aCalls) },
                    "dc",
                    mNow);
      }
      if (const auto next = mController.NextFact(mInput, mWindow, mNow)) {
        mInput.mCurrent = next;
        mShares.push_back(next->mShare);
        if (next->mState != MoveState::Running) {
          return;
        }
      }
    }
  }

  Millis mNow = Seconds(1000);
  MoveController mController;
  EvidenceWindow mWindow;
  MoveInput mInput{ .mService = "s",
                    .mMove = { .mTo = "v2" },
                    .mOldVersions = { "v1" },
                    .mRoutes = { "/bids" },
                    .mHoldsLease = true,
                    .mToken = 7 };
  std::vector<int> mShares;
};

// Guards against skipped stages and against the move of a healthy version that
// never finishes.
TEST_F(MoveControllerTest, HealthyVersionPassesEveryStage)
{
  Run(Seconds(1600), 10, 0);
  EXPECT_EQ(mShares, (std::vector<int>{ 10, 50, 200, 500, 1000, 1000 }));
  EXPECT_EQ(mInput.mCurrent->mState, MoveState::Finished);
}

// Guards against a move that waits for evidence beyond its deadline because the
// service gets no calls.
TEST_F(MoveControllerTest, IdleServiceFinishesByDeadline)
{
  Run(Seconds(1600), 0, 0);
  EXPECT_EQ(mInput.mCurrent->mState, MoveState::Finished);
}

// Guards against a faulty version that keeps its share of the traffic.
TEST_F(MoveControllerTest, FailingVersionIsTakenBack)
{
  Run(Seconds(1600), 4, 4);
  EXPECT_EQ(mInput.mCurrent->mState, MoveState::TakenBack);
  EXPECT_EQ(mShares, (std::vector<int>{ 10, 0 }));
  EXPECT_NE(mInput.mCurrent->mReason.find("calls failed"), std::string::npos);
}

// Guards against a conductor that was paused and raises the share after another
// node has become conductor.
TEST_F(MoveControllerTest, SupersededConductorProposesNothing)
{
  mInput.mCurrent = MoveFact{ .mService = "s",
                              .mTo = "v2",
                              .mStage = 1,
                              .mShare = 10,
                              .mStarted = mNow,
                              .mToken = 8 };
  Run(Seconds(1600), 10, 0);
  EXPECT_TRUE(mShares.empty());
  EXPECT_EQ(mController.WaitReason(mInput), "this node is not the conductor");
}

// Guards against a move that finishes although the new version got no call
// while the old version got many.
TEST_F(MoveControllerTest, BusyServiceWithoutNewVersionCallsStaysInStage)
{
  for (; mNow < Seconds(1700); mNow += Seconds(1)) {
    mWindow.Add(
      { .mService = "s", .mVersion = "v1", .mRoute = "/bids", .mCalls = 100 },
      "dc",
      mNow);
    if (const auto next = mController.NextFact(mInput, mWindow, mNow)) {
      mInput.mCurrent = next;
    }
  }
  EXPECT_EQ(mInput.mCurrent->mStage, 1U);
  EXPECT_EQ(mController.WaitReason(mInput), "no call reaches the new version");
}

} // namespace
} // namespace papayaway
