#pragma once

#include <cstddef>
#include <cstdint>

namespace papayaway {

// Bounds that Decode() enforces. A receiver refuses a message that exceeds one
// and closes the connection, so senders must stay within them.

/** Bytes in an address, a header name, the id of a node, or the name of a
 *  service, version and the like. */
constexpr std::size_t kMaxName = 256;
/** Bytes in a route, path, query, idempotency key, reason or error text. */
constexpr std::size_t kMaxText = 8192;
/** Bytes in the value of one HTTP header field. */
constexpr std::size_t kMaxHeaderValue = std::size_t{ 16 } << 10;
constexpr std::size_t kMaxHeaders = 128;
constexpr std::size_t kMaxFactsInMessage = 4096;
/** Requests in flight in a crash report. If more were in flight, the crash is
 *  too weak as evidence against any single one of them. */
constexpr std::size_t kMaxCrashSuspects = 128;
/** The largest incarnation, sequence or version. A double represents it
 *  exactly, and a receiver can add one without overflow. */
constexpr std::uint64_t kMaxCounter = std::uint64_t{ 1 } << 53;
/** CBOR values in one message. Bounds the memory that decoding needs, which
 *  can be many times the size of the frame if the values are small. */
constexpr std::size_t kMaxValues = std::size_t{ 1 } << 17;

} // namespace papayaway
