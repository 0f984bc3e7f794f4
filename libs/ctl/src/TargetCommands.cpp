#include <ctl/Commands.h>

#include <ostream>

#include "Output.h"

namespace papayaway {
namespace {

using Json = nlohmann::json;

bool
WithoutAnswerMayHaveRun(const AdminReply& aReply)
{
  return !aReply.Answered() && aReply.mMayHaveRun;
}

ExitCode
Finish(CtlContext& aContext,
       const AdminReply& aReply,
       bool aMayHaveRun,
       const std::string& aDone)
{
  const bool done =
    aReply.Answered() && aReply.mStatus >= 200 && aReply.mStatus < 300;
  if (done) {
    if (aContext.mOptions.mJson) {
      PrintJson(aContext.mOut, { { "outcome", "done" } });
    } else {
      aContext.mOut << aDone << "\n";
    }
    return ExitCode::Done;
  }
  aContext.mErr << Printable(aReply.Problem()) << "\n";
  return aMayHaveRun ? ExitCode::OutcomeUnknown : ExitCode::Failed;
}

} // namespace

ExitCode
RunDrain(CtlContext& aContext)
{
  const std::string& node = aContext.mOptions.mNodes.front();
  const AdminReply reply =
    aContext.mClient.Post(node, "/v1/drain", Json::object());
  return Finish(aContext,
                reply,
                WithoutAnswerMayHaveRun(reply),
                "the target of " + node + " drains");
}

ExitCode
RunRelease(CtlContext& aContext)
{
  const std::string& fingerprint = aContext.mOptions.mArguments.front();
  AdminReply reply;
  bool mayHaveRun = false;
  for (const std::string& node : aContext.mOptions.mNodes) {
    // A release that takes effect twice is the same as one.
    reply = aContext.mClient.Post(
      node, "/v1/release", { { "fingerprint", fingerprint } });
    mayHaveRun = mayHaveRun || WithoutAnswerMayHaveRun(reply);
    if (reply.Answered() && reply.mStatus < 500) {
      break;
    }
  }
  return Finish(aContext, reply, mayHaveRun, fingerprint + " is released");
}

} // namespace papayaway
