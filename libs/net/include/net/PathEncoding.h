#pragma once

#include <string>
#include <string_view>

namespace papayaway {

/** Percent-encodes all bytes but ASCII letters, digits and "-._~/".
 *  @return text for a path or for the value of a query argument. */
std::string PercentEncode(std::string_view aText);

/** @return aPath with each valid %XX decoded; '+' is not decoded. */
std::string PercentDecodePath(std::string_view aPath);

} // namespace papayaway
