#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include <base/Finding.h>

namespace papayaway {

/** A JSON value with its line number in the input. */
struct JsonNode
{
  enum class Kind
  {
    Null,
    Boolean,
    Integer,
    Float,
    String,
    Array,
    Object,
  };

  Kind mKind = Kind::Null;
  /** The line of the key for a member of an object, otherwise the line of the
   *  value; 0 if unknown. */
  int mLine = 0;
  bool mBoolean = false;
  std::int64_t mInteger = 0;
  std::string mString;
  /** The elements of an array or the values of an object. */
  std::vector<JsonNode> mChildren;
  /** The keys of an object, in the order of mChildren. */
  std::vector<std::string> mKeys;

  /** @return the value of aKey, or nullptr if there is no such key. */
  [[nodiscard]] const JsonNode* Find(std::string_view aKey) const;
};

/** Limits that are enforced while parsing, before the content is validated, so
 *  that malicious input can't exhaust memory or the stack. */
constexpr std::size_t kMaxDocumentBytes = std::size_t{ 1 } << 20;
constexpr std::size_t kMaxJsonDepth = 16;
constexpr std::size_t kMaxJsonValues = 65536;
/** The maximum number of keys of one object; no object of a valid document has
 *  more than ten. */
constexpr std::size_t kMaxJsonKeys = 64;

/**
 * Parses JSON text.
 *
 * @param aFindings receives syntax errors, exceeded limits and duplicate keys.
 * @return the root of the tree, or std::nullopt if the text can't be parsed.
 */
std::optional<JsonNode> ParseJsonNode(std::string_view aText,
                                      const std::string& aFile,
                                      Findings& aFindings);

/** Converts a value that is already parsed; all line numbers are 0.
 *  @return the root of the tree, or std::nullopt if a limit is exceeded. */
std::optional<JsonNode> ToJsonNode(const nlohmann::json& aJson,
                                   Findings& aFindings);

/** @return the JSON pointer aPointer with the reference token aKey escaped and
 *    appended. */
std::string AppendPointer(const std::string& aPointer, std::string_view aKey);

} // namespace papayaway
