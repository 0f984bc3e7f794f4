#include <mesh/RelayElection.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <mesh/Backoff.h>
#include <mesh/Overlay.h>

namespace papayaway {
namespace {

template<typename T>
const T*
FindAction(const RelayActions& aActions)
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
  /** Ticks until the election requests the lease or aLimit has passed.
   *  @return the actions with the RequestLease, or none. */
  RelayActions TickUntilRequest(Millis aLimit = Seconds(10))
  {
    const Millis end = mNow + aLimit;
    while (mNow < end) {
      mNow += Millis{ 100 };
      RelayActions actions = mElection.Tick(mNow, mMembers, mRandom);
      if (FindAction<RequestLease>(actions) != nullptr) {
        return actions;
      }
    }
    return {};
  }

  RelayActions ReceiveResult(const LeaseResult& aResult)
  {
    return mElection.OnResult(mNow, aResult, mRandom);
  }

  Random mRandom{ 1 };
  Millis mNow = Seconds(100);
  std::vector<std::string> mMembers =
    RelayRankOrder("d", { "a", "b", "c", "e", "f" });
  RelayElection mElection{ mMembers[0], "d" };
};

// Guards against a relay that still acts when another node may hold the lease,
// because the response was slow or the process was paused.
TEST_F(RelayElectionTest, LeaseCountsFromSendTimeMinusMargin)
{
  TickUntilRequest();
  const Millis sent = mNow;
  mNow += Seconds(1);
  const RelayActions granted = ReceiveResult(LeaseGranted{ 7, Seconds(6) });
  ASSERT_NE(FindAction<ActAsRelay>(granted), nullptr);
  EXPECT_EQ(FindAction<ActAsRelay>(granted)->mToken, 7U);
  EXPECT_EQ(mElection.ValidUntil(), sent + Millis{ 5500 });

  const RelayActions renewal = TickUntilRequest();
  ASSERT_NE(FindAction<RequestLease>(renewal), nullptr);
  EXPECT_EQ(FindAction<RequestLease>(renewal)->mToken, 7U);
  mNow = sent + Millis{ 5500 };
  EXPECT_NE(FindAction<StopRelay>(mElection.Tick(mNow, mMembers, mRandom)),
            nullptr);
  // The response to the renewal arrives after a pause, when the renewed lease
  // has already ended.
  mNow += Seconds(60);
  EXPECT_EQ(
    FindAction<ActAsRelay>(ReceiveResult(LeaseGranted{ 7, Seconds(6) })),
    nullptr);
  EXPECT_EQ(mElection.Role(), RelayRole::None);
}

// Guards against a relay whose fact keeps the token of an earlier lease, which
// the platform refuses.
TEST_F(RelayElectionTest, NewTokenIsPublished)
{
  TickUntilRequest();
  ReceiveResult(LeaseGranted{ 7, Seconds(6) });
  TickUntilRequest();
  const RelayActions actions = ReceiveResult(LeaseGranted{ 8, Seconds(6) });
  ASSERT_NE(FindAction<ActAsRelay>(actions), nullptr);
  EXPECT_EQ(FindAction<ActAsRelay>(actions)->mToken, 8U);
}

// Guards against a provisional relay after a single lost response, and against
// a data centre without a relay during a long outage of the platform.
TEST_F(RelayElectionTest, FirstInRankBecomesProvisionalInOutage)
{
  TickUntilRequest();
  const Millis start = mNow;
  while (mElection.Role() != RelayRole::Provisional) {
    ASSERT_LT(mNow, start + Seconds(9));
    ReceiveResult(LeaseRequestFailed{});
    EXPECT_TRUE(mElection.Role() == RelayRole::None ||
                mNow - start > Seconds(6));
    TickUntilRequest();
  }
  EXPECT_NE(
    FindAction<StopRelay>(ReceiveResult(LeaseRefused{ "b", Seconds(6) })),
    nullptr);
}

// Guards against every member acting as provisional relay during an outage.
TEST_F(RelayElectionTest, OnlyFirstInRankBecomesProvisional)
{
  mElection = RelayElection(mMembers[1], "d");
  for (int i = 0; i < 20; ++i) {
    TickUntilRequest();
    ReceiveResult(LeaseRequestFailed{});
    EXPECT_EQ(mElection.Role(), RelayRole::None);
  }
  mMembers.erase(mMembers.begin());
  TickUntilRequest();
  EXPECT_EQ(mElection.Role(), RelayRole::Provisional);
}

// Guards against lease requests from all 90 members of a data centre.
TEST_F(RelayElectionTest, OnlyCandidatesRequestLease)
{
  mElection = RelayElection(mMembers[3], "d");
  EXPECT_TRUE(TickUntilRequest().empty());
  mElection = RelayElection(mMembers[2], "d");
  EXPECT_FALSE(TickUntilRequest().empty());
  ReceiveResult(LeaseRefused{ "z", Seconds(6) });
  EXPECT_TRUE(TickUntilRequest(Millis{ 5900 }).empty());
  EXPECT_FALSE(TickUntilRequest(Millis{ 700 }).empty());
}

// Guards against a stopped node whose lease blocks other nodes until it
// expires, also when the grant arrives after the node began to stop.
TEST_F(RelayElectionTest, LeavingNodeReleasesLease)
{
  TickUntilRequest();
  ReceiveResult(LeaseGranted{ 7, Seconds(6) });
  TickUntilRequest();
  const RelayActions actions = mElection.Leave(mNow);
  EXPECT_NE(FindAction<ReleaseLease>(actions), nullptr);
  EXPECT_NE(FindAction<StopRelay>(actions), nullptr);
  EXPECT_NE(
    FindAction<ReleaseLease>(ReceiveResult(LeaseGranted{ 7, Seconds(6) })),
    nullptr);
  EXPECT_EQ(mElection.Role(), RelayRole::None);
  EXPECT_TRUE(TickUntilRequest().empty());
}

// Guards against a relay that acts after the end of its lease, under any
// sequence of results and pauses.
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
      LeaseResult result = LeaseRequestFailed{};
      if (step > 3) {
        // The worst case: the platform handled the request as soon as it was
        // sent.
        platformEnd = sent + Seconds(6);
        result = LeaseGranted{ 1, Seconds(6) };
      }
      election.OnResult(now, result, random);
    } else if (FindAction<RequestLease>(election.Tick(now, { "a" }, random))) {
      sent = now;
      waiting = true;
    }
    RC_ASSERT(election.Role() != RelayRole::Relay || now < platformEnd);
  }
}

// Guards against peers that reconnect at the same moments, and against delays
// beyond the limits.
TEST(Backoff, DelaysAreRandomBelowBound)
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
