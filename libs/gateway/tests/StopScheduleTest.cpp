#include <gateway/StopSchedule.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayaway::gateway {
namespace {

// Guards against requests that are taken late in the grace period and cut off
// without an answer at its end.
RC_GTEST_PROP(StopScheduleProperty, WhatIsTakenEndsBeforeTheProcess, ())
{
  const Millis started{ static_cast<double>(*rc::gen::inRange(0, 100000)) };
  const Millis grace{ static_cast<double>(*rc::gen::inRange(1000, 12000)) };
  const StopScheduleOptions options{ .mGracePeriod = grace };
  const StopSchedule schedule(options, started);
  const Millis now =
    started + Millis{ static_cast<double>(*rc::gen::inRange(0, 12000)) };
  const Millis deadline =
    now + Millis{ static_cast<double>(*rc::gen::inRange(0, 6000)) };
  if (schedule.MayTakeRequest(deadline)) {
    RC_ASSERT(deadline + options.mAnswerDelay + options.mReserve <=
              started + grace);
  }
  if (schedule.MayTakeCall(deadline, now)) {
    RC_ASSERT(schedule.MayTakeRequest(deadline));
  }
}

// Guards against refusing requests that end well within the grace period.
TEST(StopSchedule, ShortRequestsAreTakenWhileCallersAreAccepted)
{
  const StopSchedule schedule({ .mGracePeriod = Seconds(6) }, Seconds(100));
  EXPECT_TRUE(schedule.AcceptsCallers(Seconds(102.9)));
  EXPECT_TRUE(schedule.MayTakeRequest(Seconds(102.9) + Seconds(2)));
  EXPECT_FALSE(schedule.MayTakeRequest(Seconds(102.9) + Seconds(4)));
  EXPECT_FALSE(schedule.AcceptsCallers(Seconds(103)));
  EXPECT_EQ(schedule.UntilCallersAreRedirected(Seconds(101)), Seconds(2));
  EXPECT_EQ(schedule.UntilCallersAreRedirected(Seconds(104)), Millis{});
}

// Guards against calls of other nodes that arrive after they have learned of
// the stop, or that would outlast the process.
TEST(StopSchedule, CallsOfOtherNodesAreTakenForAShortTimeOnly)
{
  const StopSchedule schedule({ .mGracePeriod = Seconds(6) }, Seconds(100));
  EXPECT_TRUE(schedule.MayTakeCall(Seconds(102), Seconds(100.3)));
  EXPECT_FALSE(schedule.MayTakeCall(Seconds(102), Seconds(100.5)));
  EXPECT_FALSE(schedule.MayTakeCall(Seconds(106), Seconds(100.3)));
}

} // namespace
} // namespace papayaway::gateway
