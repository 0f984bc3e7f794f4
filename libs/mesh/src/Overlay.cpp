#include <mesh/Overlay.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <utility>

#include <base/Hash.h>

namespace papayaway {

namespace {

using Position = std::pair<std::uint64_t, std::string>;

bool
IsLive(const MemberFact& aMember)
{
  return aMember.mState == MemberState::Alive ||
         aMember.mState == MemberState::Suspect;
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
  // The successor comes first: it keeps the ring closed.
  constexpr std::uint64_t kEighth = std::uint64_t{ 1 } << 61;
  constexpr std::array<std::uint64_t, 4> kDistances{
    0, 2 * kEighth, 4 * kEighth, 3 * kEighth
  };

  std::vector<Position> ring;
  ring.reserve(aMembers.size());
  for (const std::string& member : aMembers) {
    if (member != aOwn) {
      ring.emplace_back(Hash64(member), member);
    }
  }
  std::sort(ring.begin(), ring.end());
  ring.erase(std::unique(ring.begin(), ring.end()), ring.end());

  std::vector<std::string> peers;
  const Position own{ Hash64(aOwn), aOwn };
  for (const std::uint64_t distance : kDistances) {
    if (peers.size() == ring.size()) {
      break;
    }
    const auto start = std::lower_bound(
      ring.begin(), ring.end(), Position{ own.first + distance, own.second });
    auto index = static_cast<std::size_t>(start - ring.begin()) % ring.size();
    while (std::find(peers.begin(), peers.end(), ring[index].second) !=
           peers.end()) {
      index = (index + 1) % ring.size();
    }
    peers.push_back(ring[index].second);
  }
  std::sort(peers.begin(), peers.end());
  return peers;
}

std::vector<RelayFact>
RelayPeers(const FactStore& aFacts, const MemberFact& aOwn)
{
  struct Place
  {
    RelayFact mRelay;
    std::string mRegion;
  };
  std::vector<Place> relays;
  // The first data centre by name in each region that has a live relay.
  std::map<std::string, std::string> gateways{ { aOwn.mRegion,
                                                 aOwn.mDataCentre } };
  aFacts.ForEach<RelayFact>([&](const RelayFact& aRelay) {
    const MemberFact* const member = aFacts.Member(aRelay.mNode);
    if (aRelay.mDataCentre == aOwn.mDataCentre || member == nullptr ||
        !IsLive(*member)) {
      return;
    }
    const auto [gateway, added] =
      gateways.emplace(member->mRegion, aRelay.mDataCentre);
    gateway->second = std::min(gateway->second, aRelay.mDataCentre);
    relays.push_back({ aRelay, member->mRegion });
  });

  const bool isGateway = gateways.at(aOwn.mRegion) == aOwn.mDataCentre;
  std::vector<RelayFact> peers;
  for (const Place& place : relays) {
    const bool sameRegion = place.mRegion == aOwn.mRegion;
    const bool counterpart =
      isGateway && gateways.at(place.mRegion) == place.mRelay.mDataCentre;
    if (sameRegion || counterpart) {
      peers.push_back(place.mRelay);
    }
  }
  std::sort(peers.begin(),
            peers.end(),
            [](const RelayFact& aLeft, const RelayFact& aRight) {
              return aLeft.mNode < aRight.mNode;
            });
  return peers;
}

} // namespace papayaway
