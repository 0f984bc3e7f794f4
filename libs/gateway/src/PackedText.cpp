#include <gateway/PackedText.h>

#include <zlib.h>

namespace papayaway::gateway {

namespace {

/** The fastest level: it takes about 1 ms for a state of 100 KB. */
constexpr int kLevel = 1;
/** The size of the text stands before the compressed bytes. */
constexpr std::size_t kSizeBytes = 4;

} // namespace

std::string
Pack(std::string_view aText)
{
  uLongf size = compressBound(aText.size());
  std::string bytes(kSizeBytes + size, '\0');
  for (std::size_t i = 0; i < kSizeBytes; ++i) {
    bytes[i] = static_cast<char>(aText.size() >> (8 * i));
  }
  compress2(reinterpret_cast<Bytef*>(bytes.data() + kSizeBytes),
            &size,
            reinterpret_cast<const Bytef*>(aText.data()),
            aText.size(),
            kLevel);
  bytes.resize(kSizeBytes + size);
  return bytes;
}

Expected<std::string>
Unpack(std::string_view aBytes)
{
  if (aBytes.size() < kSizeBytes) {
    return tl::unexpected(
      Error{ ErrorCode::Invalid, "packed text is cut short" });
  }
  std::size_t expected = 0;
  for (std::size_t i = 0; i < kSizeBytes; ++i) {
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
               reinterpret_cast<const Bytef*>(aBytes.data() + kSizeBytes),
               aBytes.size() - kSizeBytes);
  if (result != Z_OK || size != expected) {
    return tl::unexpected(
      Error{ ErrorCode::Invalid, "packed text is damaged" });
  }
  return text;
}

} // namespace papayaway::gateway
