#include <mesh/Overlay.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include <base/Hash.h>

namespace papayaway {

namespace {

constexpr std::uint64_t kRings = 4;

/** A hash that orders nodes, and the node id. */
using HashedNode = std::pair<std::uint64_t, std::string>;

bool
IsLive(const MemberFact& aMember)
{
  return aMember.mState == MemberState::Alive ||
         aMember.mState == MemberState::Suspect;
}

/** @return the fact of the current relay of aDataCentre.
 *  @param aDataCentre a data centre with at least one live member. */
RelayFact
RelayOf(const FactStore& aFacts, const std::string& aDataCentre)
{
  const auto* const relay =
    aFacts.Find<RelayFact>(FactKey(RelayFact{ .mDataCentre = aDataCentre }));
  if (relay != nullptr) {
    const MemberFact* const member = aFacts.Member(relay->mNode);
    if (member != nullptr && IsLive(*member)) {
      return *relay;
    }
  }
  const MemberFact& first = *aFacts.Member(
    RelayRankOrder(aDataCentre, LiveMembers(aFacts, aDataCentre)).front());
  return { .mDataCentre = aDataCentre,
           .mNode = first.mNode,
           .mPeerAddress = first.mPeerAddress };
}

} // namespace

std::vector<std::string>
LiveMembers(const FactStore& aFacts, const std::string& aDataCentre)
{
  std::vector<std::string> nodes;
  aFacts.ForEach<MemberFact>([&](const MemberFact& aMember) {
    if (aMember.mDataCentre == aDataCentre && IsLive(aMember)) {
      nodes.push_back(aMember.mNode);
    }
  });
  std::sort(nodes.begin(), nodes.end());
  return nodes;
}

std::vector<std::string>
RingPeers(const std::string& aOwn, const std::vector<std::string>& aMembers)
{
  std::vector<std::string> peers;
  for (std::uint64_t ring = 0; ring < kRings; ++ring) {
    const std::uint64_t own = Hash64(aOwn, ring);
    std::optional<HashedNode> successor;
    for (const std::string& member : aMembers) {
      if (member == aOwn ||
          std::find(peers.begin(), peers.end(), member) != peers.end()) {
        continue;
      }
      // The distance along the ring; unsigned subtraction wraps around.
      HashedNode position{ Hash64(member, ring) - own, member };
      if (!successor || position < *successor) {
        successor = std::move(position);
      }
    }
    if (successor) {
      peers.push_back(std::move(successor->second));
    }
  }
  std::sort(peers.begin(), peers.end());
  return peers;
}

std::vector<std::string>
RelayRankOrder(const std::string& aDataCentre,
               std::vector<std::string> aMembers)
{
  std::vector<HashedNode> ranks;
  ranks.reserve(aMembers.size());
  for (std::string& member : aMembers) {
    const std::uint64_t rank = Hash64(aDataCentre + "/" + member);
    ranks.emplace_back(rank, std::move(member));
  }
  std::sort(ranks.begin(), ranks.end());
  std::transform(ranks.begin(), ranks.end(), aMembers.begin(), [](auto& aRank) {
    return std::move(aRank.second);
  });
  return aMembers;
}

std::vector<RelayFact>
RelayPeers(const FactStore& aFacts, const MemberFact& aOwn)
{
  // The data centres with a live member, by name, with their region.
  std::map<std::string, std::string> regions{ { aOwn.mDataCentre,
                                                aOwn.mRegion } };
  aFacts.ForEach<MemberFact>([&](const MemberFact& aMember) {
    if (IsLive(aMember)) {
      regions.emplace(aMember.mDataCentre, aMember.mRegion);
    }
  });
  std::map<std::string, std::string> firstDataCentres;
  for (const auto& [dataCentre, region] : regions) {
    firstDataCentres.emplace(region, dataCentre);
  }

  const bool linksRegions =
    firstDataCentres.at(aOwn.mRegion) == aOwn.mDataCentre;
  std::vector<RelayFact> peers;
  for (const auto& [dataCentre, region] : regions) {
    const bool linked =
      region == aOwn.mRegion ||
      (linksRegions && firstDataCentres.at(region) == dataCentre);
    if (linked && dataCentre != aOwn.mDataCentre) {
      peers.push_back(RelayOf(aFacts, dataCentre));
    }
  }
  return peers;
}

} // namespace papayaway
