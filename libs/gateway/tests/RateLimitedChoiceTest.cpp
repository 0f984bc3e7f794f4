#include <gateway/RateLimitedChoice.h>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

/** A warm target that answers 30 requests a second. */
TargetCandidate
Warm(Distance aDistance = Distance::SameDataCentre)
{
  return { .mNode = "w",
           .mDistance = aDistance,
           .mLoad = {
             .mSlots = 12, .mRunning = 6, .mMeanRunTime = Millis{ 200 } } };
}

TargetCandidate
Cold(double aRate, Distance aDistance = Distance::SameDataCentre)
{
  return { .mNode = "c",
           .mDistance = aDistance,
           .mLoad = { .mSlots = 12, .mAdmissionRate = aRate } };
}

/** @return the fraction of 20,000 requests that go to limited targets. */
double
LimitedFraction(const std::vector<TargetCandidate>& aCandidates)
{
  Random random(5);
  constexpr int kRequests = 20'000;
  int limited = 0;
  for (int i = 0; i < kRequests; ++i) {
    const auto choice = ChooseWithinRates(
      aCandidates, { .mObjectiveLeft = Seconds(1) }, {}, random);
    limited += aCandidates[choice->mIndex].mLoad.mAdmissionRate ? 1 : 0;
  }
  return static_cast<double>(limited) / kRequests;
}

// Load: one cold target (15/s) and 9 warm ones that answer 270/s.
// Guards against entry nodes that all send to the idle cold target, which hands
// most of it back.
TEST(RateLimitedChoice, ColdTargetGetsTheFractionThatItAdmits)
{
  std::vector<TargetCandidate> candidates(9, Warm());
  candidates.push_back(Cold(15));
  EXPECT_NEAR(LimitedFraction(candidates), 15.0 / 270, 0.01);
}

// Guards against a cold target that gets more than an even share of few
// requests.
TEST(RateLimitedChoice, LimitedTargetGetsAtMostAnEvenShare)
{
  std::vector<TargetCandidate> candidates(9, Warm());
  for (TargetCandidate& candidate : candidates) {
    candidate.mLoad.mRunning = 0;
  }
  candidates.push_back(Cold(15));
  EXPECT_NEAR(LimitedFraction(candidates), 0.1, 0.01);
}

// Load: after an evacuation all 10 targets of the data centre are cold, the 30
// of other data centres carry 900/s, of which 225/s are asked for here.
// Guards against sending all requests of the data centre to its cold targets.
TEST(RateLimitedChoice, ColdDataCentreGetsWhatItAdmits)
{
  std::vector<TargetCandidate> candidates(30, Warm(Distance::SameRegion));
  candidates.insert(candidates.end(), 10, Cold(15));
  EXPECT_NEAR(LimitedFraction(candidates), 150.0 / 225, 0.02);
}

// Guards against callers that starve while all targets of a service are cold.
TEST(RateLimitedChoice, ServiceWithOnlyColdTargetsIsServed)
{
  EXPECT_EQ(LimitedFraction({ Cold(15), Cold(15) }), 1);
}

// Guards against sending to a cold target whose slots are all in use.
TEST(RateLimitedChoice, FullLimitedTargetIsSkipped)
{
  TargetCandidate full = Cold(15);
  full.mLoad.mRunning = 12;
  EXPECT_EQ(LimitedFraction({ Warm(), full }), 0);
}

// Guards against a change for deployments without limits.
TEST(RateLimitedChoice, WithoutLimitsItChoosesAsBefore)
{
  const std::vector<TargetCandidate> candidates(5, Warm());
  Random random(9);
  Random same(9);
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(ChooseWithinRates(candidates, {}, {}, random)->mIndex,
              ChooseTarget(candidates, {}, {}, same)->mIndex);
  }
}

} // namespace
} // namespace papayaway::gateway
