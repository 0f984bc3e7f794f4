#include "SortFindings.h"

#include <algorithm>
#include <climits>

namespace papayaway {

void
SortByLine(Findings& aFindings)
{
  const auto order = [](const Finding& aFinding) {
    return aFinding.mLine == 0 ? INT_MAX : aFinding.mLine;
  };
  std::stable_sort(aFindings.begin(),
                   aFindings.end(),
                   [&](const Finding& aLeft, const Finding& aRight) {
                     return order(aLeft) < order(aRight);
                   });
}

} // namespace papayaway
