#include "Output.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <ostream>

namespace papayaway {
namespace {

using Json = nlohmann::json;

} // namespace

std::string
Printable(std::string aText)
{
  std::replace_if(
    aText.begin(),
    aText.end(),
    [](char aCharacter) {
      const auto code = static_cast<unsigned char>(aCharacter);
      return code < 0x20 || code == 0x7f;
    },
    '?');
  return aText;
}

std::string
TextMember(const Json& aObject, std::string_view aKey)
{
  if (!aObject.is_object()) {
    return "";
  }
  const auto member = aObject.find(aKey);
  if (member == aObject.end() || member->is_null()) {
    return "";
  }
  if (member->is_string()) {
    return Printable(member->get<std::string>());
  }
  return Printable(
    member->dump(-1, ' ', false, Json::error_handler_t::replace));
}

std::int64_t
NumberMember(const Json& aObject, std::string_view aKey)
{
  if (!aObject.is_object()) {
    return 0;
  }
  const auto member = aObject.find(aKey);
  return member != aObject.end() && member->is_number_integer()
           ? member->get<std::int64_t>()
           : 0;
}

std::vector<Json>
ObjectsMember(const Json& aObject, std::string_view aKey)
{
  std::vector<Json> objects;
  if (!aObject.is_object()) {
    return objects;
  }
  const auto member = aObject.find(aKey);
  if (member != aObject.end() && member->is_array()) {
    std::copy_if(member->begin(),
                 member->end(),
                 std::back_inserter(objects),
                 [](const Json& aElement) { return aElement.is_object(); });
  }
  return objects;
}

std::string
FormatTime(std::int64_t aMillis)
{
  const std::int64_t rest = ((aMillis % 1000) + 1000) % 1000;
  const std::time_t seconds = (aMillis - rest) / 1000;
  std::tm parts{};
  std::array<char, 32> text{};
  if (gmtime_r(&seconds, &parts) == nullptr ||
      std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S", &parts) ==
        0) {
    return std::to_string(aMillis);
  }
  const std::string fraction = std::to_string(1000 + rest);
  return std::string(text.data()) + "." + fraction.substr(1);
}

void
PrintJson(std::ostream& aOut, const Json& aJson)
{
  aOut << aJson.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
}

void
PrintTable(std::ostream& aOut,
           const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<std::size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : aRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    aOut << line << "\n";
  }
}

} // namespace papayaway
