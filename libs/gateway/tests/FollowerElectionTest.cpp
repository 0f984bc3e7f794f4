#include <gateway/FollowerElection.h>

#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

/** A data centre whose nodes each run an election and see each other's
 *  states. */
class FollowerElectionTest : public ::testing::Test
{
protected:
  explicit FollowerElectionTest(int aNodes = 15)
  {
    for (int i = 0; i < aNodes; ++i) {
      mNodes[{ static_cast<char>('a' + i) }] = {};
    }
  }

  /** Runs all elections once. The store answers those that aServed allows. */
  template<typename Served>
  void Step(Served aServed, Millis aTime = Millis{ 250 })
  {
    std::vector<FollowerCandidate> seen;
    for (const auto& [name, node] : mNodes) {
      seen.push_back({ .mNode = name, .mState = node.mState });
    }
    for (auto& [name, node] : mNodes) {
      const bool follows = node.mElection.Decide(name, seen, mNow);
      node.mState = !follows        ? FollowState::Idle
                    : aServed(name) ? FollowState::Working
                                    : FollowState::Failing;
      node.mTried = node.mTried || follows;
    }
    mNow = mNow + aTime;
  }

  [[nodiscard]] std::size_t Count(FollowState aState) const
  {
    std::size_t count = 0;
    for (const auto& entry : mNodes) {
      count += entry.second.mState == aState ? 1 : 0;
    }
    return count;
  }

  struct Node
  {
    FollowerElection mElection;
    FollowState mState = FollowState::Idle;
    bool mTried = false;
  };
  std::map<std::string, Node> mNodes;
  Millis mNow{ 1000 };
};

constexpr auto kAll = [](const std::string&) { return true; };
constexpr auto kNone = [](const std::string&) { return false; };

TEST_F(FollowerElectionTest, FirstTwoFollow)
{
  Step(kAll);
  Step(kAll);
  EXPECT_EQ(Count(FollowState::Working), 2);
  EXPECT_EQ(mNodes["a"].mState, FollowState::Working);
  EXPECT_EQ(mNodes["b"].mState, FollowState::Working);
}

// Guards against all nodes calling a store that is down for everybody, and
// reading it at the same moment when it returns.
TEST_F(FollowerElectionTest, FewTryWhileTheStoreIsDown)
{
  Step(kAll);
  for (int i = 0; i < 60; ++i) {
    Step(kNone);
    EXPECT_LE(Count(FollowState::Failing), 4);
  }
  Step(kAll);
  Step(kAll);
  EXPECT_EQ(Count(FollowState::Working), 2);
}

// Guards against a data centre that stays behind because the store turns its
// first nodes away.
TEST_F(FollowerElectionTest, ServedNodesAreFoundInTime)
{
  Step(kAll);
  const auto served = [](const std::string& aName) {
    return aName == "i" || aName == "m" || aName == "o";
  };
  for (int i = 0; i < 28; ++i) {
    Step(served);
  }
  EXPECT_EQ(Count(FollowState::Working), 2);
  EXPECT_EQ(Count(FollowState::Failing), 0) << "paid calls go on";
}

// Guards against nodes that never try although no other one is served.
TEST_F(FollowerElectionTest, EachNodeTriesInALongOutage)
{
  for (int i = 0; i < 40; ++i) {
    Step(kNone);
  }
  for (const auto& [name, node] : mNodes) {
    EXPECT_TRUE(node.mTried) << name;
  }
}

TEST_F(FollowerElectionTest, FollowerThatLeavesIsReplaced)
{
  Step(kAll);
  mNodes.erase("a");
  Step(kAll);
  Step(kAll);
  EXPECT_EQ(Count(FollowState::Working), 2);
}

// Guards against a node that returns and displaces a follower for nothing.
TEST_F(FollowerElectionTest, WorkingFollowersStay)
{
  mNodes.erase("a");
  Step(kAll);
  Step(kAll);
  mNodes["a"] = {};
  Step(kAll);
  EXPECT_EQ(mNodes["a"].mState, FollowState::Idle);
  EXPECT_EQ(mNodes["b"].mState, FollowState::Working);
  EXPECT_EQ(mNodes["c"].mState, FollowState::Working);
}

TEST_F(FollowerElectionTest, LoneNodeFollows)
{
  mNodes.clear();
  mNodes["a"] = {};
  Step(kNone);
  EXPECT_EQ(mNodes["a"].mState, FollowState::Failing);
  Step(kNone);
  EXPECT_EQ(mNodes["a"].mState, FollowState::Failing);
}

} // namespace
} // namespace papayaway::gateway
