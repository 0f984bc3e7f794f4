#include "SettingsValues.h"

#include <charconv>

#include <arpa/inet.h>

namespace papayaway {

bool
IsAddress(std::string_view aText, bool aAllowPortZero)
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
         (aAllowPortZero || port != 0) &&
         inet_pton(AF_INET, host.c_str(), &address) == 1;
}

std::string
ParseUnsigned(const std::string& aText,
              std::uint64_t aMin,
              std::uint64_t aMax,
              std::uint64_t& aNumber)
{
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, aNumber);
  if (parsed.ptr != end || parsed.ec == std::errc::invalid_argument) {
    return "\"" + aText + "\" is not a whole number";
  }
  if (parsed.ec != std::errc() || aNumber < aMin || aNumber > aMax) {
    return "must be from " + std::to_string(aMin) + " to " +
           std::to_string(aMax);
  }
  return {};
}

} // namespace papayaway
