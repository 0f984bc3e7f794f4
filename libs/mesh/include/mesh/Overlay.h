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
 * Members stand on a ring at the hash of their id. A node links to its
 * successor and to the first member at or after the points 1/4, 1/2 and 3/8
 * around the ring. Points of the hash space, unlike positions in the sorted
 * list, move only the links next to a member that joins or leaves.
 *
 * @param aOwn the own id; it need not be among aMembers.
 * @param aMembers the live members of the data centre.
 * @return at most 4 ids without aOwn, sorted.
 */
std::vector<std::string> RingPeers(const std::string& aOwn,
                                   const std::vector<std::string>& aMembers);

/**
 * Chooses the links of a relay to other data centres.
 *
 * @param aOwn the member fact of this node, which acts as relay.
 * @return the live relays of the other data centres of its region, and of
 *   those of other regions if its data centre is the first by name in its
 *   region that has a live relay; sorted by node.
 */
std::vector<RelayFact> RelayPeers(const FactStore& aFacts,
                                  const MemberFact& aOwn);

} // namespace papayaway
