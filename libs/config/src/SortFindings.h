#pragma once

#include <base/Finding.h>

namespace papayaway {

/** Sorts findings by line, those without a line last. The parsers find syntax
 *  errors first, but findings are easier to follow in the order of the file. */
void SortByLine(Findings& aFindings);

} // namespace papayaway
