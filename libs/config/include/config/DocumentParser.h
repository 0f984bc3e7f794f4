#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include <base/Finding.h>
#include <config/Document.h>

namespace papayaway {

/**
 * Parses and validates a document.
 *
 * @param aText the JSON text.
 * @param aFile the file name for the findings, or "".
 * @return the document, or all findings with line and JSON pointer.
 */
tl::expected<Document, Findings> ParseDocument(std::string_view aText,
                                               const std::string& aFile = "");

/** Overloads for std::string and string literals. Both convert to a JSON value
 *  as well as to std::string_view, so a call would otherwise be ambiguous. */
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

/** Validates a document that is already parsed as JSON; the findings have no
 *  line numbers. */
tl::expected<Document, Findings> ParseDocument(const nlohmann::json& aJson);

/** @return the document as JSON, which ParseDocument() parses to an equal
 *    document. */
nlohmann::json ToJson(const Document& aDocument);

} // namespace papayaway
