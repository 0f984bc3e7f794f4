#pragma once

#include <string>
#include <vector>

#include <mesh/FactStore.h>

namespace papayaway {

/** @return the nodes of a data centre that are alive or suspect, sorted. A
 *    suspect node keeps its links until it is dead, so that a suspicion that
 *    is refuted changes no link. */
std::vector<std::string> LiveMembers(const FactStore& aFacts,
                                     const std::string& aDataCentre);

/**
 * Chooses the links inside a data centre.
 *
 * Members stand on 4 rings, sorted by a different hash of the id on each, and
 * a node links to its successor on each ring. Unlike links to distances on one
 * ring, this gives every member about 8 links in both directions, and a member
 * that joins or leaves moves one link per ring.
 *
 * @param aOwn the own id; it need not be among aMembers.
 * @param aMembers the live members of the data centre.
 * @return at most 4 ids without aOwn, sorted.
 */
std::vector<std::string> RingPeers(const std::string& aOwn,
                                   const std::vector<std::string>& aMembers);

/** @return aMembers in the order in which they stand in as relay of
 *    aDataCentre: by the hash of data centre and node. */
std::vector<std::string> RankOrder(const std::string& aDataCentre,
                                   std::vector<std::string> aMembers);

/**
 * Chooses the links of a relay to other data centres.
 *
 * The relay of a data centre is the node of its relay fact. If that node is
 * not live, it is the first live member in rank order, which acts as
 * provisional relay while the platform is down and cannot replace the fact.
 *
 * @param aOwn the member fact of this node, which acts as relay.
 * @return the relays of the other data centres of its region, and, if its
 *   data centre is the first live one by name in its region, the relay of the
 *   first live data centre of each other region; sorted by data centre.
 *   Tokens are 0 where there is no relay fact.
 */
std::vector<RelayFact> RelayPeers(const FactStore& aFacts,
                                  const MemberFact& aOwn);

} // namespace papayaway
