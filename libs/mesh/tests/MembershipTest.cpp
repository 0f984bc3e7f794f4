#include <mesh/Membership.h>

#include <deque>
#include <functional>
#include <memory>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <mesh/Overlay.h>

namespace papayaway {
namespace {

constexpr Millis kStep{ 100 };

/** Simulates the members of one data centre, which exchange messages in time
 *  steps. */
class SimulatedCluster
{
public:
  explicit SimulatedCluster(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      mNames.push_back("n" + std::to_string(i));
      mNodes.push_back(std::make_unique<Node>(mNames.back()));
    }
    for (std::size_t i = 0; i < aCount; ++i) {
      const auto peers = RingPeers(mNames[i], mNames);
      mNodes[i]->mMembership.SetChosenPeers(mNow, peers);
      for (std::size_t j = 0; j < aCount; ++j) {
        if (std::find(peers.begin(), peers.end(), mNames[j]) != peers.end()) {
          Link(i, j);
          Link(j, i);
        }
        mNodes[i]->mStore.Merge(mNodes[j]->mMembership.Self());
      }
    }
  }

  /** Simulates the time aTime; a message takes one time step. */
  void Run(Millis aTime)
  {
    for (const Millis end = mNow + aTime; mNow < end;) {
      mNow += kStep;
      for (std::size_t i = 0; i < mNodes.size(); ++i) {
        if (!mStopped.contains(i)) {
          Step(i);
        }
      }
    }
  }

  void Leave(std::size_t aNode)
  {
    Perform(aNode, mNodes[aNode]->mMembership.Leave());
    Run(kStep * 3);
    mStopped.insert(aNode);
  }

  /** @return the states of member aNode in the stores of the running nodes. */
  std::set<MemberState> StatesOf(std::size_t aNode) const
  {
    std::set<MemberState> states;
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (!mStopped.contains(i)) {
        states.insert(mNodes[i]->mStore.Member(mNames[aNode])->mState);
      }
    }
    return states;
  }

  std::uint64_t Incarnation(std::size_t aNode) const
  {
    return mNodes[aNode]->mMembership.Self().mIncarnation;
  }

  /** The nodes that are paused or have failed. */
  std::set<std::size_t> mStopped;
  /** Returns whether a message from the first node to the second is lost. */
  std::function<bool(std::size_t, std::size_t)> mIsLost =
    [](std::size_t, std::size_t) { return false; };
  /** Every member and state that was ever merged into any store. */
  std::set<std::pair<std::size_t, MemberState>> mSeenStates;

private:
  struct Node
  {
    explicit Node(const std::string& aName)
      : mMembership(MemberFact{ .mNode = aName, .mIncarnation = 1 })
    {
    }
    Membership mMembership;
    FactStore mStore;
    std::set<std::size_t> mLinks;
    /** The sender and the fact of each message; a heartbeat has no fact. */
    std::deque<std::pair<std::size_t, std::optional<Fact>>> mInbox;
  };

  void Link(std::size_t aNode, std::size_t aPeer)
  {
    mNodes[aNode]->mLinks.insert(aPeer);
    mNodes[aNode]->mMembership.OnLinkUp(mNow, mNames[aPeer]);
  }

  std::size_t IndexOf(const std::string& aName) const
  {
    return static_cast<std::size_t>(
      std::find(mNames.begin(), mNames.end(), aName) - mNames.begin());
  }

  void Send(std::size_t aFrom, std::size_t aTo, std::optional<Fact> aFact)
  {
    if (!mIsLost(aFrom, aTo)) {
      mNodes[aTo]->mInbox.emplace_back(aFrom, std::move(aFact));
    }
  }

  void Step(std::size_t aNode)
  {
    Node& node = *mNodes[aNode];
    // The timer is handled before the messages, which is the worst order after
    // a pause.
    Perform(aNode, node.mMembership.Tick(mNow, node.mStore));
    for (std::size_t left = node.mInbox.size(); left > 0; --left) {
      const auto [from, fact] = std::move(node.mInbox.front());
      node.mInbox.pop_front();
      node.mMembership.OnMessage(mNow, mNames[from]);
      if (fact) {
        MergeAndForward(aNode, *fact, from);
      }
    }
  }

  void MergeAndForward(std::size_t aNode, const Fact& aFact, std::size_t aFrom)
  {
    Node& node = *mNodes[aNode];
    if (!node.mStore.Merge(aFact)) {
      return;
    }
    const auto& member = std::get<MemberFact>(aFact);
    mSeenStates.emplace(IndexOf(member.mNode), member.mState);
    for (const std::size_t peer : node.mLinks) {
      if (peer != aFrom) {
        Send(aNode, peer, aFact);
      }
    }
    Perform(aNode, node.mMembership.OnFactMerged(mNow, aFact, mRandom));
  }

  void Perform(std::size_t aNode, const MembershipActions& aActions)
  {
    Node& node = *mNodes[aNode];
    for (const MembershipAction& action : aActions) {
      if (const auto* const heartbeat = std::get_if<SendHeartbeat>(&action)) {
        Send(aNode, IndexOf(heartbeat->mPeer), std::nullopt);
      } else if (const auto* const fact = std::get_if<PublishMember>(&action)) {
        MergeAndForward(aNode, fact->mFact, aNode);
      } else if (const auto* const drop = std::get_if<DropLink>(&action)) {
        // The link is closed and opened again without delay.
        node.mMembership.OnLinkDown(drop->mPeer);
        node.mMembership.OnLinkUp(mNow, drop->mPeer);
      }
    }
  }

  Millis mNow = Seconds(1000);
  Random mRandom{ 1 };
  std::vector<std::string> mNames;
  std::vector<std::unique_ptr<Node>> mNodes;
};

