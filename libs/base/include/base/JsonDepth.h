#pragma once

#include <cstddef>
#include <string_view>

namespace papayaway {

/** Maximum nesting of arrays and objects in JSON text that others write. */
constexpr std::size_t kMaxJsonDepth = 32;

/** @return whether arrays and objects in the JSON text nest deeper than aDepth.
 *    The result for text that is not JSON is unspecified. */
bool NestsDeeperThan(std::string_view aJson, std::size_t aDepth);

} // namespace papayaway
