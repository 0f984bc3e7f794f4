#pragma once

#include <base/Finding.h>

namespace papayaway {

/** Orders findings by line, those without a line last. The parsers collect
 *  syntax findings first, but people read a file by lines. */
void SortByLine(Findings& aFindings);

} // namespace papayaway
