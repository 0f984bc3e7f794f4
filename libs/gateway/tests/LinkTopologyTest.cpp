#include <gateway/LinkTopology.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include <gtest/gtest.h>

#include <gateway/FollowerElection.h>

namespace papayaway::gateway {
namespace {

constexpr int kRegions = 2;
constexpr int kDataCentresPerRegion = 4;

const auto kAllReachable = [](const std::string&) { return true; };

/** Eight data centres in two regions with the same number of nodes each. */
class Fleet
{
public:
  explicit Fleet(int aNodesPerDataCentre)
  {
    for (int i = 0; i < kRegions * kDataCentresPerRegion; ++i) {
      for (int j = 0; j < aNodesPerDataCentre; ++j) {
        const std::string dataCentre = "dc-" + std::to_string(i);
        const std::string node = dataCentre + "-" + std::to_string(j);
        mNodes.Merge({ .mNode = node,
                       .mDataCentre = dataCentre,
                       .mRegion = "region-" + std::to_string(i % kRegions),
                       .mPeerAddress = node + ":1",
                       .mIncarnation = 1 });
      }
    }
  }

  [[nodiscard]] LinkTopology TopologyOf(const NodeRecord& aRecord) const
  {
    LinkTopology topology({ .mNode = aRecord.mNode,
                            .mDataCentre = aRecord.mDataCentre,
                            .mRegion = aRecord.mRegion });
    topology.Update(mNodes, kAllReachable, Millis{});
    return topology;
  }

  /** @return which nodes follow the store if the given ones are alive. */
  [[nodiscard]] std::vector<std::string> Followers(
    const std::function<bool(const std::string&)>& aIsAlive) const
  {
    std::vector<std::string> followers;
    for (const auto& [node, record] : mNodes.All()) {
      if (!aIsAlive(node)) {
        continue;
      }
      const auto names = TopologyOf(record).FollowerCandidates(aIsAlive);
      std::vector<FollowerCandidate> candidates;
      candidates.reserve(names.size());
      for (const std::string& name : names) {
        candidates.push_back({ .mNode = name });
      }
      if (FollowerElection().Decide(node, candidates, Millis{})) {
        followers.push_back(node);
      }
    }
    return followers;
  }

  NodeDirectory mNodes;
};

// Guards against reads of whole states over the link between regions by two
// nodes of each data centre: in a series of changes they fill the link, and
// heartbeats and further changes are delayed behind them.
TEST(RegionFollowers, TwoNodesOfEachRegionReadTheStore)
{
  for (const int nodes : { 1, 4, 40 }) {
    const auto followers =
      Fleet(nodes).Followers([](const std::string&) { return true; });
    EXPECT_EQ(
      followers,
      (std::vector<std::string>{ "dc-0-0", "dc-1-0", "dc-2-0", "dc-3-0" }))
      << nodes;
  }
}

// Guards against a region without followers after those have failed, and
// against a data centre without followers whose link nodes have all failed.
TEST(RegionFollowers, OtherNodesReplaceFailedOnes)
{
  const Fleet fleet(5);
  const auto isLinkNodeOfFirst = [](const std::string& aNode) {
    return aNode == "dc-0-0" || aNode == "dc-0-1" || aNode == "dc-0-2";
  };
  const auto followers = fleet.Followers(
    [&](const std::string& aNode) { return !isLinkNodeOfFirst(aNode); });
  EXPECT_EQ(followers,
            (std::vector<std::string>{
              "dc-0-3", "dc-0-4", "dc-1-0", "dc-2-0", "dc-3-0", "dc-4-0" }));
}

// Guards against links whose number grows with the whole fleet.
TEST(LinkTopology, NodesLinkToTheirDataCentreAndLinkNodesToAllLinkNodes)
{
  const Fleet fleet(40);
  const LinkTopology linkNode = fleet.TopologyOf(*fleet.mNodes.Find("dc-3-1"));
  EXPECT_TRUE(linkNode.IsLinkNode());
  EXPECT_EQ(linkNode.Peers().size(), 39U + 7 * 3);
  const LinkTopology other = fleet.TopologyOf(*fleet.mNodes.Find("dc-3-9"));
  EXPECT_FALSE(other.IsLinkNode());
  EXPECT_EQ(other.Peers().size(), 39U);
  EXPECT_FALSE(other.Peers().contains("dc-3-9"));
  EXPECT_EQ(other.OtherDataCentres(false),
            (std::vector<std::string>{ "dc-1", "dc-5", "dc-7" }));
  EXPECT_EQ(other.OtherDataCentres(true),
            (std::vector<std::string>{ "dc-0", "dc-2", "dc-4", "dc-6" }));
}

// Guards against link nodes that have left, so that their data centre would
// not be linked to the others.
TEST(LinkTopology, LeavingLinkNodeIsReplaced)
{
  Fleet fleet(5);
  NodeRecord leaving = *fleet.mNodes.Find("dc-2-0");
  LinkTopology topology = fleet.TopologyOf(*fleet.mNodes.Find("dc-2-3"));
  EXPECT_FALSE(topology.IsLinkNode());
  EXPECT_FALSE(topology.Update(fleet.mNodes, kAllReachable, Millis{}));
  ++leaving.mSequence;
  leaving.mLeaving = true;
  fleet.mNodes.Merge(leaving);
  EXPECT_TRUE(topology.Update(fleet.mNodes, kAllReachable, Millis{}));
  EXPECT_TRUE(topology.IsLinkNode());
}

/** The topologies of all nodes of a fleet of which some are lost. Two nodes are
 *  linked when one of them keeps a link to the other and both run. */
class LossSimulation
{
public:
  explicit LossSimulation(const Fleet& aFleet)
    : mFleet(aFleet)
  {
    for (const auto& [node, record] : aFleet.mNodes.All()) {
      mTopologies.emplace(node,
                          LinkTopology({ .mNode = record.mNode,
                                         .mDataCentre = record.mDataCentre,
                                         .mRegion = record.mRegion }));
    }
    Run(Seconds(2));
  }

