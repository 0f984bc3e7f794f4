#include "FieldReader.h"

namespace papayaway {

bool
IsUtf8(std::string_view aText)
{
  std::size_t i = 0;
  while (i < aText.size()) {
    const auto lead = static_cast<unsigned char>(aText[i++]);
    if (lead < 0x80) {
      continue;
    }
    // Overlong encodings are rejected by the smallest code point that needs a
    // sequence of this length.
    std::size_t continuationBytes = 0;
    std::uint32_t codePoint = 0;
    std::uint32_t minCodePoint = 0;
    if ((lead & 0xE0) == 0xC0) {
      continuationBytes = 1, codePoint = lead & 0x1FU, minCodePoint = 0x80;
    } else if ((lead & 0xF0) == 0xE0) {
      continuationBytes = 2, codePoint = lead & 0x0FU, minCodePoint = 0x800;
    } else if ((lead & 0xF8) == 0xF0) {
      continuationBytes = 3, codePoint = lead & 0x07U, minCodePoint = 0x10000;
    } else {
      return false;
    }
    for (; continuationBytes > 0; --continuationBytes, ++i) {
      if (i == aText.size() || (aText[i] & 0xC0) != 0x80) {
        return false;
      }
      codePoint =
        codePoint << 6 | (static_cast<unsigned char>(aText[i]) & 0x3FU);
    }
    const bool surrogate = codePoint >= 0xD800 && codePoint < 0xE000;
    if (codePoint < minCodePoint || codePoint > 0x10FFFF || surrogate) {
      return false;
    }
  }
  return true;
}

} // namespace papayaway
