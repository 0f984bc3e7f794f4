#include <ctl/Commands.h>

#include <ostream>

#include <net/PathEncoding.h>

#include "Output.h"

namespace papayaway {
namespace {

using Json = nlohmann::json;

void
PrintGaps(CtlContext& aContext, const Json& aIncarnation)
{
  for (const Json& gap : ObjectsMember(aIncarnation, "gaps")) {
    const auto dropped = gap.find("dropped");
    aContext.mErr << "node " << TextMember(aIncarnation, "node")
                  << ", incarnation " << TextMember(aIncarnation, "incarnation")
                  << ": records " << TextMember(gap, "first") << " to "
                  << TextMember(gap, "last")
                  << (dropped != gap.end() && *dropped == true
                        ? " were dropped for lack of memory\n"
                        : " are missing\n");
  }
}

} // namespace

ExitCode
RunExport(CtlContext& aContext)
{
  const AdminResponse response = aContext.mClient.GetFromFirst(
    aContext.mOptions.mNodes,
    "/v1/export?customer=" +
      PercentEncode(aContext.mOptions.mArguments.front()));
  if (!response.Succeeded()) {
    aContext.mErr << Printable(response.ErrorMessage()) << "\n";
    return ExitCode::Failed;
  }
  if (aContext.mOptions.mJson) {
    PrintJson(aContext.mOut, response.mBody);
  }
  for (const Json& incarnation :
       ObjectsMember(response.mBody, "incarnations")) {
    if (!aContext.mOptions.mJson) {
      const auto lines = incarnation.find("lines");
      if (lines != incarnation.end() && lines->is_string()) {
        aContext.mOut << lines->get<std::string>();
      }
    }
    PrintGaps(aContext, incarnation);
  }
  for (const Json& finding : ObjectsMember(response.mBody, "findings")) {
    aContext.mErr << TextMember(finding, "object") << ": "
                  << TextMember(finding, "text") << "\n";
  }
  const auto complete = response.mBody.find("complete");
  return complete != response.mBody.end() && *complete == true
           ? ExitCode::Done
           : ExitCode::Partial;
}

} // namespace papayaway
