#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace papayaway {

/** @param aAllowPortZero whether port 0 is accepted, for which the operating
 *    system chooses the port.
 *  @return whether aText is an address in the form "IPv4:port". */
bool IsAddress(std::string_view aText, bool aAllowPortZero);

/** Parses a decimal integer in [aMin, aMax] into aNumber.
 *  @return an error message, or "". */
std::string ParseUnsigned(const std::string& aText,
                          std::uint64_t aMin,
                          std::uint64_t aMax,
                          std::uint64_t& aNumber);

} // namespace papayaway
