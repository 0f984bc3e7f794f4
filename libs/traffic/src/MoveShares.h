#pragma once

#include <vector>

#include <config/Document.h>
#include <wire/Facts.h>

namespace papayaway {

/** @return the shares of aService's versions with aMove applied, in the order
 *    of Service::mVersions.
 *  @param aMove the progress of the service's current move, or nullptr. */
std::vector<int> SharesAfterMove(const Service& aService,
                                 const MoveFact* aMove);

/** @return whether aFact is about the move and the attempt that the document
 *    orders for aService. */
bool IsCurrentMove(const Service& aService, const MoveFact& aFact);

/**
 * Divides aTotal in proportion to aWeights and rounds so that the parts sum to
 * aTotal.
 *
 * @return the parts; all 0 if the weights do not sum to more than 0.
 */
std::vector<int> Apportion(const std::vector<int>& aWeights, int aTotal);

} // namespace papayaway
