#include <ctl/Commands.h>

#include <ostream>

#include "Output.h"

namespace papayaway {
namespace {

using Json = nlohmann::json;

bool
MayHaveRunWithoutResponse(const AdminResponse& aResponse)
{
  return !aResponse.Answered() && aResponse.mMayHaveRun;
}

ExitCode
ReportResult(CtlContext& aContext,
             const AdminResponse& aResponse,
             bool aMayHaveRun,
             const std::string& aSuccessText)
{
  const bool done =
    aResponse.Answered() && aResponse.mStatus >= 200 && aResponse.mStatus < 300;
  if (done) {
    if (aContext.mOptions.mJson) {
      PrintJson(aContext.mOut, { { "outcome", "done" } });
    } else {
      aContext.mOut << aSuccessText << "\n";
    }
    return ExitCode::Done;
  }
  aContext.mErr << Printable(aResponse.ErrorMessage()) << "\n";
  return aMayHaveRun ? ExitCode::OutcomeUnknown : ExitCode::Failed;
}

} // namespace

ExitCode
RunDrain(CtlContext& aContext)
{
  const std::string& node = aContext.mOptions.mNodes.front();
  const AdminResponse response =
    aContext.mClient.Post(node, "/v1/drain", Json::object());
  return ReportResult(aContext,
                      response,
                      MayHaveRunWithoutResponse(response),
                      "the target of " + node + " is draining");
}

ExitCode
RunRelease(CtlContext& aContext)
{
  const std::string& fingerprint = aContext.mOptions.mArguments.front();
  AdminResponse response;
  bool mayHaveRun = false;
  for (const std::string& node : aContext.mOptions.mNodes) {
    // A release is idempotent, so it is sent to the next node after an error or
    // a lost response.
    response = aContext.mClient.Post(
      node, "/v1/release", { { "fingerprint", fingerprint } });
    mayHaveRun = mayHaveRun || MayHaveRunWithoutResponse(response);
    if (response.Answered() && response.mStatus < 500) {
      break;
    }
  }
  return ReportResult(
    aContext, response, mayHaveRun, fingerprint + " is released");
}

} // namespace papayaway
