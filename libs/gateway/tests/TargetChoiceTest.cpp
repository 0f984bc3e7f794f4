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

} // namespace
} // namespace papayaway::gateway
