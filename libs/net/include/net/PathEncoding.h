#pragma once

#include <string>
#include <string_view>

namespace papayaway {

/** @return aText with everything but letters, digits and "-._~/" as %XX, for
 *    a path or the value of a query argument. */
std::string PercentEncode(std::string_view aText);

/** @return aPath with each valid %XX decoded; '+' stays as it is. */
std::string PercentDecodePath(std::string_view aPath);

} // namespace papayaway
