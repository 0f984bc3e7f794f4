#include <config/FindingsJson.h>

#include <nlohmann/json.hpp>

namespace papayaway {
namespace {

using Json = nlohmann::json;

std::string
Text(const Json& aObject, const char* aKey)
{
  const auto member = aObject.find(aKey);
  return member != aObject.end() && member->is_string()
           ? member->get<std::string>()
           : "";
}

} // namespace

Json
ToJson(const Findings& aFindings)
{
  Json array = Json::array();
  for (const Finding& finding : aFindings) {
    array.push_back({ { "file", finding.mFile },
                      { "line", finding.mLine },
                      { "path", finding.mPath },
                      { "message", finding.mMessage } });
  }
  return { { "findings", std::move(array) } };
}

Findings
FindingsFromJson(const Json& aJson)
{
  Findings findings;
  if (!aJson.is_object() || !aJson.contains("findings")) {
    return findings;
  }
  for (const Json& item : aJson["findings"]) {
    if (!item.is_object()) {
      continue;
    }
    Finding finding{ .mFile = Text(item, "file"),
                     .mPath = Text(item, "path"),
                     .mMessage = Text(item, "message") };
    const auto line = item.find("line");
    if (line != item.end() && line->is_number_integer()) {
      finding.mLine = line->get<int>();
    }
    findings.push_back(std::move(finding));
  }
  return findings;
}

} // namespace papayaway
