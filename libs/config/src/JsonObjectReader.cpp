#include "JsonObjectReader.h"

#include <algorithm>

#include <config/Names.h>

namespace papayaway {
namespace {

// More findings would not help the operator and could make the response to a
// promotion larger than the document.
constexpr std::size_t kMaxFindings = 500;

std::string_view
KindName(JsonNode::Kind aKind)
{
  switch (aKind) {
    case JsonNode::Kind::Null:
      return "null";
    case JsonNode::Kind::Boolean:
      return "a boolean";
    case JsonNode::Kind::Integer:
      return "an integer";
    case JsonNode::Kind::Float:
      return "a number with a fraction";
    case JsonNode::Kind::String:
      return "a string";
    case JsonNode::Kind::Array:
      return "an array";
    case JsonNode::Kind::Object:
      return "an object";
  }
  return "";
}

} // namespace

void
FindingList::Add(int aLine, const std::string& aPointer, std::string aMessage)
{
  if (mFindings.size() < kMaxFindings) {
    mFindings.push_back({ mFile, aLine, aPointer, std::move(aMessage) });
  } else if (mFindings.size() == kMaxFindings) {
    mFindings.push_back({ mFile, 0, "", "further findings are left out" });
  }
}

JsonObjectReader::JsonObjectReader(
  const JsonNode& aNode,
  std::string aPointer,
  FindingList& aFindings,
  std::initializer_list<std::string_view> aKnownKeys)
  : mNode(aNode)
  , mPointer(std::move(aPointer))
  , mFindings(aFindings)
{
  for (std::size_t i = 0; i < mNode.mKeys.size(); ++i) {
    const std::string& key = mNode.mKeys[i];
    if (std::find(aKnownKeys.begin(), aKnownKeys.end(), key) ==
        aKnownKeys.end()) {
      mFindings.Add(
        mNode.mChildren[i].mLine, AppendPointer(mPointer, key), "unknown key");
    }
  }
}

int
JsonObjectReader::Line(std::string_view aKey) const
{
  const JsonNode* member = mNode.Find(aKey);
  return member == nullptr ? mNode.mLine : member->mLine;
}

void
JsonObjectReader::Report(std::string_view aKey, std::string aMessage) const
{
  mFindings.Add(Line(aKey), AppendPointer(mPointer, aKey), std::move(aMessage));
}

std::string
JsonObjectReader::Name(std::set<std::string>& aUsedNames) const
{
  const auto name = String("name", true);
  if (!name) {
    return "";
  }
  if (!IsValidName(*name)) {
    Report("name", "the name " + std::string(kNameRule));
  } else if (!aUsedNames.insert(*name).second) {
    Report("name", "the name \"" + *name + "\" is taken");
  }
  return *name;
}

std::optional<std::string>
JsonObjectReader::String(std::string_view aKey, bool aRequired) const
{
  const JsonNode* member = Member(aKey, JsonNode::Kind::String, aRequired);
  return member == nullptr ? std::nullopt : std::optional(member->mString);
}

std::optional<int>
JsonObjectReader::Integer(std::string_view aKey,
                          int aMin,
                          int aMax,
                          bool aRequired) const
{
  const JsonNode* member = Member(aKey, JsonNode::Kind::Integer, aRequired);
  if (member == nullptr) {
    return std::nullopt;
  }
  if (member->mInteger < aMin || member->mInteger > aMax) {
    Report(aKey,
           "must be from " + std::to_string(aMin) + " to " +
             std::to_string(aMax));
    return std::nullopt;
  }
  return static_cast<int>(member->mInteger);
}

std::optional<bool>
JsonObjectReader::Boolean(std::string_view aKey) const
{
  const JsonNode* member = Member(aKey, JsonNode::Kind::Boolean, false);
  return member == nullptr ? std::nullopt : std::optional(member->mBoolean);
}

const JsonNode*
JsonObjectReader::Object(std::string_view aKey) const
{
  return Member(aKey, JsonNode::Kind::Object, false);
}

const JsonNode*
JsonObjectReader::Array(std::string_view aKey,
                        std::size_t aMin,
                        std::size_t aMax) const
{
  const JsonNode* array = Member(aKey, JsonNode::Kind::Array, aMin > 0);
  if (array == nullptr) {
    return nullptr;
  }
  if (array->mChildren.size() < aMin || array->mChildren.size() > aMax) {
    Report(aKey,
           "must have from " + std::to_string(aMin) + " to " +
             std::to_string(aMax) + " elements");
    return nullptr;
  }
  return array;
}

const JsonNode*
JsonObjectReader::Member(std::string_view aKey,
                         JsonNode::Kind aKind,
                         bool aRequired) const
{
  const JsonNode* member = mNode.Find(aKey);
  if (member == nullptr) {
    if (aRequired) {
      Report(aKey, "the key is missing");
    }
    return nullptr;
  }
  return ExpectKind(*member, aKind, AppendPointer(mPointer, aKey)) ? member
                                                                   : nullptr;
}

bool
JsonObjectReader::ExpectKind(const JsonNode& aNode,
                             JsonNode::Kind aKind,
                             const std::string& aPointer) const
{
  if (aNode.mKind == aKind) {
    return true;
  }
  mFindings.Add(aNode.mLine,
                aPointer,
                "must be " + std::string(KindName(aKind)) + ", not " +
                  std::string(KindName(aNode.mKind)));
  return false;
}

std::optional<std::string>
ReadNameElement(const JsonNode& aNode,
                const std::string& aPointer,
                FindingList& aFindings)
{
  if (!IsValidName(aNode.mString)) {
    aFindings.Add(aNode.mLine, aPointer, "the name " + std::string(kNameRule));
    return std::nullopt;
  }
  return aNode.mString;
}

} // namespace papayaway
