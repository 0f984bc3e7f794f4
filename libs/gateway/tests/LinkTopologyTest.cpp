#include <gateway/LinkTopology.h>

#include <algorithm>

#include <gtest/gtest.h>

#include <gateway/FollowerElection.h>

namespace papayaway::gateway {
namespace {

constexpr int kRegions = 2;
constexpr int kDataCentresPerRegion = 4;

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
    topology.Update(mNodes);
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
  EXPECT_FALSE(topology.Update(fleet.mNodes));
  ++leaving.mSequence;
  leaving.mLeaving = true;
  fleet.mNodes.Merge(leaving);
  EXPECT_TRUE(topology.Update(fleet.mNodes));
  EXPECT_TRUE(topology.IsLinkNode());
}

} // namespace
} // namespace papayaway::gateway
