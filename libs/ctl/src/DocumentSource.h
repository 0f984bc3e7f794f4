#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <config/Document.h>
#include <ctl/Commands.h>

namespace papayaway {

/** A document with the version that it has in force. */
struct VersionedDocument
{
  std::uint64_t mVersion = 0;
  Document mDocument;
};

/** Reads a file; what is wrong with it is printed.
 *  @return the document, or Usage for findings and Failed for a file that
 *    can't be read. */
tl::expected<Document, ExitCode> ReadDocumentFile(CtlContext& aContext,
                                                  const std::string& aPath);

/** Fetches what a node has in force; a failure is printed. */
tl::expected<VersionedDocument, ExitCode> FetchDocument(
  CtlContext& aContext,
  const std::string& aEnvironment);

} // namespace papayaway
