#include <config/Names.h>

#include <algorithm>

namespace papayaway {
namespace {

bool
IsAlphanumeric(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9');
}

} // namespace

bool
IsValidName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kMaxNameLength &&
         IsAlphanumeric(aName.front()) &&
         std::all_of(aName.begin(), aName.end(), [](char aCharacter) {
           return IsAlphanumeric(aCharacter) || aCharacter == '-' ||
                  aCharacter == '_' || aCharacter == '.';
         });
}

} // namespace papayaway
