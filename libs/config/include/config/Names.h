#pragma once

#include <string_view>

namespace papayaway {

constexpr std::size_t kMaxNameLength = 64;

/**
 * Whether aName may name a node, data centre, region, service or version:
 * 1 to kMaxNameLength ASCII letters, digits, '-', '_' and '.', the first a
 * letter or digit. '/' is excluded because it separates the parts of the keys
 * of facts and table rows.
 */
bool IsValidName(std::string_view aName);

/** The text of findings about a name for which IsValidName() is false. */
constexpr std::string_view kNameRule =
  "must be 1 to 64 letters, digits, '-', '_' or '.', and begin with a letter "
  "or digit";

} // namespace papayaway
