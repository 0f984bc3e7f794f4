#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <base/Error.h>

namespace papayaway::gateway {

/** Larger texts are refused when unpacked, in bytes; the store holds rows of
 *  64 KB in its smallest form and some MB at most. */
constexpr std::size_t kMaxUnpackedText = 16U << 20U;

/** Compresses a text. A desired state of 300 routes shrinks to a tenth, so one
 *  node with a link of 10 Mbit/s can give it to a whole data centre.
 *  @return bytes for Unpack(). */
std::string Pack(std::string_view aText);

/** @return the text, or an error if the bytes do not come from Pack(). */
Expected<std::string> Unpack(std::string_view aBytes);

} // namespace papayaway::gateway
