#include <gateway/CallAdmission.h>

#include <base/Random.h>
#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

/** Offers requests of a route and answers the two calls that each makes.
 *  @return how many were admitted. */
int
RunLoad(CallAdmission& aAdmission,
        Random& aRandom,
        double aRequestsPerSecond,
        double aLostFraction,
        Millis aFrom,
        Millis aTo)
{
  int admitted = 0;
  for (Millis now = aFrom; now < aTo; now += Seconds(1 / aRequestsPerSecond)) {
    if (!aAdmission.TryAdmit("parent", now)) {
      continue;
    }
    ++admitted;
    for (int call = 0; call < 2; ++call) {
      aAdmission.OnCallEnded("parent",
                             UniformFraction(aRandom) < aLostFraction
                               ? NestedCallEnd::RefusedOrLate
                               : NestedCallEnd::Answered,
                             now,
                             now);
    }
  }
  return admitted;
}

// Load: 30 requests a second, of whose calls 2 % are refused.
// Guards against fewer runs because of calls that are lost by chance.
TEST(CallAdmission, FewLostCallsDoNotReduceTheRuns)
{
  CallAdmission admission;
  Random random(3);
  EXPECT_GE(RunLoad(admission, random, 30, 0.02, Seconds(0), Seconds(60)),
            1800 * 0.97);
}

// Load: 30 requests a second, of whose calls 60 % are refused for 10 s.
// Guards against runs that are thrown away during the overload, and against a
// target that stays idle after it.
TEST(CallAdmission, RunsAreReducedWhileCallsAreRefusedAndRecover)
{
  CallAdmission admission;
  Random random(3);
  EXPECT_LT(RunLoad(admission, random, 30, 0.6, Seconds(0), Seconds(10)), 100);
  EXPECT_EQ(admission.LimitedRoutes(), 1U);
  static_cast<void>(
    RunLoad(admission, random, 30, 0, Seconds(10), Seconds(30)));
  CallAdmission unlimited;
  EXPECT_EQ(RunLoad(admission, random, 30, 0, Seconds(30), Seconds(32)),
            RunLoad(unlimited, random, 30, 0, Seconds(30), Seconds(32)));
  EXPECT_EQ(admission.LimitedRoutes(), 0U);
}

// Load: the called service is gone.
// Guards against a route that gets no runs, so that the return of the service
// is not noticed, and against a Retry-After without relation to the rate.
TEST(CallAdmission, SomeRunsAreStartedWhenAllCallsAreLost)
{
  CallAdmission admission;
  Random random(3);
  static_cast<void>(RunLoad(admission, random, 30, 1, Seconds(0), Seconds(10)));
  const int admitted =
    RunLoad(admission, random, 30, 1, Seconds(10), Seconds(20));
  EXPECT_GE(admitted, 8);
  EXPECT_LE(admitted, 15);
  EXPECT_LE(admission.UntilNext("parent"), Seconds(1));
}

// Load: 3 requests a second, of whose calls half are refused.
// Guards against an overload that is not noticed on a node with few requests.
TEST(CallAdmission, FewRequestsASecondAreReducedToo)
{
  CallAdmission admission;
  Random random(3);
  EXPECT_LT(RunLoad(admission, random, 3, 0.5, Seconds(0), Seconds(20)), 45);
}

// Load: requests that are admitted and then refused because no slot is free.
// Guards against a rate that is used up by requests that never run.
TEST(CallAdmission, RequestsThatAreNotStartedDoNotUseTheRate)
{
  CallAdmission admission;
  Random random(3);
  static_cast<void>(RunLoad(admission, random, 30, 1, Seconds(0), Seconds(10)));
  ASSERT_TRUE(admission.TryAdmit("parent", Seconds(12)));
  EXPECT_FALSE(admission.TryAdmit("parent", Seconds(12)));
  admission.OnNotStarted("parent");
  EXPECT_TRUE(admission.TryAdmit("parent", Seconds(12)));
}

// Failed input: more routes than are remembered, and calls that began before
// the rate was lowered.
// Guards against unbounded memory and against an overload that counts twice.
TEST(CallAdmission, OldCallsAndTooManyRoutesAreIgnored)
{
  CallAdmission admission({ .mMaxRoutes = 1 });
  Random random(3);
  static_cast<void>(RunLoad(admission, random, 30, 1, Seconds(0), Seconds(2)));
  const auto rate = admission.Rate("parent");
  for (int i = 0; i < 100; ++i) {
    admission.OnCallEnded(
      "parent", NestedCallEnd::RefusedOrLate, Seconds(0), Seconds(2.01));
    admission.OnCallEnded(
      "other", NestedCallEnd::RefusedOrLate, Seconds(2), Seconds(2.01));
  }
  EXPECT_EQ(admission.Rate("parent"), rate);
  EXPECT_FALSE(admission.Rate("other"));
}

} // namespace
} // namespace papayaway::gateway
