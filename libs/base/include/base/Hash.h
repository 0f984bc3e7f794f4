#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace papayaway {

/** @return the 64-bit XXH3 hash of aBytes, which is the same on every host. */
std::uint64_t Hash64(std::string_view aBytes, std::uint64_t aSeed = 0);

/** @return aValue as 16 lower-case hexadecimal digits. */
std::string HexDigits(std::uint64_t aValue);

/** @return the HMAC-SHA256 of aMessage with aKey in lower-case hexadecimal
 *    digits. */
std::string HmacSha256(std::string_view aKey, std::string_view aMessage);

/** Compares two secrets. The run time may depend on their lengths but not on
 *  where they differ.
 *  @return whether they are equal. */
bool EqualConstantTime(std::string_view aLeft, std::string_view aRight);

} // namespace papayaway
