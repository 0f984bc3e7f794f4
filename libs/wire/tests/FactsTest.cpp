#include <wire/Facts.h>

#include <gtest/gtest.h>

#include "Generators.h"

namespace papayaway {
namespace {

// Guards against a merge rule without a winner, or with two winners, which
// would leave nodes with different facts for ever.
RC_GTEST_PROP(FactRules, ExactlyOneOfTwoDifferentFactsWins, ())
{
  const Fact left = *AnyFact();
  const Fact right = *AnyFact();
  RC_ASSERT(Supersedes(left, right) + Supersedes(right, left) ==
            (left == right ? 0 : 1));
}

// Guards against rules that run in a circle, where the result would depend on
// the order of arrival.
RC_GTEST_PROP(FactRules, OrderIsTransitive, ())
{
  const Fact first = *AnyFact();
  const Fact second = *AnyFact();
  const Fact third = *AnyFact();
  RC_PRE(Supersedes(third, second) && Supersedes(second, first));
  RC_ASSERT(Supersedes(third, first));
}

// Guards against a version that was taken back and runs again.
TEST(FactRules, TakenBackAbsorbsLaterStages)
{
  const MoveFact back{ .mService = "s", .mState = MoveState::TakenBack };
  const MoveFact later{ .mService = "s", .mStage = 9, .mToken = 9 };
  MoveFact finished = later;
  finished.mState = MoveState::Finished;
  EXPECT_TRUE(Supersedes(back, later));
  EXPECT_TRUE(Supersedes(back, finished));
  EXPECT_TRUE(Supersedes(finished, later));
}

// Guards against a false suspicion that outlives its refutation, and against
// a node that is alive again without having raised its incarnation.
TEST(FactRules, OnlyHigherIncarnationOverridesDead)
{
  const MemberFact dead{ .mNode = "n",
                         .mIncarnation = 4,
                         .mState = MemberState::Dead };
  EXPECT_FALSE(Supersedes(MemberFact{ .mNode = "n", .mIncarnation = 4 }, dead));
  EXPECT_TRUE(Supersedes(MemberFact{ .mNode = "n", .mIncarnation = 5 }, dead));
}

// Guards against two relays of one token that displace each other in turn.
TEST(FactRules, LowerNodeWinsBetweenRelaysOfOneToken)
{
  const RelayFact low{ .mDataCentre = "d", .mNode = "a", .mToken = 3 };
  const RelayFact high{ .mDataCentre = "d", .mNode = "b", .mToken = 3 };
  EXPECT_TRUE(Supersedes(low, high));
  EXPECT_TRUE(Supersedes(
    RelayFact{ .mDataCentre = "d", .mNode = "b", .mToken = 4 }, low));
}

// Guards against two moves that share a key because a name holds a slash.
TEST(FactRules, KeysOfDifferentFactsDiffer)
{
  EXPECT_NE(FactKey(MoveFact{ .mService = "a/b", .mTo = "c" }),
            FactKey(MoveFact{ .mService = "a", .mTo = "b/c" }));
  EXPECT_EQ(FactKey(MoveFact{ .mService = "a", .mTo = "v2", .mAttempt = 3 }),
            "move/a/v2/3");
}

} // namespace
} // namespace papayaway
