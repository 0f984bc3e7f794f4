#include <base/JsonDepth.h>

namespace papayaway {

bool
NestsDeeperThan(std::string_view aJson, std::size_t aDepth)
{
  std::size_t depth = 0;
  bool inString = false;
  for (std::size_t i = 0; i < aJson.size(); ++i) {
    const char character = aJson[i];
    if (inString) {
      if (character == '\\') {
        ++i;
      } else if (character == '"') {
        inString = false;
      }
    } else if (character == '"') {
      inString = true;
    } else if (character == '[' || character == '{') {
      if (++depth > aDepth) {
        return true;
      }
    } else if ((character == ']' || character == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

} // namespace papayaway
