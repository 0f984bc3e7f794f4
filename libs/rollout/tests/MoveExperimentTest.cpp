#include <cstdio>

#include <rollout/ExposureBudget.h>
#include <rollout/MoveExperiment.h>

#include <gtest/gtest.h>

namespace papayaway {
namespace {

MoveExperimentResult
RunAndPrint(const MoveExperimentOptions& aOptions)
{
  const MoveExperimentResult result = RunMoveExperiment(aOptions);
  std::puts(ToString(aOptions, result).c_str());
  return result;
}

constexpr auto kTotalStageBudget = [] {
  int sum = 0;
  for (const int budget : ExposureBudget::kStageBudgets) {
    sum += budget;
  }
  return sum;
}();

class FaultyVersionMove : public testing::TestWithParam<MoveFault>
{};

// Guards against a fault of any kind that is not detected, and against a faulty
// version that runs more bids than ExposureBudget allows.
TEST_P(FaultyVersionMove, IsTakenBackWithinExposureBound)
{
  const MoveExperimentResult result = RunAndPrint({ .mFault = GetParam() });
  EXPECT_EQ(result.mMovesTakenBack + result.mMovesWithoutFaultyCall,
            result.mMoves);
  EXPECT_LE(result.mMaxBids, kTotalStageBudget);
  EXPECT_LE(result.mMaxBidsAfterFault, ExposureBudget::kStageBudgets.back());
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         FaultyVersionMove,
                         testing::Values(MoveFault::AtOnce,
                                         MoveFault::Late,
                                         MoveFault::UnderLoad,
                                         MoveFault::OneRoute,
                                         MoveFault::OneDataCentre,
                                         MoveFault::Slow));

// Guards against healthy versions that are taken back because of random
// failures.
TEST(HealthyVersionMove, FinishesByDeadlineAtLowFailureRate)
{
  const MoveExperimentResult result =
    RunAndPrint({ .mSeed = 2, .mBaseFailureRate = 0.001 });
  EXPECT_EQ(result.mFinishedByDeadline, result.mMoves);
}

// Guards against taking back a healthy version when both versions have a
// failure rate of 1%, the highest at which a version counts as healthy.
TEST(HealthyVersionMove, FinishesByDeadlineAtOnePercentFailureRate)
{
  const MoveExperimentResult result =
    RunAndPrint({ .mSeed = 3, .mBaseFailureRate = 0.01 });
  EXPECT_EQ(result.mFinishedByDeadline, result.mMoves);
}

// Guards against a move that waits beyond its deadline for more evidence than
// low traffic provides.
TEST(HealthyVersionMove, FinishesByDeadlineWithLowTraffic)
{
  const MoveExperimentResult result = RunAndPrint({ .mCallsPerSecond = 1 });
  EXPECT_EQ(result.mFinishedByDeadline, result.mMoves);
}

// Guards against a faulty version that runs bids beyond the budget while the
// traffic is too low to detect the fault early.
TEST(LowTrafficFaultyVersionMove, ExposureIsBounded)
{
  const MoveExperimentResult result =
    RunAndPrint({ .mFault = MoveFault::AtOnce, .mCallsPerSecond = 1 });
  EXPECT_EQ(result.mMovesTakenBack, result.mMoves);
  EXPECT_LE(result.mMaxBids, kTotalStageBudget);
}

} // namespace
} // namespace papayaway
