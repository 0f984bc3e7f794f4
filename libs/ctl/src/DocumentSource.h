#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <config/Document.h>
#include <ctl/Commands.h>

namespace papayaway {

/** A document in force with its version. */
struct VersionedDocument
{
  std::uint64_t mVersion = 0;
  Document mDocument;
};

/** Reads and validates a document file, printing errors and findings.
 *  @return the document; Usage if it has findings, Failed if the file can't be
 *    read. */
tl::expected<Document, ExitCode> ReadDocumentFile(CtlContext& aContext,
                                                  const std::string& aPath);

/** Fetches the document that is in force in an environment, printing errors.
 *  @return the document, or Failed. */
tl::expected<VersionedDocument, ExitCode> FetchDocument(
  CtlContext& aContext,
  const std::string& aEnvironment);

} // namespace papayaway
