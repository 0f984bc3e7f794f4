#include <wire/Facts.h>

#include <gtest/gtest.h>

#include "Generators.h"

namespace papayaway {
namespace {

// Guards against a pair of facts of which neither or each replaces the other;
// nodes would then keep different facts permanently.
RC_GTEST_PROP(FactRules, ExactlyOneOfTwoDifferentFactsWins, ())
{
  const Fact left = *AnyFact();
  const Fact right = *AnyFact();
  RC_ASSERT(Supersedes(left, right) + Supersedes(right, left) ==
            (left == right ? 0 : 1));
}

// Guards against a cyclic order, with which the fact that is kept would depend
// on the order of arrival.
RC_GTEST_PROP(FactRules, OrderIsTransitive, ())
{
  const Fact first = *AnyFact();
  const Fact second = *AnyFact();
  const Fact third = *AnyFact();
  RC_PRE(Supersedes(third, second) && Supersedes(second, first));
  RC_ASSERT(Supersedes(third, first));
}

// Guards against a version move that was taken back and then resumes when a
// fact of a later stage arrives.
TEST(FactRules, TakenBackOverridesLaterStages)
{
  const MoveFact back{ .mService = "s", .mState = MoveState::TakenBack };
  const MoveFact later{ .mService = "s", .mStage = 9, .mToken = 9 };
  MoveFact finished = later;
  finished.mState = MoveState::Finished;
  EXPECT_TRUE(Supersedes(back, later));
  EXPECT_TRUE(Supersedes(back, finished));
  EXPECT_TRUE(Supersedes(finished, later));
}

// Guards against a node that stays dead after it refuted the suspicion, and
// against one that becomes alive without a higher incarnation.
TEST(FactRules, OnlyHigherIncarnationOverridesDead)
{
  const MemberFact dead{ .mNode = "n",
                         .mIncarnation = 4,
                         .mState = MemberState::Dead };
  EXPECT_FALSE(Supersedes(MemberFact{ .mNode = "n", .mIncarnation = 4 }, dead));
  EXPECT_TRUE(Supersedes(MemberFact{ .mNode = "n", .mIncarnation = 5 }, dead));
}

// Guards against two relays with the same token that keep replacing each
// other.
TEST(FactRules, LowerNodeNameWinsBetweenRelaysWithTheSameToken)
{
  const RelayFact low{ .mDataCentre = "d", .mNode = "a", .mToken = 3 };
  const RelayFact high{ .mDataCentre = "d", .mNode = "b", .mToken = 3 };
  EXPECT_TRUE(Supersedes(low, high));
  EXPECT_TRUE(Supersedes(
    RelayFact{ .mDataCentre = "d", .mNode = "b", .mToken = 4 }, low));
}

// Guards against two moves with the same key because a name contains a slash.
TEST(FactRules, KeysOfDifferentFactsDiffer)
{
  EXPECT_NE(FactKey(MoveFact{ .mService = "a/b", .mTo = "c" }),
            FactKey(MoveFact{ .mService = "a", .mTo = "b/c" }));
  EXPECT_EQ(FactKey(MoveFact{ .mService = "a", .mTo = "v2", .mAttempt = 3 }),
            "move/a/v2/3");
}

} // namespace
} // namespace papayaway
