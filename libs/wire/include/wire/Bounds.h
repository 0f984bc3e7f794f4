#pragma once

#include <cstddef>
#include <cstdint>

namespace papayaway {

// Bounds that Decode() enforces. Senders keep to them; a message beyond a
// bound is refused by the receiver, which closes the connection.

/** Names of nodes, services, versions and so on, and addresses, in bytes. */
constexpr std::size_t kMaxName = 256;
/** Routes, paths, queries, idempotency keys, reasons, in bytes. */
constexpr std::size_t kMaxLine = 8192;
constexpr std::size_t kMaxHeaderValue = std::size_t{ 16 } << 10;
constexpr std::size_t kMaxHeaders = 128;
constexpr std::size_t kMaxFactsInMessage = 4096;
/** Requests in flight in a crash report. Larger reports tell nothing of a
 *  single request. */
constexpr std::size_t kMaxCrashSuspects = 128;
/** Incarnations, sequences and versions: exact as a double, and far enough
 *  from the end of the type that a reader can add one. */
constexpr std::uint64_t kMaxCounter = std::uint64_t{ 1 } << 53;
/** Values of a message after decoding; bounds the memory of a small frame
 *  that holds very many values. */
constexpr std::size_t kMaxValues = std::size_t{ 1 } << 17;

} // namespace papayaway
