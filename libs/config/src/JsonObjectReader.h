#pragma once

#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "JsonNode.h"

namespace papayaway {

/** Collects the findings of one document, up to a maximum number. */
class FindingList
{
public:
  FindingList(const std::string& aFile, Findings& aFindings)
    : mFile(aFile)
    , mFindings(aFindings)
  {
  }

  void Add(int aLine, const std::string& aPointer, std::string aMessage);

private:
  const std::string& mFile;
  Findings& mFindings;
};

/** Reads and validates the members of one JSON object. Adds a finding for each
 *  invalid member. */
class JsonObjectReader
{
public:
  /** @param aKnownKeys the keys that the object may have. */
  JsonObjectReader(const JsonNode& aNode,
                   std::string aPointer,
                   FindingList& aFindings,
                   std::initializer_list<std::string_view> aKnownKeys);

  [[nodiscard]] const std::string& Pointer() const { return mPointer; }
  [[nodiscard]] int Line() const { return mNode.mLine; }

  /** @return the line of aKey, or of the object if it has no such key. */
  [[nodiscard]] int Line(std::string_view aKey) const;

  /** Adds a finding with the line and JSON pointer of aKey. */
  void Report(std::string_view aKey, std::string aMessage) const;

  /** Reads the required member "name" and adds it to aUsedNames; reports a name
   *  that is invalid or already in aUsedNames. */
  std::string Name(std::set<std::string>& aUsedNames) const;

  /** Reads a string; reports a missing key if aRequired. */
  std::optional<std::string> String(std::string_view aKey,
                                    bool aRequired) const;

  /** Reads an integer in [aMin, aMax]; reports a missing key if aRequired. */
  std::optional<int> Integer(std::string_view aKey,
                             int aMin,
                             int aMax,
                             bool aRequired) const;

  std::optional<bool> Boolean(std::string_view aKey) const;

  /** @return the value of the optional key aKey, or nullptr if it is missing or
   *    not an object. */
  const JsonNode* Object(std::string_view aKey) const;

  /** Calls aFunction(node, pointer) for each element of aKind in the array aKey
   *  and reports elements of another kind. An array with fewer than aMin or
   *  more than aMax elements is reported and skipped. */
  template<typename Function>
  void ForEach(std::string_view aKey,
               JsonNode::Kind aKind,
               std::size_t aMin,
               std::size_t aMax,
               Function aFunction) const
  {
    const JsonNode* array = Array(aKey, aMin, aMax);
    for (std::size_t i = 0; array != nullptr && i < array->mChildren.size();
         ++i) {
      const JsonNode& element = array->mChildren[i];
      const std::string pointer =
        AppendPointer(AppendPointer(mPointer, aKey), std::to_string(i));
      if (ExpectKind(element, aKind, pointer)) {
        aFunction(element, pointer);
      }
    }
  }

private:
  const JsonNode* Array(std::string_view aKey,
                        std::size_t aMin,
                        std::size_t aMax) const;
  const JsonNode* Member(std::string_view aKey,
                         JsonNode::Kind aKind,
                         bool aRequired) const;
  bool ExpectKind(const JsonNode& aNode,
                  JsonNode::Kind aKind,
                  const std::string& aPointer) const;

  const JsonNode& mNode;
  std::string mPointer;
  FindingList& mFindings;
};

/** Reads aNode, an element of an array of names.
 *  @return the name, or std::nullopt after reporting an invalid name. */
std::optional<std::string> ReadNameElement(const JsonNode& aNode,
                                           const std::string& aPointer,
                                           FindingList& aFindings);

} // namespace papayaway
