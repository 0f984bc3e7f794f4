#include <net/PathEncoding.h>

#include <charconv>

namespace papayaway {

std::string
PercentEncode(std::string_view aText)
{
  constexpr std::string_view kUnencoded = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                          "abcdefghijklmnopqrstuvwxyz"
                                          "0123456789-._~/";
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(aText.size());
  for (const char character : aText) {
    if (kUnencoded.find(character) != std::string_view::npos) {
      encoded += character;
    } else {
      const auto byte = static_cast<unsigned char>(character);
      encoded += '%';
      encoded += kHexDigits[byte / 16];
      encoded += kHexDigits[byte % 16];
    }
  }
  return encoded;
}

std::string
PercentDecodePath(std::string_view aPath)
{
  std::string decoded;
  decoded.reserve(aPath.size());
  for (std::size_t i = 0; i < aPath.size(); ++i) {
    if (aPath[i] == '%' && i + 2 < aPath.size()) {
      unsigned int value = 0;
      const char* const end = aPath.data() + i + 3;
      if (std::from_chars(aPath.data() + i + 1, end, value, 16).ptr == end) {
        decoded += static_cast<char>(value);
        i += 2;
        continue;
      }
    }
    decoded += aPath[i];
  }
  return decoded;
}

} // namespace papayaway
