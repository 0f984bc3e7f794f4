#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include <base/Finding.h>

namespace papayaway {

/** A JSON value that knows the line it came from. */
struct JsonNode
{
  enum class Kind
  {
    Null,
    Boolean,
    Integer,
    Fraction,
    String,
    Array,
    Object,
  };

  Kind mKind = Kind::Null;
  /** The line of the key or, for elements, of the value; 0 if unknown. */
  int mLine = 0;
  bool mBoolean = false;
  std::int64_t mInteger = 0;
  std::string mString;
  /** The elements of an array or the values of an object. */
  std::vector<JsonNode> mChildren;
  /** The keys of an object, in the order of mChildren. */
  std::vector<std::string> mKeys;

  /** @return the value of aKey, or nullptr. */
  [[nodiscard]] const JsonNode* Find(std::string_view aKey) const;
};

/** Bounds that hold before any check of the content, so that a hostile input
 *  can't take much memory or stack. */
constexpr std::size_t kMaxDocumentBytes = std::size_t{ 1 } << 20;
constexpr std::size_t kMaxJsonDepth = 16;
constexpr std::size_t kMaxJsonValues = 65536;
/** Keys of one object; no object of a document has more than ten. */
constexpr std::size_t kMaxJsonKeys = 64;

/**
 * Reads JSON text.
 *
 * @param aFindings receives syntax errors, exceeded bounds and duplicate keys.
 * @return the tree, or nothing if the text could not be read to its end.
 */
std::optional<JsonNode> ParseJsonNode(std::string_view aText,
                                      const std::string& aFile,
                                      Findings& aFindings);

/** The same for a parsed value; the lines are 0. */
std::optional<JsonNode> ToJsonNode(const nlohmann::json& aJson,
                                   Findings& aFindings);

/** @return aPointer with the reference token aKey appended and escaped. */
std::string AppendPointer(const std::string& aPointer, std::string_view aKey);

} // namespace papayaway
