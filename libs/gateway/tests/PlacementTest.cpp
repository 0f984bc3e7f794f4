#include <gateway/Placement.h>

#include <algorithm>

#include <gtest/gtest.h>

#include <base/Random.h>

namespace papayaway::gateway {
namespace {

// Guards against a request that reaches a region which its route or tenant does
// not name, in particular against a route and a tenant without a common region
// that are treated like an empty list. Load: deposit-lodge of the auctions.
TEST(AllowedRegions, RouteAndTenantMustBothAllowARegion)
{
  const RouteRule any{ .mName = "any" };
  const RouteRule north{ .mName = "home", .mAllowedRegions = { "north" } };
  const RouteRule twin{ .mName = "home", .mAllowedRegions = { "east" } };
  const PlacementRules rules(
    { .mHosts = { { "h", { any, north } }, { "i", { twin } } },
      .mTenants = {
        { .mName = "both", .mAllowedRegions = { "north", "south" } },
        { .mName = "south", .mAllowedRegions = { "south" } } } });
  EXPECT_EQ(rules.For(any, ""), AllowedRegions());
  EXPECT_EQ(rules.For(any, "south"), AllowedRegions({ "south" }));
  EXPECT_EQ(rules.For(north, "unknown"), AllowedRegions({ "north" }));
  EXPECT_EQ(rules.For(north, "both"), AllowedRegions({ "north" }));
  EXPECT_TRUE(rules.For(north, "south").AllowsNothing());
  EXPECT_FALSE(rules.For(north, "south").Allows("north"));
  EXPECT_EQ(rules.For("home", ""), AllowedRegions({ "north", "east" }));
  EXPECT_TRUE(rules.For("home", "south").AllowsNothing());
  EXPECT_EQ(rules.For("unknown", ""), AllowedRegions());
}

// Guards against an evacuation or its end that a node misses, undoes or brings
// back. Two of six nodes read the store; messages are lost, repeated and
// reordered, and nodes restart. Load: operators who evacuate and bring back
// data centres while links and processes fail.
TEST(EvacuationSet, NodesAgreeWithTheStoreAfterLostAndReorderedMessages)
{
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Random random(seed);
    std::vector<Evacuations> versions(1);
    std::vector<EvacuationChange> changes;
    std::vector<EvacuationSet> nodes(6);
    std::vector<std::uint64_t> followed(2);
    std::vector<Evacuations> messages(1);
    for (int step = 0; step < 200; ++step) {
      const std::size_t node = UniformBelow(random, nodes.size());
      const std::uint64_t action = UniformBelow(random, 51);
      if (action < 10) {
        const std::string name = "d" + std::to_string(UniformBelow(random, 3));
        Evacuations next = versions.back();
        next.mVersion = next.mVersion.Number() + 1;
        const bool deleted = next.mDataCentres.erase(name) > 0;
        if (!deleted) {
          next.mDataCentres.insert(name);
        }
        changes.push_back({ name, next.mVersion, deleted });
        versions.push_back(next);
      } else if (action < 20 && node < followed.size()) {
        std::vector<EvacuationChange> read(
          changes.begin() + static_cast<std::ptrdiff_t>(followed[node]),
          changes.end());
        std::shuffle(read.begin(), read.end(), random);
        followed[node] = changes.size();
        nodes[node].ApplyChanges(followed[node], std::move(read));
      } else if (action < 30) {
        messages.push_back(nodes[node].Current());
      } else if (action < 50) {
        nodes[node].Replace(messages[UniformBelow(random, messages.size())]);
      } else {
        // A node that has restarted reads the whole table.
        nodes[node] = {};
        nodes[node].Replace(versions.back());
      }
      const Evacuations& current = nodes[node].Current();
      ASSERT_EQ(current, versions.at(current.mVersion.Number())) << seed;
    }
    nodes[0].Replace(versions.back());
    for (EvacuationSet& node : nodes) {
      const bool differs = node.Digest() != nodes[0].Digest();
      EXPECT_EQ(node.Replace(nodes[0].Current()), differs) << seed;
      EXPECT_EQ(node.Current().mDataCentres, versions.back().mDataCentres);
    }
  }
}

// Guards against repeated rows that count as changes, and against rows that
// take unlimited memory.
TEST(EvacuationSet, RepeatedAndOddRowsChangeNothing)
{
  EvacuationSet set;
  EXPECT_TRUE(set.ApplyChanges(4, { { "d1", 4, false } }));
  EXPECT_FALSE(set.ApplyChanges(
    9, { { "d1", 5, false }, { "", 6, false }, { "d1", 3, true } }));
  EXPECT_FALSE(set.ApplyChanges(10, { { std::string(256, 'x'), 10, false } }));
  for (std::uint64_t version = 11; version < 400; ++version) {
    set.ApplyChanges(version, { { std::to_string(version), version, false } });
  }
  EXPECT_EQ(set.Current().mDataCentres.size(), kMaxEvacuations);
}

} // namespace
} // namespace papayaway::gateway
