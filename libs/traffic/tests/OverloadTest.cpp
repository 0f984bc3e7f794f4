#include <traffic/AdmissionQueue.h>
#include <traffic/ConcurrencyLimit.h>
#include <traffic/RetryBudget.h>

#include <array>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayaway {
namespace {

/** Answers aWindows windows of calls with aLatency at the full limit. */
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

// Guards against a limit that stays high while the target queues calls, and
// against one that never recovers.
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

// Guards against starving a target that became slower for good.
TEST(ConcurrencyLimit, KeepsFloorAndAcceptsLastingLatency)
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

// Guards against a limit outside [1, slots] for any order of events.
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

// Guards against more calls at the target than slots, an unbounded queue, and
// a queued call that is forgotten.
TEST(AdmissionQueue, RunsQueuesAndRefuses)
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

// Guards against a call that waits past its deadline and runs anyway.
TEST(AdmissionQueue, RefusesWhenTheDeadlineCannotBeMet)
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

// Guards against a lasting queue in which every call waits until its caller
// gives up.
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

// Guards against a call that is started and refused, started twice, or never
// told of: the caller would wait for ever or get a false "not run".
RC_GTEST_PROP(AdmissionQueue, TellsOfEachCallOnce, ())
{
  AdmissionQueue queue(*rc::gen::inRange(1, 4), 3);
  std::vector<int> told;
  int running = 0;
  Millis now;
  const auto take = [&](const AdmissionActions& aActions) {
    for (const auto& calls : { aActions.mStart, aActions.mRefuse }) {
      for (const std::uint64_t call : calls) {
        ++told[call];
      }
    }
    running += static_cast<int>(aActions.mStart.size());
  };
  const auto steps =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
  for (const int step : steps) {
    now += { 7 };
    if (step < 60) {
      told.push_back(0);
      take(queue.Offer(told.size() - 1, now + Millis{ 3.0 * step }, now));
    } else if (running > 0) {
      --running;
      take(queue.OnFinished(CallEnd::Answered, { 1.0 * step }, now));
    }
    RC_ASSERT(queue.InFlight() == running);
    RC_ASSERT(running <= queue.Limit().Slots());
  }
  take(queue.OnTick(Seconds(1000)));
  RC_ASSERT(queue.Queued() == 0U);
  for (const int times : told) {
    RC_ASSERT(times == 1);
  }
}

// Guards against running a non-idempotent call twice, and retrying a retry.
TEST(RetryBudget, RetriesOnlyWhatIsSafe)
{
  RetryBudget budget;
  const RetryQuestion notRun{ .mOutcome = Outcome::NotRun };
  const RetryQuestion idempotent{ .mOutcome = Outcome::Unknown,
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

// Guards against a budget that is larger than 10% of the calls, or that is
// useless to a caller with one call every few seconds.
TEST(RetryBudget, AllowsOneInTenAndAReserve)
{
  RetryBudget budget;
  const RetryQuestion question{ .mOutcome = Outcome::NotRun };
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstCall();
    retries += budget.TryRetry(question, {}) ? 1 : 0;
  }
  EXPECT_EQ(retries, 103);
  EXPECT_GT(budget.Exhausted(), 0U);
  EXPECT_TRUE(budget.TryRetry(question, Seconds(11)));
  EXPECT_FALSE(budget.TryRetry(question, Seconds(11)));
}

// Guards against retries that multiply over a chain of calls: at 10% per hop
// that would be 1.1^11 = 2.85 runs of the last hop. Per first call, a hop
// starts at most 0.1 retries plus its reserve, and each retry reaches every
// hop below once, so hop k runs at most N (1 + 0.1 k) + 3 k of N calls.
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
