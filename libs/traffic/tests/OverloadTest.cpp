#include <traffic/AdmissionQueue.h>
#include <traffic/ConcurrencyLimit.h>
#include <traffic/RetryBudget.h>

#include <array>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayaway {
namespace {

/** Records aWindows windows of answered calls with latency aLatency and as many
 *  calls in flight as the limit allows. Advances aNow. */
void
RunWindows(ConcurrencyLimit& aLimit,
           int aWindows,
           Millis aLatency,
           Millis& aNow)
{
  for (int i = 0; i < aWindows * 10; ++i) {
    aNow += { 20.1 };
    aLimit.OnAnswered(aLatency, aLimit.Limit(), aNow);
  }
}

// Guards against a limit that stays high while the latency shows that calls
// queue in the target, and against a limit that does not rise again later.
TEST(ConcurrencyLimit, FallsWithLatencyAndRecovers)
{
  ConcurrencyLimit limit(12);
  Millis now;
  RunWindows(limit, 5, { 10 }, now);
  EXPECT_EQ(limit.Limit(), 12);
  RunWindows(limit, 5, { 40 }, now);
  EXPECT_LT(limit.Limit(), 8);
  RunWindows(limit, 12, { 10 }, now);
  EXPECT_EQ(limit.Limit(), 12);
}

// Guards against a limit that stays low, or falls below the floor, for a target
// that has become permanently slower.
TEST(ConcurrencyLimit, KeepsFloorAndAdaptsToLastingLatency)
{
  ConcurrencyLimit limit(12);
  Millis now;
  RunWindows(limit, 5, { 10 }, now);
  RunWindows(limit, 30, { 40 }, now);
  EXPECT_EQ(limit.Limit(), limit.Floor());
  EXPECT_EQ(limit.Floor(), 3);
  RunWindows(limit, 60, { 40 }, now);
  EXPECT_EQ(limit.Limit(), 12);
}

// Guards against a limit outside [Floor(), Slots()] for any order of events.
RC_GTEST_PROP(ConcurrencyLimit, StaysWithinItsBounds, ())
{
  ConcurrencyLimit limit(*rc::gen::inRange(1, 20));
  Millis now;
  const auto events =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200));
  for (const int event : events) {
    now += { 30.0 };
    if (event < 20) {
      limit.SetSlots(event);
    } else if (event < 60) {
      limit.OnTimedOut(now);
    } else {
      limit.OnAnswered({ 1.0 * event }, limit.Limit(), now);
    }
    RC_ASSERT(limit.Limit() >= limit.Floor());
    RC_ASSERT(limit.Floor() >= 1);
    RC_ASSERT(limit.Limit() <= limit.Slots());
  }
}

using Calls = std::vector<std::uint64_t>;

// Guards against more calls in flight than slots, an unbounded queue, and a
// queued call that is never started.
TEST(AdmissionQueue, StartsQueuesAndRefuses)
{
  AdmissionQueue queue(2, 1);
  EXPECT_EQ(queue.Offer(1, { 100 }, {}).mStart, Calls{ 1 });
  EXPECT_EQ(queue.Offer(2, { 100 }, {}).mStart, Calls{ 2 });
  EXPECT_EQ(queue.Offer(3, { 100 }, {}), AdmissionActions{});
  EXPECT_EQ(queue.Offer(4, { 100 }, {}).mRefuse, Calls{ 4 });
  EXPECT_EQ(queue.OnFinished(CallEnd::Answered, { 1 }, { 1 }).mStart,
            Calls{ 3 });
  EXPECT_EQ(queue.InFlight(), 2);
}

// Guards against queuing or starting a call that cannot meet its deadline.
TEST(AdmissionQueue, RefusesWhenDeadlineCannotBeMet)
{
  AdmissionQueue queue(1, 8);
  for (int i = 0; i < 20; ++i) {
    (void)queue.Offer(1, { 1e6 }, { 20.1 * i });
    (void)queue.OnFinished(CallEnd::Answered, { 20 }, { 20.1 * (i + 1) });
  }
  const Millis now{ 1000 };
  EXPECT_EQ(queue.Offer(2, now + Millis{ 10 }, now).mRefuse, Calls{ 2 });
  EXPECT_EQ(queue.Offer(3, now + Millis{ 30 }, now).mStart, Calls{ 3 });
  EXPECT_EQ(queue.Offer(4, now + Millis{ 30 }, now).mRefuse, Calls{ 4 });
  EXPECT_EQ(queue.Offer(5, now + Millis{ 50 }, now), AdmissionActions{});
  EXPECT_EQ(queue.OnTick(now + Millis{ 29 }), AdmissionActions{});
  EXPECT_EQ(queue.OnTick(now + Millis{ 31 }).mRefuse, Calls{ 5 });
}

