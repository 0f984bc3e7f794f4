#pragma once

#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "JsonNode.h"

namespace papayaway {

/** Collects the findings of one document, up to a bound. */
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

/** Reads the members of one JSON object and reports what is wrong. */
class NodeReader
{
public:
  /** @param aKnownKeys the keys that the object may have. */
  NodeReader(const JsonNode& aNode,
             std::string aPointer,
             FindingList& aFindings,
             std::initializer_list<std::string_view> aKnownKeys);

  [[nodiscard]] const std::string& Pointer() const { return mPointer; }
  [[nodiscard]] int Line() const { return mNode.mLine; }

  /** @return the line of aKey, or of the object if it has no such key. */
  [[nodiscard]] int Line(std::string_view aKey) const;

  /** Reports aMessage at aKey. */
  void Report(std::string_view aKey, std::string aMessage) const;

  /** Reads a required name; reports one that aTaken already has. */
  std::string Name(std::set<std::string>& aTaken) const;

  /** Reads a string; a missing one is reported if aRequired. */
  std::optional<std::string> String(std::string_view aKey,
                                    bool aRequired) const;

  /** Reads an integer in [aLeast, aMost]. */
  std::optional<int> Integer(std::string_view aKey,
                             int aLeast,
                             int aMost,
                             bool aRequired) const;

  std::optional<bool> Boolean(std::string_view aKey) const;

  /** @return the object aKey, or nullptr; it is optional. */
  const JsonNode* Object(std::string_view aKey) const;

  /** Calls aFunction(node, pointer) for each element of the array aKey, whose
   *  elements must be of aKind. An array with a wrong count is reported and
   *  skipped. */
  template<typename Function>
  void ForEach(std::string_view aKey,
               JsonNode::Kind aKind,
               std::size_t aLeast,
               std::size_t aMost,
               Function aFunction) const
  {
    const JsonNode* array = Array(aKey, aLeast, aMost);
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
                        std::size_t aLeast,
                        std::size_t aMost) const;
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

/** Reads the name in aNode, an element of an array of names. */
std::optional<std::string> ReadNameElement(const JsonNode& aNode,
                                           const std::string& aPointer,
                                           FindingList& aFindings);

} // namespace papayaway
