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
    // The smallest code point of a sequence excludes longer forms than needed.
    std::size_t more = 0;
    std::uint32_t code = 0;
    std::uint32_t smallest = 0;
    if ((lead & 0xE0) == 0xC0) {
      more = 1, code = lead & 0x1FU, smallest = 0x80;
    } else if ((lead & 0xF0) == 0xE0) {
      more = 2, code = lead & 0x0FU, smallest = 0x800;
    } else if ((lead & 0xF8) == 0xF0) {
      more = 3, code = lead & 0x07U, smallest = 0x10000;
    } else {
      return false;
    }
    for (; more > 0; --more, ++i) {
      if (i == aText.size() || (aText[i] & 0xC0) != 0x80) {
        return false;
      }
      code = code << 6 | (static_cast<unsigned char>(aText[i]) & 0x3FU);
    }
    const bool surrogate = code >= 0xD800 && code < 0xE000;
    if (code < smallest || code > 0x10FFFF || surrogate) {
      return false;
    }
  }
  return true;
}

} // namespace papayaway
