#include "DocumentSource.h"

#include <fstream>
#include <iterator>
#include <ostream>

#include <config/DocumentParser.h>
#include <config/FindingsJson.h>

#include "Output.h"

namespace papayaway {

tl::expected<Document, ExitCode>
ReadDocumentFile(CtlContext& aContext, const std::string& aPath)
{
  // One byte above the maximum size of a document, so that ParseDocument()
  // rejects a larger file without reading it whole.
  constexpr std::size_t kMaxBytesToRead = (std::size_t{ 1 } << 20) + 1;
  std::ifstream file(aPath, std::ios::binary);
  std::string text(kMaxBytesToRead, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!file.is_open() || file.bad() || (file.fail() && !file.eof())) {
    aContext.mErr << "can't read " << aPath << "\n";
    return tl::unexpected(ExitCode::Failed);
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  auto document = ParseDocument(text, aPath);
  if (!document) {
    if (aContext.mOptions.mJson) {
      PrintJson(aContext.mOut, ToJson(document.error()));
    } else {
      aContext.mErr << ToString(document.error());
    }
    return tl::unexpected(ExitCode::Usage);
  }
  return std::move(*document);
}

tl::expected<VersionedDocument, ExitCode>
FetchDocument(CtlContext& aContext, const std::string& aEnvironment)
{
  const AdminResponse response = aContext.mClient.GetFromFirst(
    aContext.mOptions.mNodes, "/v1/document?environment=" + aEnvironment);
  if (!response.Succeeded() || !response.mBody.contains("document")) {
    aContext.mErr << "can't fetch the document of " << aEnvironment << ": "
                  << Printable(response.ErrorMessage()) << "\n";
    return tl::unexpected(ExitCode::Failed);
  }
  auto document = ParseDocument(response.mBody["document"]);
  if (!document) {
    aContext.mErr << "the document in force on " << response.mAddress
                  << " is invalid:\n"
                  << ToString(document.error());
    return tl::unexpected(ExitCode::Failed);
  }
  return VersionedDocument{ static_cast<std::uint64_t>(
                              NumberMember(response.mBody, "version")),
                            std::move(*document) };
}

} // namespace papayaway
