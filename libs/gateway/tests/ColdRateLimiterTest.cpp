#include <gateway/ColdRateLimiter.h>

#include <algorithm>
#include <memory>
#include <vector>

#include <gtest/gtest.h>

#include <base/Random.h>

namespace papayaway::gateway {
namespace {

/** @return the largest number of times in any second, at every offset. */
std::size_t
MostInASecond(const std::vector<Millis>& aTimes)
{
  std::size_t most = 0;
  for (auto first = aTimes.begin(); first != aTimes.end(); ++first) {
    const auto end = std::lower_bound(first, aTimes.end(), *first + Seconds(1));
    most = std::max(most, static_cast<std::size_t>(end - first));
  }
  return most;
}

/** Offers requests to a target that is cold all the time, while its node is
 *  restarted, and twice within a second in between.
 *  @return when requests were sent, as seen by the target. */
std::vector<Millis>
SentOverRestarts(double aRate, double aOffered, std::uint64_t aSeed)
{
  Random random(aSeed);
  std::vector<Millis> sent;
  std::unique_ptr<ColdRateLimiter> limiter;
  Millis restart;
  int restarts = 0;
  for (Millis now; now < Seconds(60);
       now += Seconds(1 / aOffered) * (2 * UniformFraction(random))) {
    if (now >= restart) {
      limiter = std::make_unique<ColdRateLimiter>(ColdRateOptions{}, now);
      limiter->OnReport(Seconds(100), false, now);
      const bool soon = ++restarts % 3 != 0;
      restart = now + Millis{ soon ? 400 + 300 * UniformFraction(random)
                                   : 5000 * UniformFraction(random) };
    } else if (now > restart - Millis{ 300 }) {
      limiter->SetRate(aRate);
    }
    if (limiter->MayAdmit(now)) {
      limiter->OnSent(now);
      sent.push_back(now);
    }
  }
  return sent;
}

// Load: a cold target of the auctions (15/s) is offered 10 times its rate while
// its node restarts again and again, twice within one second.
// Guards against a node that starts with a full allowance after its predecessor
// has used one in the same second.
TEST(ColdRateLimiter, BoundHoldsInEverySecondOverRestartsOfTheNode)
{
  for (const double rate : { 0.5, 4.0, 15.0, 40.0, 200.0 }) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      const auto sent = SentOverRestarts(rate, 10 * rate + 20, seed);
      EXPECT_LE(MostInASecond(sent), rate * 1.5 + 8)
        << "rate " << rate << ", seed " << seed;
      EXPECT_GE(sent.size(), rate * 10);
    }
  }
}

// Load: 40 requests a second, while the target restarts and becomes cold again
// at random moments.
// Guards against a new allowance for each process of the target, and against an
// allowance that ignores what was sent while the target was warm.
TEST(ColdRateLimiter, RateHoldsOverRestartsOfTheTarget)
{
  Random random(3);
  ColdRateLimiter limiter({}, Seconds(-10));
  limiter.SetRate(15);
  std::vector<Millis> cold;
  std::vector<Millis> sent;
  Millis change;
  for (Millis now; now < Seconds(120); now += Millis{ 25 }) {
    if (now >= change) {
      const bool reportsCold = UniformFraction(random) < 0.7;
      limiter.OnReport(reportsCold ? Seconds(3) : Millis{},
                       UniformFraction(random) < 0.5,
                       now);
      change = now + Seconds(2 * UniformFraction(random));
    }
    if (limiter.MayAdmit(now)) {
      limiter.OnSent(now);
      sent.push_back(now);
      if (limiter.IsLimited(now)) {
        const auto inSecond =
          sent.end() -
          std::upper_bound(sent.begin(), sent.end(), now - Seconds(1));
        EXPECT_LE(inSecond, 15);
        cold.push_back(now);
      }
    }
  }
  EXPECT_GE(cold.size(), 100U);
}

// Guards against a target that gets the full load of a warm one after a crash,
// because a check-in that its old process sent before arrives after it.
TEST(ColdRateLimiter, LostProcessCountsAsColdUntilTheNewOneReports)
{
  ColdRateLimiter limiter({}, Seconds(-10));
  limiter.SetRate(15);
  limiter.OnReport({}, false, Seconds(0));
  EXPECT_FALSE(limiter.IsLimited(Seconds(1)));
  limiter.OnProcessLost(Seconds(1));
  limiter.OnReport({}, false, Seconds(1.1));
  EXPECT_TRUE(limiter.IsLimited(Seconds(20)));
  limiter.OnReport(Seconds(3), true, Seconds(20));
  EXPECT_TRUE(limiter.IsLimited(Seconds(22.9)));
  EXPECT_FALSE(limiter.IsLimited(Seconds(23.1)));
  // The process was not lost after all.
  limiter.OnProcessLost(Seconds(30));
  limiter.OnReport({}, false, Seconds(32.1));
  EXPECT_FALSE(limiter.IsLimited(Seconds(32.2)));
}

// Guards against a limit in deployments whose services have no cold rate.
TEST(ColdRateLimiter, ServiceWithoutARateIsNotLimited)
{
  ColdRateLimiter limiter({}, Seconds(0));
  limiter.SetRate(0);
  limiter.OnReport(Seconds(3), false, Seconds(0));
  limiter.OnProcessLost(Seconds(0));
  for (int i = 0; i < 200; ++i) {
    EXPECT_TRUE(limiter.MayAdmit(Seconds(0.1)));
    limiter.OnSent(Seconds(0.1));
  }
  EXPECT_EQ(limiter.AdvisedRate(Seconds(0.1)), std::nullopt);
}

// Guards against requests that no process of the target has run using up the
// allowance: requests answered with 421 do not count.
TEST(ColdRateLimiter, RequestsAnsweredWith421AreTakenOutOfTheCount)
{
  ColdRateLimiter limiter({}, Seconds(-10));
  limiter.SetRate(2);
  limiter.OnReport(Seconds(3), false, Seconds(0));
  limiter.OnSent(Millis{ 100 });
  limiter.OnSent(Millis{ 300 });
  EXPECT_FALSE(limiter.MayAdmit(Millis{ 400 }));
  EXPECT_EQ(limiter.TimeToAdmission(Millis{ 400 }), Millis{ 700 });
  limiter.OnNotCounted(Millis{ 100 });
  EXPECT_TRUE(limiter.MayAdmit(Millis{ 400 }));
}

// Guards against entry nodes that keep sending what is handed back.
TEST(ColdRateLimiter, AdvisedRateFallsWhileRequestsAreHandedBack)
{
  ColdRateLimiter limiter({}, Seconds(-10));
  limiter.SetRate(15);
  limiter.OnReport(Seconds(3), false, Seconds(0));
  EXPECT_EQ(limiter.AdvisedRate(Millis{ 1 }), 15);
  for (int i = 0; i < 15; ++i) {
    limiter.OnSent(Millis{ 10.0 + i });
    limiter.OnHandedBack(Millis{ 10.0 + i });
  }
  EXPECT_EQ(limiter.AdvisedRate(Millis{ 50 }), 7.5);
  EXPECT_EQ(limiter.AdvisedRate(Millis{ 1100 }), 15);
}

} // namespace
} // namespace papayaway::gateway
