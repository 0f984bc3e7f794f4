#include <gateway/PackedText.h>

#include <zlib.h>

namespace papayaway::gateway {

namespace {

/** The fastest level of zlib: about 1 ms for a desired state of 100 KB. */
constexpr int kCompressionLevel = 1;
/** The size of the text precedes the compressed bytes, as a little-endian
 *  integer of this many bytes. */
constexpr std::size_t kSizePrefixBytes = 4;

} // namespace

std::string
Pack(std::string_view aText)
{
  uLongf size = compressBound(aText.size());
  std::string bytes(kSizePrefixBytes + size, '\0');
  for (std::size_t i = 0; i < kSizePrefixBytes; ++i) {
    bytes[i] = static_cast<char>(aText.size() >> (8 * i));
  }
  compress2(reinterpret_cast<Bytef*>(bytes.data() + kSizePrefixBytes),
            &size,
            reinterpret_cast<const Bytef*>(aText.data()),
            aText.size(),
            kCompressionLevel);
  bytes.resize(kSizePrefixBytes + size);
  return bytes;
}

Expected<std::string>
Unpack(std::string_view aBytes)
{
  if (aBytes.size() < kSizePrefixBytes) {
    return tl::unexpected(
      Error{ ErrorCode::Invalid,
             "packed text is truncated: shorter than its size prefix" });
  }
  std::size_t expected = 0;
  for (std::size_t i = 0; i < kSizePrefixBytes; ++i) {
    expected |= static_cast<std::size_t>(static_cast<unsigned char>(aBytes[i]))
                << (8 * i);
  }
  if (expected > kMaxUnpackedText) {
    return tl::unexpected(
      Error{ ErrorCode::TooLarge, "packed text is too large" });
  }
  std::string text(expected, '\0');
  uLongf size = expected;
  const int result =
    uncompress(reinterpret_cast<Bytef*>(text.data()),
               &size,
               reinterpret_cast<const Bytef*>(aBytes.data() + kSizePrefixBytes),
               aBytes.size() - kSizePrefixBytes);
  if (result != Z_OK || size != expected) {
    return tl::unexpected(Error{
      ErrorCode::Invalid,
      "packed text is corrupt: it can't be decompressed to its stated size" });
  }
  return text;
}

} // namespace papayaway::gateway
