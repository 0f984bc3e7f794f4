#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <base/Error.h>

namespace papayaway::gateway {

/** The maximum size of an unpacked text in bytes. It is above the largest row
 *  of any store: their limits range from 64 KB to a few MB. */
constexpr std::size_t kMaxUnpackedText = 16U << 20U;

/** Compresses a text. A desired state of 300 routes shrinks to a tenth of its
 *  size, so that one node with a link of 10 Mbit/s can send it to all nodes of
 *  its data centre.
 *  @return the compressed bytes, to be decompressed by Unpack(). */
std::string Pack(std::string_view aText);

/** Decompresses a text.
 *  @return the text, or an error if the bytes were not made by Pack() or the
 *    text is larger than kMaxUnpackedText. */
Expected<std::string> Unpack(std::string_view aBytes);

} // namespace papayaway::gateway
