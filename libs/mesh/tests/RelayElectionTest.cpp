#include <mesh/RelayElection.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <mesh/Backoff.h>
#include <mesh/Overlay.h>

namespace papayaway {
namespace {

template<typename T>
const T*
First(const RelayActions& aActions)
{
  for (const RelayAction& action : aActions) {
    if (const T* const found = std::get_if<T>(&action)) {
      return found;
    }
  }
  return nullptr;
}

class RelayElectionTest : public testing::Test
{
protected:
  /** Ticks until the election asks for the lease. */
  RelayActions TickUntilRequest(Millis aLimit = Seconds(10))
  {
    const Millis end = mNow + aLimit;
    while (mNow < end) {
      mNow += Millis{ 100 };
      RelayActions actions = mElection.Tick(mNow, mMembers, mRandom);
      if (First<RequestLease>(actions) != nullptr) {
        return actions;
      }
    }
    return {};
  }

  RelayActions Result(const LeaseResult& aResult)
  {
    return mElection.OnResult(mNow, aResult, mRandom);
  }

  Random mRandom{ 1 };
  Millis mNow = Seconds(100);
  std::vector<std::string> mMembers =
    RankOrder("d", { "a", "b", "c", "e", "f" });
  RelayElection mElection{ mMembers[0], "d" };
};

// Guards against a relay that still acts when its lease may have passed on,
// because the reply was slow or the process was paused.
TEST_F(RelayElectionTest, LeaseCountsFromBeforeRequestWithMargin)
{
  TickUntilRequest();
  const Millis sent = mNow;
  mNow += Seconds(1);
  const RelayActions granted = Result(LeaseGranted{ 7, Seconds(6) });
  ASSERT_NE(First<ActAsRelay>(granted), nullptr);
  EXPECT_EQ(First<ActAsRelay>(granted)->mToken, 7U);
  EXPECT_EQ(mElection.ValidUntil(), sent + Millis{ 5500 });

  const RelayActions renewal = TickUntilRequest();
  ASSERT_NE(First<RequestLease>(renewal), nullptr);
  EXPECT_EQ(First<RequestLease>(renewal)->mToken, 7U);
  mNow = sent + Millis{ 5500 };
  EXPECT_NE(First<StopRelay>(mElection.Tick(mNow, mMembers, mRandom)), nullptr);
  // The renewal is answered after the pause and is over already.
  mNow += Seconds(60);
  EXPECT_EQ(First<ActAsRelay>(Result(LeaseGranted{ 7, Seconds(6) })), nullptr);
  EXPECT_EQ(mElection.Role(), RelayRole::None);
}

// Guards against a fact with a token that the platform refuses.
TEST_F(RelayElectionTest, NewTokenIsPublished)
{
  TickUntilRequest();
  Result(LeaseGranted{ 7, Seconds(6) });
  TickUntilRequest();
  const RelayActions actions = Result(LeaseGranted{ 8, Seconds(6) });
  ASSERT_NE(First<ActAsRelay>(actions), nullptr);
  EXPECT_EQ(First<ActAsRelay>(actions)->mToken, 8U);
}

// Guards against provisional relays after one lost reply, and against a data
// centre without a relay in a long outage.
TEST_F(RelayElectionTest, FirstInRankActsProvisionallyInOutage)
{
  TickUntilRequest();
  const Millis start = mNow;
  while (mElection.Role() != RelayRole::Provisional) {
    ASSERT_LT(mNow, start + Seconds(9));
    Result(LeaseUnanswered{});
    EXPECT_TRUE(mElection.Role() == RelayRole::None ||
                mNow - start > Seconds(6));
    TickUntilRequest();
  }
  EXPECT_NE(First<StopRelay>(Result(LeaseRefused{ "b", Seconds(6) })), nullptr);
}

// Guards against every member acting as relay in an outage.
TEST_F(RelayElectionTest, OnlyFirstInRankActsProvisionally)
{
  mElection = RelayElection(mMembers[1], "d");
  for (int i = 0; i < 20; ++i) {
    TickUntilRequest();
    Result(LeaseUnanswered{});
    EXPECT_EQ(mElection.Role(), RelayRole::None);
  }
  mMembers.erase(mMembers.begin());
  TickUntilRequest();
  EXPECT_EQ(mElection.Role(), RelayRole::Provisional);
}

// Guards against 90 members that each write to the platform.
TEST_F(RelayElectionTest, OnlyCandidatesAsk)
{
  mElection = RelayElection(mMembers[3], "d");
  EXPECT_TRUE(TickUntilRequest().empty());
  mElection = RelayElection(mMembers[2], "d");
  EXPECT_FALSE(TickUntilRequest().empty());
  Result(LeaseRefused{ "z", Seconds(6) });
  EXPECT_TRUE(TickUntilRequest(Millis{ 5900 }).empty());
  EXPECT_FALSE(TickUntilRequest(Millis{ 700 }).empty());
}

// Guards against a lease that a stopped node holds for its whole duration,
// also when the grant arrives after the node began to stop.
TEST_F(RelayElectionTest, LeavingReleasesLease)
{
  TickUntilRequest();
  Result(LeaseGranted{ 7, Seconds(6) });
  TickUntilRequest();
  const RelayActions actions = mElection.Leave(mNow);
  EXPECT_NE(First<ReleaseLease>(actions), nullptr);
  EXPECT_NE(First<StopRelay>(actions), nullptr);
  EXPECT_NE(First<ReleaseLease>(Result(LeaseGranted{ 7, Seconds(6) })),
            nullptr);
  EXPECT_EQ(mElection.Role(), RelayRole::None);
  EXPECT_TRUE(TickUntilRequest().empty());
}

// Guards against a relay that acts beyond its lease under any sequence of
// results and pauses.
RC_GTEST_PROP(RelayElectionProperty, NeverActsBeyondLease, ())
{
  Random random(1);
  RelayElection election("a", "d");
  Millis now = Seconds(100);
  Millis sent;
  Millis platformEnd;
  bool waiting = false;
  for (const int step :
       *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 6))) {
    now += Millis{ step == 0 ? 9000.0 : 400.0 };
    if (waiting && step > 2) {
      waiting = false;
      LeaseResult result = LeaseUnanswered{};
      if (step > 3) {
        // The platform took the request when it was sent.
        platformEnd = sent + Seconds(6);
        result = LeaseGranted{ 1, Seconds(6) };
      }
      election.OnResult(now, result, random);
    } else if (First<RequestLease>(election.Tick(now, { "a" }, random))) {
      sent = now;
      waiting = true;
    }
    RC_ASSERT(election.Role() != RelayRole::Relay || now < platformEnd);
  }
}

// Guards against reconnects in step, and delays beyond the bounds.
TEST(Backoff, DelaysAreSpreadUpToCeiling)
{
  Random random(1);
  Backoff backoff;
  Millis ceiling{ 100 };
  for (int i = 0; i < 20; ++i) {
    const Millis delay = backoff.Next(random);
    EXPECT_GE(delay, Millis{ 0 });
    EXPECT_LT(delay, ceiling);
    ceiling = std::min(ceiling * 2, Seconds(5));
  }
  backoff.Reset();
  EXPECT_LT(backoff.Next(random), Millis{ 100 });
}

} // namespace
} // namespace papayaway
