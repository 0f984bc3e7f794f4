#pragma once

#include <vector>

#include <config/Document.h>
#include <wire/Facts.h>

namespace papayaway {

/** @return the shares of aService's versions, by index, with aMove applied.
 *  @param aMove the fact of the service's current move, or nullptr. */
std::vector<int> SharesAfterMove(const Service& aService,
                                 const MoveFact* aMove);

/** @return whether aFact tells of the move and attempt that aService asks. */
bool IsCurrentMove(const Service& aService, const MoveFact& aFact);

/**
 * Distributes aTotal in proportion to aWeights, rounding so that the parts
 * sum to aTotal.
 */
std::vector<int> Proportional(const std::vector<int>& aWeights, int aTotal);

} // namespace papayaway
