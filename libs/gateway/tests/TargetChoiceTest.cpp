#include <gateway/TargetChoice.h>

#include <map>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

TargetCandidate
At(Distance aDistance, int aRunning, Millis aMeanRun = Millis{ 200 })
{
  return { .mNode = "n",
           .mDistance = aDistance,
           .mLoad = {
             .mSlots = 10, .mRunning = aRunning, .mMeanRun = aMeanRun } };
}

std::size_t
Choose(const std::vector<TargetCandidate>& aCandidates,
       Millis aObjective = Millis{ 600 })
{
  Random random(7);
  return ChooseTarget(aCandidates, { .mObjectiveLeft = aObjective }, {}, random)
    ->mIndex;
}

TEST(TargetChoice, NoCandidatesNoChoice)
{
  Random random(7);
  EXPECT_FALSE(ChooseTarget({}, {}, {}, random));
}

// Load pattern: quiet. A faster answer from further away within the objective
// is worth no more, but its bytes are paid.
TEST(TargetChoice, NearTargetWithinTheObjectiveIsPreferred)
{
  EXPECT_EQ(Choose({ At(Distance::SameRegion, 0, Millis{ 100 }),
                     At(Distance::SameDataCentre, 9, Millis{ 300 }) }),
            1U);
}

// Load pattern: one data centre's burst. Its targets are full, those next
// door are not.
TEST(TargetChoice, BurstOfOneDataCentreGoesNextDoor)
{
  EXPECT_EQ(Choose({ At(Distance::SameDataCentre, 40),
                     At(Distance::OtherRegion, 0),
                     At(Distance::SameRegion, 0) }),
            2U);
}

// Load pattern: half of the targets slow.
TEST(TargetChoice, SlowTargetIsPassedOver)
{
  EXPECT_EQ(Choose({ At(Distance::SameDataCentre, 2, Millis{ 1000 }),
                     At(Distance::SameDataCentre, 8, Millis{ 200 }) }),
            1U);
}

// Load pattern: grey target. It fails fast, so it always looks idle.
TEST(TargetChoice, GreyTargetIsPassedOver)
{
  TargetCandidate grey = At(Distance::SameDataCentre, 0, Millis{ 50 });
  grey.mLoad.mSuccess = 0.55;
  EXPECT_EQ(Choose({ grey, At(Distance::SameDataCentre, 9) }), 1U);
  EXPECT_EQ(Choose({ grey, At(Distance::SameRegion, 3) }), 0U)
    << "it still meets the objective in the mean";
}

// Load pattern: everything full. Another region must not be flooded for a
// small gain.
TEST(TargetChoice, OverloadEverywhereStaysNear)
{
  EXPECT_EQ(
    Choose({ At(Distance::SameDataCentre, 50), At(Distance::OtherRegion, 48) }),
    0U);
}

// Guards against herding: what this node sent since the last news counts.
TEST(TargetChoice, OwnRequestsSinceTheNewsCount)
{
  TargetCandidate used = At(Distance::SameDataCentre, 0);
  used.mSentSince = 10;
  EXPECT_EQ(Choose({ used, At(Distance::SameDataCentre, 5) }), 1U);
}

// Guards against all nodes choosing one of several equal targets.
TEST(TargetChoice, EqualTargetsShareTheRequests)
{
  const std::vector<TargetCandidate> candidates = {
    At(Distance::SameDataCentre, 3), At(Distance::SameDataCentre, 3)
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
