#pragma once

#include <string_view>

namespace papayaway {

/**
 * Checks the structure of CBOR input in constant stack and memory.
 *
 * The parser of the JSON library recurses once for each nested container and
 * throws for impossible lengths, so input goes through this check first.
 *
 * @return nullptr if aBytes is one value with definite lengths, no tags, few
 *   levels and not more than kMaxValues values; otherwise the fault.
 */
const char* ScanCbor(std::string_view aBytes);

} // namespace papayaway
