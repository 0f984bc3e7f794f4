#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <vector>

#include <gtest/gtest.h>

#include <base/Random.h>
#include <gateway/ColdRateLimiter.h>
#include <gateway/RateLimitedChoice.h>
#include <gateway/TargetPace.h>

namespace papayaway::gateway {
namespace {

constexpr Millis kStep{ 5 };
constexpr Millis kRunTime{ 200 };
constexpr Millis kObjective{ 600 };
constexpr int kSlots = 12;
constexpr int kTargets = 10;
constexpr double kDemand = 250;
constexpr double kEvenShare = kDemand / kTargets;
constexpr Millis kMeasured = Seconds(10);

enum class Ramp
{
  None,
  /** Linear from a tenth of the even share to all of it in 5 s. */
  Fixed,
  Pace,
  /** The pace, and at most 15 requests a second for 3 s. */
  ColdPace,
  /** At most 15 requests a second for 3 s; no ramp. */
  Cold,
  /** The same, but entry nodes are not told the rate. */
  ColdUntold,
};

struct Outcome
{
  /** Requests at the starting target that ended after the objective. */
  double mLate = 0;
  double mHandedBack = 0;
  double mServed = 0;
  Millis mTimeToEvenShare = kMeasured;
};

struct Run
{
  Millis mArrived;
  Millis mStarted;
  Millis mEnd;
};

struct SimulatedTarget
{
  std::vector<Run> mRunning;
  std::deque<Millis> mWaiting;
  Millis mMeanRunTime = kRunTime;
  int mDone = 0;
  /** A target is slow for 0.6 s at a time. */
  Millis mNoiseUntil;
};

/** A service of 10 targets, of which the last starts at time 0. Each answers
 *  60 requests a second with all slots in use. Its first runs take up to
 *  aColdFactor times longer, and more so while many run at once. */
Outcome
Simulate(Ramp aRamp, double aColdFactor, std::uint64_t aSeed)
{
  Random random(aSeed);
  std::vector<SimulatedTarget> targets(kTargets);
  SimulatedTarget& starting = targets.back();
  std::vector<TargetCandidate> reported;
  TargetPace pace;
  ColdRateLimiter limiter({}, Seconds(-9));
  const bool cold =
    aRamp == Ramp::ColdPace || aRamp == Ramp::Cold || aRamp == Ramp::ColdUntold;
  const bool paced = aRamp == Ramp::Pace || aRamp == Ramp::ColdPace;
  limiter.SetRate(cold ? 15 : 0);
  Outcome outcome;
  std::deque<Millis> servedInSecond;
  Millis lastReport = Seconds(-9);
  const auto start =
    [&](SimulatedTarget& aTarget, Millis aArrived, Millis aNow) {
      const bool starts = &aTarget == &starting;
      const double used = static_cast<double>(aTarget.mRunning.size()) / kSlots;
      const double coldness =
        starts ? (aColdFactor - 1) * std::exp(-aTarget.mDone / 60.0) : 0;
      const double factor =
        (0.7 + 0.6 * UniformFraction(random)) * (1 + coldness * (0.5 + used)) *
        (1 + 0.3 * used * used) * (aNow < aTarget.mNoiseUntil ? 2.5 : 1);
      aTarget.mRunning.push_back({ aArrived, aNow, aNow + kRunTime * factor });
    };
  const auto load = [](const SimulatedTarget& aTarget) {
    return TargetLoad{ .mSlots = kSlots,
                       .mRunning = static_cast<int>(aTarget.mRunning.size()),
                       .mWaiting = static_cast<int>(aTarget.mWaiting.size()),
                       .mMeanRunTime = aTarget.mMeanRunTime };
  };
  for (Millis now = Seconds(-5); now < kMeasured; now += kStep) {
    for (SimulatedTarget& target : targets) {
      // 15 % of the time, in periods of 0.6 s.
      if (now >= target.mNoiseUntil &&
          UniformFraction(random) < 0.15 / 0.85 * (kStep / Millis{ 600 })) {
        target.mNoiseUntil = now + Millis{ 600 };
      }
      std::erase_if(target.mRunning, [&](const Run& aRun) {
        if (aRun.mEnd > now) {
          return false;
        }
        const Millis runTime = aRun.mEnd - aRun.mStarted;
        target.mMeanRunTime = target.mMeanRunTime * 0.9 + runTime * 0.1;
        ++target.mDone;
        if (&target == &starting) {
          pace.OnResponse(
            runTime, kRunTime, aRun.mStarted > aRun.mArrived + kStep, now);
          outcome.mLate += aRun.mEnd - aRun.mArrived > kObjective ? 1 : 0;
          outcome.mServed += 1;
          servedInSecond.push_back(now);
        }
        return true;
      });
      while (!target.mWaiting.empty() && target.mRunning.size() < kSlots) {
        start(target, target.mWaiting.front(), now);
        target.mWaiting.pop_front();
      }
    }
    while (!servedInSecond.empty() &&
           servedInSecond.front() <= now - Seconds(1)) {
      servedInSecond.pop_front();
    }
    if (static_cast<double>(servedInSecond.size()) >= 0.9 * kEvenShare) {
      outcome.mTimeToEvenShare = std::min(outcome.mTimeToEvenShare, now);
    }
    if (now - lastReport >= Millis{ 100 }) {
      lastReport = now;
      reported.clear();
      for (const SimulatedTarget& target : targets) {
        if (&target != &starting) {
          reported.push_back({ .mLoad = load(target) });
        }
      }
      if (now >= Millis{}) {
        pace.OnTick(SummarizePeers(reported, load(starting)),
                    load(starting),
                    starting.mRunning.empty()
                      ? Millis{}
                      : now - starting.mRunning.front().mStarted,
                    now);
        if (now < kStep) {
          pace.Start(now);
          limiter.OnReport(Seconds(3), true, now);
        }
        reported.push_back({ .mLoad = load(starting) });
        const double share = 0.1 + 0.9 * (now / Seconds(5));
        auto& rate = reported.back().mLoad.mAdmissionRate;
        rate = paced ? pace.Rate() : std::nullopt;
        if (const auto advised = limiter.AdvisedRate(now);
            advised && aRamp != Ramp::ColdUntold) {
          rate = std::min(*advised, rate.value_or(*advised));
        } else if (aRamp == Ramp::Fixed && share < 1) {
          rate = share * kEvenShare;
        }
      }
    }
    const double arrivals = kDemand * (kStep / Seconds(1));
    for (double left = arrivals; left > 0; left -= 1) {
      if (UniformFraction(random) >= left) {
        continue;
      }
      std::size_t index =
        ChooseWithinRates(
          reported, { .mObjectiveLeft = kObjective }, {}, random)
          ->mIndex;
      if (index == kTargets - 1 && (paced || cold)) {
        if (!limiter.MayAdmit(now) || (paced && !pace.MayAdmit(now))) {
          limiter.OnHandedBack(now);
          outcome.mHandedBack += 1;
          index = UniformBelow(random, kTargets - 1);
        } else {
          limiter.OnSent(now);
          pace.OnSent(now);
        }
      }
      if (index < reported.size()) {
        ++reported[index].mSentSinceReport;
      }
      targets[index].mWaiting.push_back(now);
    }
  }
  return outcome;
}

Outcome
MeanOutcome(const char* aName, Ramp aRamp, double aColdFactor)
{
  constexpr int kSeeds = 10;
  Outcome sum{ .mTimeToEvenShare = {} };
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const Outcome one = Simulate(aRamp, aColdFactor, seed);
    sum.mLate += one.mLate / kSeeds;
    sum.mHandedBack += one.mHandedBack / kSeeds;
    sum.mServed += one.mServed / kSeeds;
    sum.mTimeToEvenShare += one.mTimeToEvenShare * (1.0 / kSeeds);
  }
  std::printf("%-6s x%.1f: late %5.1f, handed back %4.1f, idle capacity "
              "%4.1f %%, even share after %4.1f s\n",
              aName,
              aColdFactor,
              sum.mLate,
              sum.mHandedBack,
              std::max(0.0, 1 - sum.mServed / (kEvenShare * 10)) * 100,
              sum.mTimeToEvenShare / Seconds(1));
  return sum;
}

// Load: 250 requests a second for 10 targets, one of which starts; each target
// is 2.5 times slower for 0.6 s at a time, 15 % of the time. Prints the figures
// of docs/design/target-pace.md.
// Guards against a pace that floods the target like no ramp or leaves it idle
// for longer than a fixed one, and against a cold target that hands back most
// of what it is sent.
TEST(TargetPaceExperiment, FewerLateThanWithoutARampAndEarlierThanAFixedOne)
{
  for (const double coldFactor : { 1.0, 2.0, 4.0 }) {
    const Outcome none = MeanOutcome("none", Ramp::None, coldFactor);
    const Outcome fixed = MeanOutcome("fixed", Ramp::Fixed, coldFactor);
    const Outcome pace = MeanOutcome("pace", Ramp::Pace, coldFactor);
    const Outcome untold = MeanOutcome("untold", Ramp::ColdUntold, coldFactor);
    const Outcome told = MeanOutcome("told", Ramp::Cold, coldFactor);
    MeanOutcome("both", Ramp::ColdPace, coldFactor);
    EXPECT_LE(told.mHandedBack, 0.2 * untold.mHandedBack);
    EXPECT_LE(pace.mLate, none.mLate);
    EXPECT_GE(pace.mServed, 0.9 * fixed.mServed);
    EXPECT_LE(pace.mHandedBack, 0.1 * kEvenShare * 10);
  }
}

} // namespace
} // namespace papayaway::gateway
