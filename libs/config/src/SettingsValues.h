#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace papayaway {

/** @param aAnyPort whether port 0 is accepted, which lets the system choose.
 *  @return whether aText is "IPv4:port". */
bool IsAddress(std::string_view aText, bool aAnyPort);

/** Reads a whole number into aNumber.
 *  @return what is wrong with aText, or "". */
std::string ParseWhole(const std::string& aText,
                       std::uint64_t aLeast,
                       std::uint64_t aMost,
                       std::uint64_t& aNumber);

} // namespace papayaway
