#include <gateway/FollowerElection.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

/** A data centre in which each node runs an election and sees the states of all
 *  others. */
class FollowerElectionTest : public ::testing::Test
{
protected:
  explicit FollowerElectionTest(int aNodes = 15)
  {
    for (int i = 0; i < aNodes; ++i) {
      mNodes[{ static_cast<char>('a' + i) }] = {};
    }
  }

  /** Runs the election of each node once, then advances the time by aInterval.
   *  The store answers the nodes for which aIsServed returns true. */
  template<typename IsServed>
  void RunElections(IsServed aIsServed, Millis aInterval = Millis{ 250 })
  {
    std::vector<FollowerCandidate> seen;
    for (const auto& [name, node] : mNodes) {
      seen.push_back({ .mNode = name, .mState = node.mState });
    }
    for (auto& [name, node] : mNodes) {
      const bool follows = node.mElection.Decide(name, seen, mNow);
      node.mState = !follows          ? FollowState::Idle
                    : aIsServed(name) ? FollowState::Working
                                      : FollowState::Failing;
      node.mHasFollowed = node.mHasFollowed || follows;
    }
    mNow = mNow + aInterval;
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
    bool mHasFollowed = false;
  };
  std::map<std::string, Node> mNodes;
  Millis mNow{ 1000 };
};

constexpr auto kServeAll = [](const std::string&) { return true; };
constexpr auto kServeNone = [](const std::string&) { return false; };

TEST_F(FollowerElectionTest, FirstTwoFollow)
{
  RunElections(kServeAll);
  RunElections(kServeAll);
  EXPECT_EQ(Count(FollowState::Working), 2);
  EXPECT_EQ(mNodes["a"].mState, FollowState::Working);
  EXPECT_EQ(mNodes["b"].mState, FollowState::Working);
}

// Guards against all nodes calling a store that is down for all of them, and
// reading it at the same time as soon as it returns.
TEST_F(FollowerElectionTest, FewNodesTryWhileTheStoreIsDown)
{
  RunElections(kServeAll);
  for (int i = 0; i < 60; ++i) {
    RunElections(kServeNone);
    EXPECT_LE(Count(FollowState::Failing), 4);
  }
  RunElections(kServeAll);
  RunElections(kServeAll);
  EXPECT_EQ(Count(FollowState::Working), 2);
}

// Guards against a data centre that does not receive changes because the store
// refuses its first nodes by name.
TEST_F(FollowerElectionTest, NodesThatTheStoreServesBecomeFollowers)
{
  RunElections(kServeAll);
  const auto isServed = [](const std::string& aName) {
    return aName == "i" || aName == "m" || aName == "o";
  };
  for (int i = 0; i < 28; ++i) {
    RunElections(isServed);
  }
  EXPECT_EQ(Count(FollowState::Working), 2);
  EXPECT_EQ(Count(FollowState::Failing), 0)
    << "nodes that the store refuses still send billed calls";
}

// Guards against nodes that never try to follow although the store serves no
// other node.
TEST_F(FollowerElectionTest, EachNodeTriesInALongOutage)
{
  for (int i = 0; i < 40; ++i) {
    RunElections(kServeNone);
  }
  for (const auto& [name, node] : mNodes) {
    EXPECT_TRUE(node.mHasFollowed) << name;
  }
}

TEST_F(FollowerElectionTest, RemovedFollowerIsReplaced)
{
  RunElections(kServeAll);
  mNodes.erase("a");
  RunElections(kServeAll);
  RunElections(kServeAll);
  EXPECT_EQ(Count(FollowState::Working), 2);
}

// Guards against a returning node that displaces a working follower although
// its name comes first.
TEST_F(FollowerElectionTest, ReturningNodeDoesNotDisplaceAWorkingFollower)
{
  mNodes.erase("a");
  RunElections(kServeAll);
  RunElections(kServeAll);
  mNodes["a"] = {};
  RunElections(kServeAll);
  EXPECT_EQ(mNodes["a"].mState, FollowState::Idle);
  EXPECT_EQ(mNodes["b"].mState, FollowState::Working);
  EXPECT_EQ(mNodes["c"].mState, FollowState::Working);
}

TEST_F(FollowerElectionTest, OnlyNodeFollowsEvenIfTheStoreFails)
{
  mNodes.clear();
  mNodes["a"] = {};
  RunElections(kServeNone);
  EXPECT_EQ(mNodes["a"].mState, FollowState::Failing);
  RunElections(kServeNone);
  EXPECT_EQ(mNodes["a"].mState, FollowState::Failing);
}

// Guards against a change that becomes known late because the nodes that
// replace lost followers have lost the store too, and are tried two at a time.
TEST(FollowerTakeover, MoreAndMoreNodesTryWhileAChangeCanStillBeInTime)
{
  std::vector<FollowerCandidate> nodes;
  for (const char* name : { "a", "b", "c", "d", "e", "f", "g", "h" }) {
    nodes.push_back({ .mNode = name, .mState = FollowState::Failing });
  }
  const auto followers = [&](double aOverdue) {
    return std::count_if(nodes.begin(), nodes.end(), [&](const auto& aNode) {
      return FollowerElection().Decide(
        aNode.mNode, nodes, Millis{ 5000 }, Millis{ aOverdue });
    });
  };
  EXPECT_EQ(followers(0), 4);
  EXPECT_EQ(followers(100), 6);
  EXPECT_EQ(followers(200), 8);
  // Too late for a change: two nodes probe, beside the two that are to follow.
  EXPECT_EQ(followers(300), 4);
}

} // namespace
} // namespace papayaway::gateway
