#pragma once

#include <string>
#include <vector>

#include <mesh/FactStore.h>

namespace papayaway {

/** @return the ids of the nodes of a data centre that are alive or suspect,
 *    sorted. A suspect node keeps its links until it is declared dead, so that
 *    a refuted suspicion changes no links. */
std::vector<std::string> LiveMembers(const FactStore& aFacts,
                                     const std::string& aDataCentre);

/**
 * Chooses the links inside a data centre.
 *
 * The members form 4 rings, each ordered by a different hash of the node id,
 * and a node opens a link to its successor on each ring. Unlike links to
 * several distances on a single ring, this gives every member about 8 links,
 * counting both directions, and a member that joins or leaves changes only one
 * link per ring.
 *
 * @param aOwn the id of this node; it need not be among aMembers.
 * @param aMembers the live members of the data centre.
 * @return at most 4 ids without aOwn, sorted.
 */
std::vector<std::string> RingPeers(const std::string& aOwn,
                                   const std::vector<std::string>& aMembers);

/** @return aMembers in rank order, that is, in the order in which they become
 *    relay of aDataCentre: by the hash of data centre and node id. */
std::vector<std::string> RelayRankOrder(const std::string& aDataCentre,
                                        std::vector<std::string> aMembers);

/**
 * Chooses the links of a relay to other data centres.
 *
 * The relay of a data centre is the node named in its relay fact. If that node
 * is not live, it is the first live member in rank order, which acts as
 * provisional relay while the platform is unavailable and the relay fact can't
 * be replaced.
 *
 * Only one data centre per region, the first live one by name, has links to
 * other regions.
 *
 * @param aOwn the member fact of this node, which acts as relay.
 * @return the relays of the other data centres of its region, and, if its data
 *   centre is the first live one of the region, the relay of the first live
 *   data centre of each other region; sorted by data centre. The token is 0
 *   where no relay fact names a live node.
 */
std::vector<RelayFact> RelayPeers(const FactStore& aFacts,
                                  const MemberFact& aOwn);

} // namespace papayaway
