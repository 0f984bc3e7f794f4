#include <gateway/TargetPace.h>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

constexpr Millis kUsual{ 200 };

/** Nine peers in normal operation. */
PeerSummary
Peers(double aEvenShare)
{
  return { .mUnlimited = 9, .mEvenShare = aEvenShare, .mUtilization = 0.6 };
}

/** A target that ends aRuns runs each 250 ms. */
class Target
{
public:
  explicit Target(PeerSummary aPeers)
    : mPeers(aPeers)
  {
    Tick();
    mPace.Start(mNow);
  }

  void Tick(Millis aOldest = {}) { mPace.OnTick(mPeers, mOwn, aOldest, mNow); }

  /** Lets requests come at the admitted rate. */
  void Run(Millis aTime, Millis aRunTime, double aFailures = 0)
  {
    const Millis end = mNow + aTime;
    while (mNow < end) {
      mNow += Millis{ 50 };
      mDue += mPace.Rate().value_or(mPeers.mEvenShare) / 20;
      for (; mDue >= 1; mDue -= 1) {
        mFailed += aFailures;
        if (mFailed >= 1) {
          mFailed -= 1;
          mPace.OnFailure(mNow);
        } else {
          mPace.OnResponse(aRunTime, kUsual, false, mNow);
        }
        mPace.OnSent(mNow);
      }
      Tick();
    }
  }

  TargetPace mPace;
  PeerSummary mPeers;
  TargetLoad mOwn{ .mSlots = 12, .mMeanRunTime = kUsual };
  Millis mNow = Seconds(100);

private:
  double mDue = 0;
  double mFailed = 0;
};

// Load: a service whose targets run 30 requests a second each.
// Guards against a new target that is flooded or left idle.
TEST(TargetPace, NewTargetReachesTheEvenShareWithinFourSeconds)
{
  Target target(Peers(30));
  EXPECT_EQ(target.mPace.Rate(), 6);
  target.Run(Seconds(4), kUsual);
  EXPECT_EQ(target.mPace.Rate(), std::nullopt);
}

// Guards against taking the usual noise (2.5 times for 0.6 s) for an overload,
// and against loading a target further that stays slow.
TEST(TargetPace, ShortSlownessHoldsTheRateAndLastingSlownessLowersIt)
{
  Target target(Peers(30));
  target.Run(Seconds(1), kUsual);
  const double before = *target.mPace.Rate();
  target.Run(Millis{ 600 }, kUsual * 2.5);
  EXPECT_GE(*target.mPace.Rate(), before);
  const double held = *target.mPace.Rate();
  target.Run(Seconds(3), kUsual * 2.5);
  EXPECT_LT(*target.mPace.Rate(), held);
}

// Guards against more load for a target that answers fast because it fails, and
// against many requests lost to it: it gets two trials a second and is ramped
// up within 2 s of its recovery.
TEST(TargetPace, FailingTargetGetsTrialsUntilItIsHealthy)
{
  Target target(Peers(30));
  target.Run(Seconds(5), kUsual);
  target.Run(Seconds(5), Millis{ 1 }, 1);
  EXPECT_EQ(target.mPace.Current(), TargetPace::State::Failing);
  EXPECT_EQ(target.mPace.Rate(), 2);
  target.Run(Seconds(1.2), kUsual);
  EXPECT_EQ(target.mPace.Current(), TargetPace::State::Ramping);
}

// Load: a target that tolerates 15 requests a second while it is cold, of a
// service whose targets run 30.
// Guards against the full load at the end of the cold time.
TEST(TargetPace, RateRisesFromTheColdRateAfterTheColdTime)
{
  Target target(Peers(30));
  target.mOwn.mAdmissionRate = 15;
  target.Run(Seconds(5), kUsual);
  EXPECT_EQ(target.mPace.Rate(), 15);
  target.mOwn.mAdmissionRate.reset();
  target.Run(Seconds(2), kUsual);
  EXPECT_EQ(target.mPace.Rate(), std::nullopt);
}

// Guards against a ramp that ends although a fifth of the requests fail.
TEST(TargetPace, PartlyFailingTargetStaysAtALowRate)
{
  Target target(Peers(30));
  target.Run(Seconds(10), kUsual, 0.2);
  EXPECT_LE(target.mPace.Rate().value_or(30), 12);
}

// Guards against the full load for a target that was frozen.
TEST(TargetPace, SilentTargetIsRampedUpAfterItAnswers)
{
  Target target(Peers(30));
  target.Run(Seconds(5), kUsual);
  target.mNow += Seconds(1);
  target.Tick(Seconds(1));
  EXPECT_EQ(target.mPace.Current(), TargetPace::State::Failing);
  target.Run(Seconds(1.5), kUsual);
  EXPECT_EQ(target.mPace.Current(), TargetPace::State::Ramping);
}

// Load: a service with one request a second for each target.
// Guards against a ramp that has too few requests to end.
TEST(TargetPace, FewRequestsEndTheRamp)
{
  Target target(Peers(1));
  EXPECT_EQ(target.mPace.Rate(), 2);
  target.Run(Seconds(2), kUsual);
  EXPECT_EQ(target.mPace.Rate(), std::nullopt);
}

// Guards against callers that starve when all targets start at once or most of
// them join a busy service.
TEST(TargetPace, NothingIsHandedBackWithoutPeersAndManyStartHigher)
{
  Target alone({ .mLimited = 9, .mEvenShare = 3 });
  for (int i = 0; i < 100; ++i) {
    EXPECT_TRUE(alone.mPace.MayAdmit(alone.mNow));
    alone.mPace.OnSent(alone.mNow);
  }
  EXPECT_GE(*alone.mPace.Rate(), 30);
  const Target joining(
    { .mUnlimited = 3, .mLimited = 6, .mEvenShare = 20, .mUtilization = 0.95 });
  EXPECT_GE(*joining.mPace.Rate(), 30);
}

// Guards against the full load for a target that got nothing for long, as after
// an evacuation.
TEST(TargetPace, IdleTargetIsRampedUpAgain)
{
  Target target(Peers(30));
  target.Run(Seconds(5), kUsual);
  target.mNow += Seconds(6);
  target.Tick();
  EXPECT_EQ(target.mPace.Rate(), 6);
}

} // namespace
} // namespace papayaway::gateway
