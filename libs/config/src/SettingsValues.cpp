#include "SettingsValues.h"

#include <charconv>

#include <arpa/inet.h>

namespace papayaway {

bool
IsAddress(std::string_view aText, bool aAnyPort)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string host(aText.substr(0, colon));
  const std::string_view digits = aText.substr(colon + 1);
  const char* const end = digits.data() + digits.size();
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(digits.data(), end, port);
  in_addr address{};
  return parsed.ec == std::errc() && parsed.ptr == end &&
         (aAnyPort || port != 0) &&
         inet_pton(AF_INET, host.c_str(), &address) == 1;
}

std::string
ParseWhole(const std::string& aText,
           std::uint64_t aLeast,
           std::uint64_t aMost,
           std::uint64_t& aNumber)
{
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, aNumber);
  if (parsed.ptr != end || parsed.ec == std::errc::invalid_argument) {
    return "\"" + aText + "\" is not a whole number";
  }
  if (parsed.ec != std::errc() || aNumber < aLeast || aNumber > aMost) {
    return "must be from " + std::to_string(aLeast) + " to " +
           std::to_string(aMost);
  }
  return {};
}

} // namespace papayaway
