#include <mesh/FactStore.h>

#include <algorithm>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayaway {
namespace {

MemberFact
Member(std::uint64_t aIncarnation, MemberState aState)
{
  return { .mNode = "n", .mIncarnation = aIncarnation, .mState = aState };
}

/** Generates facts with few different keys and versions, so that many have the
 *  same key. */
rc::Gen<Fact>
AnyFact()
{
  return rc::gen::map(
    rc::gen::container<std::vector<std::uint64_t>>(
      5, rc::gen::inRange<std::uint64_t>(0, 3)),
    [](const std::vector<std::uint64_t>& aDraw) -> Fact {
      const std::string name(1, static_cast<char>('a' + aDraw[1]));
      const int choice = static_cast<int>(aDraw[2]);
      switch (aDraw[0] + 3 * (aDraw[4] % 2)) {
        case 0:
          return MemberFact{ .mNode = name,
                             .mIncarnation = aDraw[3],
                             .mState = static_cast<MemberState>(choice) };
        case 1:
          return EndpointFact{ .mNode = name,
                               .mSlots = choice,
                               .mSequence = aDraw[3] };
        case 2:
          return RelayFact{ .mDataCentre = "d",
                            .mNode = name,
                            .mToken = aDraw[3] };
        case 3:
          return QuarantineFact{ .mFingerprint = name,
                                 .mReleased = choice == 0,
                                 .mSequence = aDraw[3],
                                 .mExpires = Seconds(60) };
        default:
          return MoveFact{ .mService = name,
                           .mState = static_cast<MoveState>(choice),
                           .mStage = aDraw[3],
                           .mShare = static_cast<int>(aDraw[4]) };
      }
    });
}

/** Simulates one digest exchange: each store merges the other's facts of the
 *  buckets that differ. */
void
ExchangeDigests(FactStore& aLeft, FactStore& aRight)
{
  const auto indices = aLeft.DifferingBuckets(aRight.Digests());
  const std::vector<Fact> fromLeft = aLeft.FactsInBuckets(indices);
  for (const Fact& fact : aRight.FactsInBuckets(indices)) {
    aLeft.Merge(fact);
  }
  for (const Fact& fact : fromLeft) {
    aRight.Merge(fact);
  }
}

std::vector<Fact>
AllFacts(const FactStore& aStore)
{
  return aStore.FactsInBuckets(aStore.DifferingBuckets(FactStore().Digests()));
}

// Guards against stores that never converge after messages were reordered,
// duplicated or lost, and against digests that differ for equal facts.
RC_GTEST_PROP(FactStoreProperty,
              StoresConvergeAfterReorderingAndRepairedLoss,
              ())
{
  std::vector<Fact> facts = *rc::gen::container<std::vector<Fact>>(AnyFact());
  FactStore first;
  for (const Fact& fact : facts) {
    first.Merge(fact);
  }
  std::mt19937 random(*rc::gen::arbitrary<unsigned int>());
  const std::vector<Fact> copies = facts;
  facts.insert(facts.end(), copies.begin(), copies.end());
  std::shuffle(facts.begin(), facts.end(), random);
  FactStore reordered;
  FactStore lossy;
  for (const Fact& fact : facts) {
    reordered.Merge(fact);
    if (random() % 2 == 0) {
      lossy.Merge(fact);
    }
  }
  RC_ASSERT(AllFacts(reordered) == AllFacts(first));
  RC_ASSERT(reordered.Digests() == first.Digests());
  ExchangeDigests(first, lossy);
  RC_ASSERT(AllFacts(lossy) == AllFacts(first));
  RC_ASSERT(lossy.Digests() == reordered.Digests());
  for (const Fact& fact : facts) {
    RC_ASSERT(!first.Merge(fact));
  }
}

// Guards against a member list that grows with each replaced host, and against
// a node that was partitioned for long and brings a removed member back.
TEST(FactStore, RemovedMemberStaysRemoved)
{
  FactStore store;
  const MemberFact alive = Member(5, MemberState::Alive);
  store.Merge(alive);
  store.Merge(Member(5, MemberState::Dead));
  store.Expire(Seconds(100));
  store.Expire(Seconds(699));
  EXPECT_NE(store.Member("n"), nullptr);
  store.Expire(Seconds(700));
  EXPECT_EQ(store.Member("n"), nullptr);
  EXPECT_EQ(store.Digests(), FactStore().Digests());

  EXPECT_FALSE(store.Merge(alive));
  EXPECT_FALSE(store.Merge(Member(5, MemberState::Dead)));
  ASSERT_NE(store.SupersedingTombstone(alive), nullptr);
  EXPECT_EQ(*store.SupersedingTombstone(alive),
            Fact(Member(5, MemberState::Dead)));
  EXPECT_TRUE(store.Merge(Member(6, MemberState::Alive)));
  EXPECT_EQ(store.SupersedingTombstone(alive), nullptr);
}

// Guards against removing a member that was declared dead earlier but has
// returned since.
TEST(FactStore, ReturnedMemberIsNotRemoved)
{
  FactStore store;
  store.Merge(Member(5, MemberState::Dead));
  store.Expire(Seconds(100));
  store.Merge(Member(6, MemberState::Alive));
  store.Expire(Seconds(800));
  EXPECT_NE(store.Member("n"), nullptr);
}

// Guards against routing to a target that was removed long ago when a fact with
// an older sequence arrives late, and against refusing the endpoint after its
// node has restarted.
TEST(FactStore, RemovedEndpointStaysRemoved)
{
  FactStore store;
  const EndpointFact gone{ .mNode = "n",
                           .mState = EndpointState::Gone,
                           .mIncarnation = 5,
                           .mSequence = 9 };
  store.Merge(gone);
  store.Expire(Seconds(0));
  store.Expire(Seconds(600));
  EXPECT_EQ(store.Size(), 0U);
  EXPECT_FALSE(store.Merge(
    EndpointFact{ .mNode = "n", .mIncarnation = 5, .mSequence = 8 }));
  EXPECT_TRUE(store.Merge(EndpointFact{ .mNode = "n", .mIncarnation = 6 }));
}

// Guards against a request that stays quarantined because two nodes keep
// sending each other the expired fact.
TEST(FactStore, ExpiredQuarantineDoesNotReturn)
{
  FactStore store;
  const QuarantineFact fact{ .mFingerprint = "f", .mExpires = Seconds(10) };
  EXPECT_TRUE(store.Merge(fact));
  store.Expire(Seconds(10));
  EXPECT_EQ(store.Count<QuarantineFact>(), 0U);
  EXPECT_FALSE(store.Merge(fact));
}

// Guards against memory that grows without limit when faulty peers send facts
// with an unlimited number of different keys.
TEST(FactStore, NumberOfFactsIsBounded)
{
  FactStore store({ .mMaxFacts = 2, .mMaxTombstones = 1 });
  for (const char* const node : { "a", "b", "c" }) {
    store.Merge(MemberFact{ .mNode = node, .mState = MemberState::Dead });
  }
  EXPECT_EQ(store.Size(), 2U);
  EXPECT_EQ(store.RefusedWhenFull(), 1U);
  EXPECT_TRUE(store.Merge(MemberFact{ .mNode = "a", .mIncarnation = 1 }));
}

} // namespace
} // namespace papayaway
