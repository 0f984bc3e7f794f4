#include <cstdio>

#include <rollout/ExposureBudget.h>
#include <rollout/MoveExperiment.h>

#include <gtest/gtest.h>

namespace papayaway {
namespace {

MoveExperimentResult
Measure(const MoveExperimentOptions& aOptions)
{
  const MoveExperimentResult result = RunMoveExperiment(aOptions);
  std::puts(ToString(aOptions, result).c_str());
  return result;
}

constexpr auto kAllBudgets = [] {
  int sum = 0;
  for (const int budget : ExposureBudget::kStageBudgets) {
    sum += budget;
  }
  return sum;
}();

class BadMove : public testing::TestWithParam<MoveFault>
{};

// Guards against a fault of any kind that is not found, and against more
// exposed bids than the header of ExposureBudget states.
TEST_P(BadMove, IsTakenBackWithinExposureBound)
{
  const MoveExperimentResult result = Measure({ .mFault = GetParam() });
  EXPECT_EQ(result.mTakenBack + result.mNoFaultyCall, result.mMoves);
  EXPECT_LE(result.mMostBids, kAllBudgets);
  EXPECT_LE(result.mMostBidsAfterFault, ExposureBudget::kStageBudgets.back());
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         BadMove,
                         testing::Values(MoveFault::AtOnce,
                                         MoveFault::Late,
                                         MoveFault::UnderLoad,
                                         MoveFault::OneRoute,
                                         MoveFault::OneDataCentre,
                                         MoveFault::Slow));

// Guards against good versions that are taken back by chance.
TEST(GoodMove, FinishesByDeadlineAtFewFailures)
{
  const MoveExperimentResult result =
    Measure({ .mSeed = 2, .mBaseFailures = 0.001 });
  EXPECT_EQ(result.mFinishedByDeadline, result.mMoves);
}

// Guards against the same at the highest failure rate of a good version.
TEST(GoodMove, FinishesByDeadlineAtOnePercentFailures)
{
  const MoveExperimentResult result =
    Measure({ .mSeed = 3, .mBaseFailures = 0.01 });
  EXPECT_EQ(result.mFinishedByDeadline, result.mMoves);
}

// Guards against a move that waits for evidence that scarce traffic does not
// give.
TEST(GoodMove, FinishesByDeadlineWithScarceTraffic)
{
  const MoveExperimentResult result = Measure({ .mCallsPerSecond = 1 });
  EXPECT_EQ(result.mFinishedByDeadline, result.mMoves);
}

// Guards against an unbounded exposure when traffic is too scarce to show a
// fault early.
TEST(ScarceBadMove, IsBounded)
{
  const MoveExperimentResult result =
    Measure({ .mFault = MoveFault::AtOnce, .mCallsPerSecond = 1 });
  EXPECT_EQ(result.mTakenBack, result.mMoves);
  EXPECT_LE(result.mMostBids, kAllBudgets);
}

} // namespace
} // namespace papayaway
