#include <mesh/Overlay.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <iostream>
#include <map>
#include <random>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayaway {
namespace {

using Links = std::map<std::string, std::set<std::string>>;

std::vector<std::string>
Names(std::size_t aCount, unsigned int aSeed = 0)
{
  std::vector<std::string> names;
  for (std::size_t i = 0; i < aCount; ++i) {
    names.push_back("node-" + std::to_string(aSeed) + "-" + std::to_string(i));
  }
  return names;
}

/** @return the links of each member, both those that it opened and those that
 *    its peers opened. */
Links
LinksOf(const std::vector<std::string>& aMembers)
{
  Links links;
  for (const std::string& member : aMembers) {
    for (const std::string& peer : RingPeers(member, aMembers)) {
      links[member].insert(peer);
      links[peer].insert(member);
    }
  }
  return links;
}

struct Broadcast
{
  /** The number of hops of the first message to each node that was reached. */
  std::map<std::string, int> mHops;
  std::size_t mMessages = 0;
};

/** Simulates a broadcast: each node forwards its first message on all links
 *  except the one on which it arrived. Each hop takes the same time, so two
 *  peers that are reached at the same time send to each other. */
Broadcast
BroadcastFrom(const std::string& aStart, const Links& aLinks)
{
  Broadcast broadcast;
  broadcast.mHops[aStart] = 0;
  std::deque<std::pair<std::string, std::string>> queue{ { aStart, "" } };
  while (!queue.empty()) {
    const auto [node, from] = queue.front();
    queue.pop_front();
    for (const std::string& peer : aLinks.at(node)) {
      if (peer == from) {
        continue;
      }
      ++broadcast.mMessages;
      if (broadcast.mHops.emplace(peer, broadcast.mHops[node] + 1).second) {
        queue.emplace_back(peer, node);
      }
    }
  }
  return broadcast;
}

/** Removes 30 of 90 members, broadcasts one fact over the remaining links and
 *  lets each node exchange digests over one random link.
 *  @return the number of survivors without the fact. */
std::size_t
CountMissedAfterLosingThird(std::vector<std::string> aMembers,
                            Links aLinks,
                            std::mt19937& aRandom)
{
  std::shuffle(aMembers.begin(), aMembers.end(), aRandom);
  for (std::size_t i = 0; i < 30; ++i) {
    for (const std::string& peer : aLinks[aMembers[i]]) {
      aLinks[peer].erase(aMembers[i]);
    }
    aLinks.erase(aMembers[i]);
  }
  std::map<std::string, int> reached =
    BroadcastFrom(aMembers.back(), aLinks).mHops;
  for (const auto& [node, peers] : aLinks) {
    if (peers.empty()) {
      continue;
    }
    const auto index = static_cast<std::ptrdiff_t>(aRandom() % peers.size());
    const std::string& peer = *std::next(peers.begin(), index);
    if (reached.contains(peer) || reached.contains(node)) {
      reached.emplace(node, 0);
      reached.emplace(peer, 0);
    }
  }
  return aLinks.size() - reached.size();
}

// Guards against survivors that a broadcast does not reach when a third of the
// nodes fails before any link is replaced. A few misses are allowed, because
// even with 8 links a survivor can lose all its peers: the probability is about
// 1 in 6561 for one survivor, and 1 in 110 that it happens to any of the 60.
// Such a node chooses new links once it has detected that its peers are dead.
TEST(Overlay, BroadcastReachesSurvivorsAfterLosingThird)
{
  int incomplete = 0;
  std::size_t missed = 0;
  std::mt19937 random(1);
  for (unsigned int seed = 0; seed < 40; ++seed) {
    const std::vector<std::string> members = Names(90, seed);
    const Links links = LinksOf(members);
    for (int loss = 0; loss < 25; ++loss) {
      const std::size_t missedNow =
        CountMissedAfterLosingThird(members, links, random);
      incomplete += missedNow > 0 ? 1 : 0;
      missed += missedNow;
    }
  }
  std::cout << "1000 losses of 30 of 90 members: " << incomplete
            << " broadcasts missed a survivor, " << missed
            << " of 60000 survivors missed\n";
  EXPECT_LE(incomplete, 20);
  EXPECT_LE(missed, 20U);
}

// Guards against links over which a broadcast takes many hops, or sends as many
// messages as an epidemic push, the alternative that was rejected.
TEST(Overlay, BroadcastTakesFewHopsAndMessages)
{
  const std::vector<std::string> members = Names(90);
  const Links links = LinksOf(members);
  int hops = 0;
  std::size_t messages = 0;
  std::size_t degree = 0;
  for (const std::string& start : members) {
    const Broadcast broadcast = BroadcastFrom(start, links);
    EXPECT_EQ(broadcast.mHops.size(), members.size());
    messages += broadcast.mMessages;
    degree = std::max(degree, links.at(start).size());
    for (const auto& [node, count] : broadcast.mHops) {
      hops = std::max(hops, count);
    }
  }
  const double perNode = static_cast<double>(messages) / (90.0 * 90.0);
  std::cout << "90 members: " << perNode << " messages per node, " << hops
            << " hops, at most " << degree << " links\n";
  EXPECT_LE(hops, 5);
  EXPECT_LE(perNode, 7.5);
  EXPECT_LE(degree, 12U);
}

// Guards against a join that makes many members replace their links.
RC_GTEST_PROP(OverlayProperty, JoinReplacesFewLinks, ())
{
  const auto seed = *rc::gen::arbitrary<unsigned int>();
  std::vector<std::string> members = Names(90, seed);
  std::map<std::string, std::vector<std::string>> before;
  for (const std::string& member : members) {
    before[member] = RingPeers(member, members);
  }
  members.emplace_back("newcomer");
  std::size_t replaced = 0;
  for (const auto& [member, peers] : before) {
    const std::vector<std::string> after = RingPeers(member, members);
    std::vector<std::string> lost;
    std::set_difference(peers.begin(),
                        peers.end(),
                        after.begin(),
                        after.end(),
                        std::back_inserter(lost));
    // A member replaces at most one peer, by the new member.
    RC_ASSERT(lost.size() <= std::size_t{ 1 });
    replaced += lost.size();
  }
  RC_ASSERT(replaced <= std::size_t{ 8 });
}

// Guards against links from a node to itself, two links to the same peer, and
// fewer links than the number of members allows.
TEST(Overlay, MembersOfSmallRingsLinkToAll)
{
  for (std::size_t count = 0; count < 9; ++count) {
    const std::vector<std::string> members = Names(count);
    const std::vector<std::string> peers = RingPeers("node-0-0", members);
    const std::set<std::string> unique(peers.begin(), peers.end());
    EXPECT_EQ(unique.size(), peers.size());
    EXPECT_EQ(peers.size(), count == 0 ? 0 : std::min(count - 1, 4UL));
    EXPECT_FALSE(unique.contains("node-0-0"));
  }
}

/** @return a store with two regions of two data centres each, with two members
 *    per data centre. */
FactStore
TwoRegions()
{
  FactStore store;
  for (const char* const place : { "a-1", "a-2", "b-1", "b-2" }) {
    for (const char* const node : { "x", "y" }) {
      store.Merge(MemberFact{ .mNode = std::string(place) + node,
                              .mDataCentre = place,
                              .mRegion = std::string(1, place[0]) });
    }
    store.Merge(RelayFact{
      .mDataCentre = place, .mNode = std::string(place) + "x", .mToken = 1 });
  }
  return store;
}

std::vector<std::string>
RelayNodes(const FactStore& aStore, const char* aNode)
{
  std::vector<std::string> nodes;
  for (const RelayFact& peer : RelayPeers(aStore, *aStore.Member(aNode))) {
    nodes.push_back(peer.mNode);
  }
  return nodes;
}

MemberFact
Dead(const FactStore& aStore, const char* aNode)
{
  MemberFact fact = *aStore.Member(aNode);
  fact.mState = MemberState::Dead;
  return fact;
}

using Strings = std::vector<std::string>;

// Guards against sending a message more than once over a billed link between
// regions, and against a region that is disconnected because its first data
// centre failed.
TEST(Overlay, OneRelayPerRegionLinksToOtherRegions)
{
  FactStore store = TwoRegions();
  EXPECT_EQ(RelayNodes(store, "a-1x"), (Strings{ "a-2x", "b-1x" }));
  EXPECT_EQ(RelayNodes(store, "a-2x"), (Strings{ "a-1x" }));
  EXPECT_EQ(RelayNodes(store, "b-1x"), (Strings{ "a-1x", "b-2x" }));
  store.Merge(Dead(store, "a-1x"));
  store.Merge(Dead(store, "a-1y"));
  EXPECT_EQ(RelayNodes(store, "a-2x"), (Strings{ "b-1x" }));
  EXPECT_EQ(RelayNodes(store, "b-1x"), (Strings{ "a-2x", "b-2x" }));
}

// Guards against a data centre to which no other links after its relay failed
// during an outage of the platform, when no new relay fact can be published.
TEST(Overlay, DeadRelayIsReplacedByFirstInRank)
{
  FactStore store = TwoRegions();
  store.Merge(Dead(store, "b-1x"));
  EXPECT_EQ(RelayNodes(store, "a-1x"), (Strings{ "a-2x", "b-1y" }));
}

} // namespace
} // namespace papayaway