using States = std::set<MemberState>;

// Guards against a process that declares its healthy peers dead when it resumes
// after a pause.
RC_GTEST_PROP(MembershipProperty, PausedNodeDeclaresNobodyDead, ())
{
  SimulatedCluster cluster(8);
  cluster.Run(Seconds(2));
  const auto paused = *rc::gen::inRange<std::size_t>(0, 8);
  const int times = *rc::gen::inRange(1, 4);
  for (int i = 0; i < times; ++i) {
    cluster.mStopped = { paused };
    cluster.Run(Millis{ 100.0 * *rc::gen::inRange(1, 300) });
    cluster.mStopped.clear();
    cluster.Run(Millis{ 100.0 * *rc::gen::inRange(1, 80) });
  }
  cluster.Run(Seconds(10));
  for (const auto& [node, state] : cluster.mSeenStates) {
    RC_ASSERT(node == paused || state == MemberState::Alive);
  }
  // If the others suspected the paused node or declared it dead, it has refuted
  // that.
  RC_ASSERT(cluster.StatesOf(paused) == States{ MemberState::Alive });
}

// Guards against declaring a node dead because its messages to one other node
// are lost, and against a refutation every few seconds while that lasts.
RC_GTEST_PROP(MembershipProperty, OneWayPartitionIsRefuted, ())
{
  SimulatedCluster cluster(8);
  cluster.Run(Seconds(2));
  const auto from = *rc::gen::inRange<std::size_t>(0, 8);
  const auto to = (from + *rc::gen::inRange<std::size_t>(1, 8)) % 8;
  cluster.mIsLost = [&](std::size_t aFrom, std::size_t aTo) {
    return aFrom == from && aTo == to;
  };
  cluster.Run(Seconds(180));
  for (const auto& [node, state] : cluster.mSeenStates) {
    RC_ASSERT(state != MemberState::Dead);
    RC_ASSERT(node == from || state == MemberState::Alive);
  }
  RC_ASSERT(cluster.StatesOf(from) == States{ MemberState::Alive });
  RC_ASSERT(cluster.Incarnation(from) < std::uint64_t{ 10 });
}

// Guards against calls to a failed node for longer than 5.5 s, also when a
// third of the nodes fails at the same time.
TEST(Membership, FailedNodesAreDeclaredDeadInTime)
{
  SimulatedCluster cluster(12);
  cluster.Run(Seconds(2));
  cluster.mStopped = { 1, 4, 5, 9 };
  cluster.Run(Millis{ 5500 });
  for (const std::size_t node : { 1, 4, 5, 9 }) {
    EXPECT_EQ(cluster.StatesOf(node), States{ MemberState::Dead }) << node;
  }
}

// Guards against a failed member that is never declared dead because the node
// that raised the suspicion failed too.
TEST(Membership, OthersDeclareDeadIfSuspectingNodeFailed)
{
  Membership observer(MemberFact{ .mNode = "w" });
  FactStore store;
  Random random(1);
  const MemberFact suspect{ .mNode = "n", .mState = MemberState::Suspect };
  store.Merge(suspect);
  observer.OnFactMerged(Seconds(10), suspect, random);
  MembershipActions actions;
  for (Millis now = Seconds(10); now < Seconds(18); now += kStep) {
    const MembershipActions tickActions = observer.Tick(now, store);
    actions.insert(actions.end(), tickActions.begin(), tickActions.end());
  }
  MemberFact dead = suspect;
  dead.mState = MemberState::Dead;
  EXPECT_EQ(actions, MembershipActions{ PublishMember{ dead } });
}

// Guards against a chosen peer whose failure before the first connection is
// never detected, and against suspecting one that is only slow to connect.
TEST(Membership, ChosenPeerWithoutLinkIsSuspected)
{
  Membership membership(MemberFact{ .mNode = "w" });
  FactStore store;
  store.Merge(MemberFact{ .mNode = "n" });
  membership.SetChosenPeers(Seconds(10), { "n" });
  Millis now = Seconds(10);
  MembershipActions actions;
  while (actions.empty() && now < Seconds(20)) {
    now += kStep;
    actions = membership.Tick(now, store);
  }
  EXPECT_GE(now, Seconds(15));
  EXPECT_LT(now, Seconds(16));
}

// Guards against treating a planned stop as a failure, and against a stopping
// node that refutes its own state.
TEST(Membership, LeavingNodeIsNotSuspected)
{
  SimulatedCluster cluster(6);
  cluster.Run(Seconds(2));
  cluster.Leave(2);
  cluster.Run(Seconds(10));
  EXPECT_EQ(cluster.StatesOf(2), States{ MemberState::Left });
  EXPECT_EQ(cluster.mSeenStates,
            (std::set<std::pair<std::size_t, MemberState>>{
              { 2, MemberState::Left } }));
}

// Guards against two nodes with the same id that overload the network with
// refutations.
TEST(Membership, RefutationRateIsLimited)
{
  Membership membership(MemberFact{ .mNode = "n", .mIncarnation = 5 });
  FactStore store;
  Random random(1);
  std::size_t published = 0;
  for (Millis now; now < Seconds(1); now += Millis{ 10 }) {
    MemberFact other = membership.Self();
    ++other.mIncarnation;
    published += membership.OnFactMerged(now, other, random).size();
    published += membership.Tick(now, store).size();
  }
  EXPECT_GE(published, 4U);
  EXPECT_LE(published, 6U);
  // The facts that arrived within the last interval are refuted later.
  const std::uint64_t before = membership.Self().mIncarnation;
  EXPECT_EQ(membership.Tick(Seconds(2), store).size(), 1U);
  EXPECT_GT(membership.Self().mIncarnation, before + 1);
}

} // namespace
} // namespace papayaway
