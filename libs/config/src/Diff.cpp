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

// @return the key by which an array element is matched: the string itself, the
//   name, or the methods and the prefix of a route.
std::string
ElementKey(const Json& aElement)
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

// @return the members of an object or the elements of an array by their path
//   relative to aValue, ".key" or "[element key]".
std::map<std::string, const Json*>
ChildrenByRelativePath(const Json& aValue)
{
  std::map<std::string, const Json*> children;
  for (const auto& item : aValue.items()) {
    children[aValue.is_object() ? "." + item.key()
                                : "[" + ElementKey(item.value()) + "]"] =
      &item.value();
  }
  return children;
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
  const auto oldChildren = ChildrenByRelativePath(aOld);
  const auto newChildren = ChildrenByRelativePath(aNew);
  const auto pathOf = [&](const std::string& aRelativePath) {
    return aPath.empty() ? aRelativePath.substr(1) : aPath + aRelativePath;
  };
  for (const auto& [relativePath, value] : oldChildren) {
    const auto match = newChildren.find(relativePath);
    if (match != newChildren.end()) {
      Compare(*value, *match->second, pathOf(relativePath), aChanges);
    } else {
      aChanges.push_back(
        { ChangeKind::Removed, pathOf(relativePath), value->dump(), "" });
    }
  }
  for (const auto& [relativePath, value] : newChildren) {
    if (oldChildren.count(relativePath) == 0) {
      aChanges.push_back(
        { ChangeKind::Added, pathOf(relativePath), "", value->dump() });
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
