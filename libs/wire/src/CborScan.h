#pragma once

#include <string_view>

namespace papayaway {

/**
 * Checks the structure of CBOR input with constant stack and memory use.
 *
 * The CBOR parser of the JSON library recurses once per nested container and
 * throws if a declared length exceeds the input, so untrusted input must pass
 * this check before it is parsed.
 *
 * @return nullptr if aBytes is a single value with definite lengths, without
 *   tags, and within the limits on nesting depth and on the number of values
 *   (kMaxValues); otherwise a description of the fault.
 */
const char* ScanCbor(std::string_view aBytes);

} // namespace papayaway
