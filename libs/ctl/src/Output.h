#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace papayaway {

/** @return aText with control characters replaced by '?', since text from nodes
 *    may contain terminal escape sequences. */
std::string Printable(std::string aText);

/** @return the member aKey of aObject as printable text; "" if it is missing or
 *    null. */
std::string TextMember(const nlohmann::json& aObject, std::string_view aKey);

/** @return the member aKey of aObject, or 0 if it is not an integer. */
std::int64_t NumberMember(const nlohmann::json& aObject, std::string_view aKey);

/** @return the elements of the array aKey of aObject that are objects. */
std::vector<nlohmann::json> ObjectsMember(const nlohmann::json& aObject,
                                          std::string_view aKey);

/** @return aMillis since the Unix epoch as UTC, "2026-01-31 08:00:00.000". */
std::string FormatTime(std::int64_t aMillis);

/** Writes aJson with indentation. */
void PrintJson(std::ostream& aOut, const nlohmann::json& aJson);

/** Writes rows of text with aligned columns. */
void PrintTable(std::ostream& aOut,
                const std::vector<std::vector<std::string>>& aRows);

} // namespace papayaway
