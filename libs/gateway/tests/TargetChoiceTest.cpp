#include <gateway/TargetChoice.h>

#include <map>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

TargetCandidate
Candidate(Distance aDistance, int aRunning, Millis aMeanRun = Millis{ 200 })
{
  return { .mNode = "n",
           .mDistance = aDistance,
           .mLoad = {
             .mSlots = 10, .mRunning = aRunning, .mMeanRunTime = aMeanRun } };
}

std::size_t
Choose(const std::vector<TargetCandidate>& aCandidates,
       Millis aObjective = Millis{ 600 })
{
  Random random(7);
  return ChooseTarget(aCandidates, { .mObjectiveLeft = aObjective }, {}, random)
    ->mIndex;
}

TEST(TargetChoice, NoChoiceWithoutCandidates)
{
  Random random(7);
  EXPECT_FALSE(ChooseTarget({}, {}, {}, random));
}

// Guards against billed traffic to another data centre for a faster response
// that has no additional value, because the near target meets the objective
// too.
TEST(TargetChoice, NearTargetWithinTheObjectiveIsPreferred)
{
  EXPECT_EQ(Choose({ Candidate(Distance::SameRegion, 0, Millis{ 100 }),
                     Candidate(Distance::SameDataCentre, 9, Millis{ 300 }) }),
            1U);
}

// Guards against long waits during a burst in one data centre: its targets are
// full, while those of other data centres are idle.
TEST(TargetChoice, BurstOverflowsToAnotherDataCentreOfTheRegion)
{
  EXPECT_EQ(Choose({ Candidate(Distance::SameDataCentre, 40),
                     Candidate(Distance::OtherRegion, 0),
                     Candidate(Distance::SameRegion, 0) }),
            2U);
}

// Guards against choosing a slow target because it has fewer requests.
TEST(TargetChoice, SlowTargetIsAvoided)
{
  EXPECT_EQ(Choose({ Candidate(Distance::SameDataCentre, 2, Millis{ 1000 }),
                     Candidate(Distance::SameDataCentre, 8, Millis{ 200 }) }),
            1U);
}

// Guards against a target that attracts requests by failing them: failures are
// fast, so the target always looks idle.
TEST(TargetChoice, FailingTargetIsAvoided)
{
  TargetCandidate failing =
    Candidate(Distance::SameDataCentre, 0, Millis{ 50 });
  failing.mLoad.mSuccessRate = 0.55;
  EXPECT_EQ(Choose({ failing, Candidate(Distance::SameDataCentre, 9) }), 1U);
  EXPECT_EQ(Choose({ failing, Candidate(Distance::SameRegion, 3) }), 0U)
    << "the failing target is nearer and still meets the objective";
}

// Guards against sending requests to another region for a small gain when the
// targets of both regions are overloaded.
TEST(TargetChoice, NearTargetIsPreferredIfAllAreOverloaded)
{
  EXPECT_EQ(Choose({ Candidate(Distance::SameDataCentre, 50),
                     Candidate(Distance::OtherRegion, 48) }),
            0U);
}

// Guards against sending all requests to one target until its next load report:
// requests sent since the last report must count as load.
TEST(TargetChoice, RequestsSinceTheLastLoadReportCount)
{
  TargetCandidate loaded = Candidate(Distance::SameDataCentre, 0);
  loaded.mSentSinceReport = 10;
  EXPECT_EQ(Choose({ loaded, Candidate(Distance::SameDataCentre, 5) }), 1U);
}

// Guards against all nodes choosing the same one of several equal targets.
TEST(TargetChoice, EqualTargetsShareTheRequests)
{
  const std::vector<TargetCandidate> candidates = {
    Candidate(Distance::SameDataCentre, 3),
    Candidate(Distance::SameDataCentre, 3)
  };
  Random random(7);
  std::map<std::size_t, int> counts;
  for (int i = 0; i < 200; ++i) {
    ++counts[ChooseTarget(candidates, {}, {}, random)->mIndex];
  }
  EXPECT_GT(counts[0], 60);
  EXPECT_GT(counts[1], 60);
}

/** @return the share of requests of the first candidate among itself and 9
 * usual ones in the same data centre, by a spread choice. */
double
ShareOf(const TargetCandidate& aFirst)
{
  std::vector<TargetCandidate> candidates(
    10, Candidate(Distance::SameDataCentre, 5));
  candidates[0] = aFirst;
  Random random(7);
  int chosen = 0;
  for (int i = 0; i < 10'000; ++i) {
    const auto choice =
      ChooseTarget(candidates,
                   { .mObjectiveLeft = Seconds(5), .mSpread = true },
                   {},
                   random);
    chosen += choice->mIndex == 0 ? 1 : 0;
  }
  return chosen / 10'000.0;
}

// Load: 10 targets, one of which answers fast with errors, hangs, runs on a
// node that is 5 times slower, is in a slow period, or is full.
// Guards against a target that gets its even share, a tenth, although requests
// fail or take long there.
TEST(TargetChoice, SpreadChoiceAvoidsUnsuitableTargets)
{
  EXPECT_NEAR(ShareOf(Candidate(Distance::SameDataCentre, 5)), 0.1, 0.01);
  TargetCandidate failing =
    Candidate(Distance::SameDataCentre, 0, Millis{ 10 });
  failing.mLoad.mSuccessRate = 0;
  EXPECT_LT(ShareOf(failing), 0.06);
  const TargetCandidate hanging =
    Candidate(Distance::SameDataCentre, 10, Seconds(3));
  EXPECT_LT(ShareOf(hanging), 0.005);
  const TargetCandidate slowNode =
    Candidate(Distance::SameDataCentre, 5, Seconds(1));
  EXPECT_LT(ShareOf(slowNode), 0.03);
  TargetCandidate slow = Candidate(Distance::SameDataCentre, 5);
  slow.mLoad.mSlowdown = 2.5;
  EXPECT_LT(ShareOf(slow), 0.05);
  slow.mReportAge = Seconds(10);
  EXPECT_GT(ShareOf(slow), 0.09) << "the report is old";
  EXPECT_LT(ShareOf(Candidate(Distance::SameDataCentre, 10)), 0.025);
}

// Load: the targets of the own data centre are full, then all are.
// Guards against a spread choice that stays with targets that miss the
// objective, or goes to another region without need.
TEST(TargetChoice, SpreadChoicePrefersNearTargetsWithinTheObjective)
{
  Random random(7);
  const RequestRequirements requirements{ .mObjectiveLeft{ 600 },
                                          .mSpread = true };
  const std::vector<TargetCandidate> overflow = {
    Candidate(Distance::SameDataCentre, 60),
    Candidate(Distance::OtherRegion, 0),
    Candidate(Distance::SameRegion, 0)
  };
  EXPECT_EQ(ChooseTarget(overflow, requirements, {}, random)->mIndex, 2U);
  const std::vector<TargetCandidate> full = {
    Candidate(Distance::SameDataCentre, 60), Candidate(Distance::SameRegion, 60)
  };
  EXPECT_TRUE(ChooseTarget(full, requirements, {}, random));
}

} // namespace
} // namespace papayaway::gateway
