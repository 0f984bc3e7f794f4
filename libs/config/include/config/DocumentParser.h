#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include <base/Finding.h>
#include <config/Document.h>

namespace papayaway {

/**
 * Reads and checks a whole document.
 *
 * @param aText the JSON text.
 * @param aFile the name that findings carry, or "".
 * @return the document, or every finding with line and JSON pointer.
 */
tl::expected<Document, Findings> ParseDocument(std::string_view aText,
                                               const std::string& aFile = "");

/** The same. A std::string or a literal converts to a JSON value as well as to
 *  a view, so without these overloads a call with one would be ambiguous. */
inline tl::expected<Document, Findings>
ParseDocument(const std::string& aText, const std::string& aFile = "")
{
  return ParseDocument(std::string_view(aText), aFile);
}
inline tl::expected<Document, Findings>
ParseDocument(const char* aText, const std::string& aFile = "")
{
  return ParseDocument(std::string_view(aText), aFile);
}

/** The same for a parsed document, whose findings have no lines. */
tl::expected<Document, Findings> ParseDocument(const nlohmann::json& aJson);

/** @return the document as JSON; ParseDocument() reads it back equal. */
nlohmann::json ToJson(const Document& aDocument);

} // namespace papayaway
