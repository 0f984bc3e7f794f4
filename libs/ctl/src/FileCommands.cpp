#include <ctl/Commands.h>

#include <ostream>

#include <config/Diff.h>

#include "DocumentSource.h"
#include "Output.h"

namespace papayaway {
namespace {

// Reads a document file or, for "@environment", fetches the document in force.
tl::expected<Document, ExitCode>
ReadOperand(CtlContext& aContext, const std::string& aOperand)
{
  if (!aOperand.starts_with("@")) {
    return ReadDocumentFile(aContext, aOperand);
  }
  if (aOperand != "@production" && aOperand != "@trial") {
    aContext.mErr << aOperand << " is neither @production nor @trial\n";
    return tl::unexpected(ExitCode::Usage);
  }
  auto fetched = FetchDocument(aContext, aOperand.substr(1));
  if (!fetched) {
    return tl::unexpected(fetched.error());
  }
  return std::move(fetched->mDocument);
}

} // namespace

ExitCode
RunValidate(CtlContext& aContext)
{
  const std::string& path = aContext.mOptions.mArguments.front();
  const auto document = ReadDocumentFile(aContext, path);
  if (!document) {
    return document.error();
  }
  if (aContext.mOptions.mJson) {
    PrintJson(aContext.mOut, { { "findings", nlohmann::json::array() } });
  } else {
    aContext.mOut << path << ": valid, " << document->mServices.size()
                  << " services, " << document->mRoutes.size() << " routes\n";
  }
  return ExitCode::Done;
}

ExitCode
RunDiff(CtlContext& aContext)
{
  const auto before = ReadOperand(aContext, aContext.mOptions.mArguments[0]);
  const auto after = ReadOperand(aContext, aContext.mOptions.mArguments[1]);
  if (!before || !after) {
    return before ? after.error() : before.error();
  }
  const std::vector<Change> changes = Diff(*before, *after);
  if (aContext.mOptions.mJson) {
    PrintJson(aContext.mOut, { { "changes", ToJson(changes) } });
  } else {
    aContext.mOut << (changes.empty() ? "no differences\n" : ToString(changes));
  }
  return ExitCode::Done;
}

} // namespace papayaway