// Guards against a standing queue in FIFO order, in which every call waits
// until shortly before its deadline.
TEST(AdmissionQueue, RunsNewestFirstUnderOverload)
{
  AdmissionQueue queue(1, 2);
  (void)queue.Offer(1, { 1000 }, {});
  (void)queue.Offer(2, { 1000 }, {});
  (void)queue.Offer(3, { 1000 }, { 50 });
  EXPECT_EQ(queue.OnFinished(CallEnd::Other, {}, { 60 }).mStart, Calls{ 2 });
  (void)queue.Offer(4, { 1000 }, { 120 });
  EXPECT_EQ(queue.Offer(5, { 1000 }, { 130 }).mRefuse, Calls{ 3 });
  EXPECT_EQ(queue.OnFinished(CallEnd::Other, {}, { 140 }).mStart, Calls{ 5 });
  EXPECT_TRUE(queue.Cancel(4));
  EXPECT_FALSE(queue.Cancel(4));
}

// Guards against a call that is both started and refused, started twice, or
// never reported: its caller would be told "not run" although the call ran, or
// would wait for ever.
RC_GTEST_PROP(AdmissionQueue, ReportsEachCallExactlyOnce, ())
{
  AdmissionQueue queue(*rc::gen::inRange(1, 4), 3);
  std::vector<int> timesReported;
  int running = 0;
  Millis now;
  const auto record = [&](const AdmissionActions& aActions) {
    for (const auto& calls : { aActions.mStart, aActions.mRefuse }) {
      for (const std::uint64_t call : calls) {
        ++timesReported[call];
      }
    }
    running += static_cast<int>(aActions.mStart.size());
  };
  const auto steps =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
  for (const int step : steps) {
    now += { 7 };
    if (step < 60) {
      timesReported.push_back(0);
      record(
        queue.Offer(timesReported.size() - 1, now + Millis{ 3.0 * step }, now));
    } else if (running > 0) {
      --running;
      record(queue.OnFinished(CallEnd::Answered, { 1.0 * step }, now));
    }
    RC_ASSERT(queue.InFlight() == running);
    RC_ASSERT(running <= queue.Limit().Slots());
  }
  record(queue.OnTick(Seconds(1000)));
  RC_ASSERT(queue.Queued() == 0U);
  for (const int times : timesReported) {
    RC_ASSERT(times == 1);
  }
}

// Guards against running a non-idempotent call twice, and against retrying a
// call that is part of a retry.
TEST(RetryBudget, RetriesOnlySafeCalls)
{
  RetryBudget budget;
  const RetryContext notRun{ .mOutcome = Outcome::NotRun };
  const RetryContext idempotent{ .mOutcome = Outcome::Unknown,
                                 .mIdempotent = true };
  EXPECT_FALSE(budget.TryRetry({ .mOutcome = Outcome::Unknown }, {}));
  EXPECT_FALSE(budget.TryRetry({ .mOutcome = Outcome::Ran }, {}));
  EXPECT_FALSE(
    budget.TryRetry({ .mArrivedAttempt = 1, .mOutcome = Outcome::NotRun }, {}));
  EXPECT_FALSE(
    budget.TryRetry({ .mRetries = 1, .mOutcome = Outcome::NotRun }, {}));
  EXPECT_TRUE(budget.TryRetry(notRun, {}));
  EXPECT_TRUE(budget.TryRetry(idempotent, {}));
}

// Guards against a budget of more than 10% of the calls, and against one that
// allows no retries at low call rates.
TEST(RetryBudget, AllowsTenPercentAndReserve)
{
  RetryBudget budget;
  const RetryContext context{ .mOutcome = Outcome::NotRun };
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstCall();
    retries += budget.TryRetry(context, {}) ? 1 : 0;
  }
  EXPECT_EQ(retries, 103);
  EXPECT_GT(budget.RefusedRetries(), 0U);
  EXPECT_TRUE(budget.TryRetry(context, Seconds(11)));
  EXPECT_FALSE(budget.TryRetry(context, Seconds(11)));
}

// Guards against retries that multiply over a chain of calls: at 10% per hop,
// the eleventh hop would run each call 1.1^11 = 2.85 times. Each hop may retry
// 0.1 N of N first calls, plus its reserve of 3, and a retry reaches every
// later hop once. So hop k runs at most N (1 + 0.1 k) + 3 k calls.
TEST(RetryBudget, BoundsAmplificationOverElevenFailingHops)
{
  constexpr int kHops = 11;
  constexpr int kCalls = 2000;
  std::array<RetryBudget, kHops> budgets;
  std::array<int, kHops> runs{};
  const auto call = [&](auto&& aSelf, std::size_t aHop, int aAttempt) -> void {
    if (aHop == kHops) {
      return;
    }
    if (aAttempt == 0) {
      budgets[aHop].OnFirstCall();
    }
    ++runs[aHop];
    aSelf(aSelf, aHop + 1, aAttempt);
    if (budgets[aHop].TryRetry({ .mArrivedAttempt = aAttempt,
                                 .mOutcome = Outcome::Unknown,
                                 .mIdempotent = true },
                               {})) {
      ++runs[aHop];
      aSelf(aSelf, aHop + 1, aAttempt + 1);
    }
  };
  for (int i = 0; i < kCalls; ++i) {
    call(call, 0, 0);
  }
  for (int hop = 1; hop <= kHops; ++hop) {
    EXPECT_LE(runs[hop - 1], kCalls + hop * (kCalls / 10 + 3));
  }
  EXPECT_GT(runs[kHops - 1], 2 * kCalls);
}

} // namespace
} // namespace papayaway
