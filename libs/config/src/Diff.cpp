#include <config/Diff.h>

#include <algorithm>
#include <map>

#include <nlohmann/json.hpp>

#include <config/DocumentParser.h>

namespace papayaway {
namespace {

using Json = nlohmann::json;

std::string_view
KindName(ChangeKind aKind)
{
  switch (aKind) {
    case ChangeKind::Added:
      return "added";
    case ChangeKind::Removed:
      return "removed";
    case ChangeKind::Changed:
      return "changed";
  }
  return "";
}

// @return what identifies an element within its array.
std::string
Identity(const Json& aElement)
{
  if (aElement.is_string()) {
    return aElement.get<std::string>();
  }
  if (aElement.contains("name")) {
    return aElement["name"].get<std::string>();
  }
  std::string methods = "*";
  if (aElement.contains("methods")) {
    auto names = aElement["methods"].get<std::vector<std::string>>();
    std::sort(names.begin(), names.end());
    methods.clear();
    for (const std::string& name : names) {
      methods += (methods.empty() ? "" : ",") + name;
    }
  }
  return methods + " " + aElement["prefix"].get<std::string>();
}

// @return the parts of an object or array by the end of their path.
std::map<std::string, const Json*>
Parts(const Json& aValue)
{
  std::map<std::string, const Json*> parts;
  for (const auto& item : aValue.items()) {
    parts[aValue.is_object() ? "." + item.key()
                             : "[" + Identity(item.value()) + "]"] =
      &item.value();
  }
  return parts;
}

void
Compare(const Json& aOld,
        const Json& aNew,
        const std::string& aPath,
        std::vector<Change>& aChanges)
{
  if (aOld == aNew) {
    return;
  }
  if (!aOld.is_structured() || !aNew.is_structured()) {
    aChanges.push_back(
      { ChangeKind::Changed, aPath, aOld.dump(), aNew.dump() });
    return;
  }
  const auto oldParts = Parts(aOld);
  const auto newParts = Parts(aNew);
  const auto pathOf = [&](const std::string& aEnd) {
    return aPath.empty() ? aEnd.substr(1) : aPath + aEnd;
  };
  for (const auto& [end, value] : oldParts) {
    const auto match = newParts.find(end);
    if (match != newParts.end()) {
      Compare(*value, *match->second, pathOf(end), aChanges);
    } else {
      aChanges.push_back(
        { ChangeKind::Removed, pathOf(end), value->dump(), "" });
    }
  }
  for (const auto& [end, value] : newParts) {
    if (oldParts.count(end) == 0) {
      aChanges.push_back({ ChangeKind::Added, pathOf(end), "", value->dump() });
    }
  }
}

} // namespace

std::vector<Change>
Diff(const Document& aOld, const Document& aNew)
{
  std::vector<Change> changes;
  Compare(ToJson(aOld), ToJson(aNew), "", changes);
  std::stable_sort(changes.begin(),
                   changes.end(),
                   [](const Change& aLeft, const Change& aRight) {
                     return aLeft.mPath < aRight.mPath;
                   });
  return changes;
}

std::string
ToString(const std::vector<Change>& aChanges)
{
  std::string text;
  for (const Change& change : aChanges) {
    text += std::string(KindName(change.mKind)) + " " + change.mPath + ": ";
    if (change.mKind == ChangeKind::Changed) {
      text += change.mOld + " -> " + change.mNew;
    } else {
      text += change.mOld + change.mNew;
    }
    text += "\n";
  }
  return text;
}

Json
ToJson(const std::vector<Change>& aChanges)
{
  Json array = Json::array();
  for (const Change& change : aChanges) {
    Json item = { { "kind", KindName(change.mKind) },
                  { "path", change.mPath } };
    if (!change.mOld.empty()) {
      item["old"] = Json::parse(change.mOld);
    }
    if (!change.mNew.empty()) {
      item["new"] = Json::parse(change.mNew);
    }
    array.push_back(std::move(item));
  }
  return array;
}

} // namespace papayaway
