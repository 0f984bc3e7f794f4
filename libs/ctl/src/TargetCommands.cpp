#include <ctl/Commands.h>

#include <ostream>

#include "Output.h"

namespace papayaway {
namespace {

using Json = nlohmann::json;

bool
MayHaveRunWithoutReply(const AdminReply& aReply)
{
  return !aReply.Answered() && aReply.mMayHaveRun;
}

ExitCode
ReportResult(CtlContext& aContext,
             const AdminReply& aReply,
             bool aMayHaveRun,
             const std::string& aSuccessText)
{
  const bool done =
    aReply.Answered() && aReply.mStatus >= 200 && aReply.mStatus < 300;
  if (done) {
    if (aContext.mOptions.mJson) {
      PrintJson(aContext.mOut, { { "outcome", "done" } });
    } else {
      aContext.mOut << aSuccessText << "\n";
    }
    return ExitCode::Done;
  }
  aContext.mErr << Printable(aReply.ErrorMessage()) << "\n";
  return aMayHaveRun ? ExitCode::OutcomeUnknown : ExitCode::Failed;
}

} // namespace

ExitCode
RunDrain(CtlContext& aContext)
{
  const std::string& node = aContext.mOptions.mNodes.front();
  const AdminReply reply =
    aContext.mClient.Post(node, "/v1/drain", Json::object());
  return ReportResult(aContext,
                      reply,
                      MayHaveRunWithoutReply(reply),
                      "the target of " + node + " is draining");
}

ExitCode
RunRelease(CtlContext& aContext)
{
  const std::string& fingerprint = aContext.mOptions.mArguments.front();
  AdminReply reply;
  bool mayHaveRun = false;
  for (const std::string& node : aContext.mOptions.mNodes) {
    // A release is idempotent, so it is sent to the next node after an error or
    // a lost reply.
    reply = aContext.mClient.Post(
      node, "/v1/release", { { "fingerprint", fingerprint } });
    mayHaveRun = mayHaveRun || MayHaveRunWithoutReply(reply);
    if (reply.Answered() && reply.mStatus < 500) {
      break;
    }
  }
  return ReportResult(
    aContext, reply, mayHaveRun, fingerprint + " is released");
}

} // namespace papayaway