  void Run(Millis aTime)
  {
    for (const Millis end = mNow + aTime; mNow < end; mNow += Millis{ 200 }) {
      std::map<std::string, std::set<std::string>> linked;
      for (const auto& [node, topology] : mTopologies) {
        for (const auto& [peer, address] : topology.Peers()) {
          if (!mLost.contains(node) && !mLost.contains(peer)) {
            linked[node].insert(peer);
            linked[peer].insert(node);
          }
        }
      }
      for (auto& [node, topology] : mTopologies) {
        if (!mLost.contains(node)) {
          const std::set<std::string>& reached = linked[node];
          topology.Update(
            mFleet.mNodes,
            [&reached](const std::string& aPeer) {
              return reached.contains(aPeer);
            },
            mNow);
        }
      }
      mLinked = std::move(linked);
    }
  }

  /** @return whether the first running node by name of each data centre has a
   *    link to that of each other one. */
  [[nodiscard]] bool RelaysAreLinked() const
  {
    std::map<std::string, std::string> relays;
    for (const auto& [node, record] : mFleet.mNodes.All()) {
      if (!mLost.contains(node)) {
        relays.emplace(record.mDataCentre, node);
      }
    }
    for (const auto& [one, relay] : relays) {
      for (const auto& [other, otherRelay] : relays) {
        if (one != other && !mLinked.at(relay).contains(otherRelay)) {
          return false;
        }
      }
    }
    return true;
  }

  const LinkTopology& Of(const std::string& aNode) const
  {
    return mTopologies.at(aNode);
  }

  std::set<std::string> mLost;

private:
  const Fleet& mFleet;
  std::map<std::string, LinkTopology> mTopologies;
  std::map<std::string, std::set<std::string>> mLinked;
  Millis mNow;
};

// Guards against a data centre that is cut off because lost nodes keep the role
// of its link nodes (review/14): any number of nodes is lost at once, in one or
// in all data centres.
TEST(LinkTopology, LostLinkNodesAreReplaced)
{
  for (const bool everywhere : { false, true }) {
    for (const int lost : { 1, 3, 4, 9, 15 }) {
      const Fleet fleet(16);
      LossSimulation simulation(fleet);
      ASSERT_TRUE(simulation.RelaysAreLinked());
      for (const auto& [node, record] : fleet.mNodes.All()) {
        const std::size_t number =
          std::stoul(node.substr(record.mDataCentre.size() + 1));
        if (number < static_cast<std::size_t>(lost) &&
            (everywhere || record.mDataCentre == "dc-2")) {
          simulation.mLost.insert(node);
        }
      }
      simulation.Run(Seconds(10));
      EXPECT_TRUE(simulation.RelaysAreLinked()) << lost << everywhere;
    }
  }
}

// Guards against roles that change hands with each short silence of a slow
// node, and against links that stay open after a search.
TEST(LinkTopology, SlowLinkNodeDoesNotTakeTurns)
{
  const Fleet fleet(5);
  LossSimulation simulation(fleet);
  for (int i = 0; i < 10; ++i) {
    simulation.mLost = { "dc-2-0" };
    simulation.Run(Millis{ 1600 });
    EXPECT_FALSE(simulation.Of("dc-2-3").IsLinkNode());
    simulation.mLost.clear();
    simulation.Run(Millis{ 600 });
  }
  int changes = 0;
  bool before = false;
  for (int i = 0; i < 10; ++i) {
    simulation.mLost = { "dc-2-0" };
    simulation.Run(Seconds(3));
    changes +=
      std::exchange(before, simulation.Of("dc-2-3").IsLinkNode()) != before;
    simulation.mLost.clear();
    simulation.Run(Seconds(3));
    changes +=
      std::exchange(before, simulation.Of("dc-2-3").IsLinkNode()) != before;
  }
  EXPECT_EQ(changes, 1);
  simulation.Run(Seconds(6));
  EXPECT_FALSE(simulation.Of("dc-2-3").IsLinkNode());
  EXPECT_EQ(simulation.Of("dc-2-0").Peers().size(), 4U + 7 * 3);
}

// Guards against a process that was stopped itself and takes all others for
// lost when it goes on.
TEST(NodeLiveness, OwnStopSaysNothingOfTheOthers)
{
  NodeLiveness liveness;
  liveness.BeginObservations(Millis{});
  liveness.Observe("n", true, Millis{});
  liveness.BeginObservations(Seconds(20));
  liveness.Observe("n", false, Seconds(20));
  EXPECT_TRUE(liveness.IsAlive("n"));
  liveness.BeginObservations(Seconds(20.5));
  liveness.Observe("n", false, Seconds(22.5));
  EXPECT_FALSE(liveness.IsAlive("n"));
}

} // namespace
} // namespace papayaway::gateway
