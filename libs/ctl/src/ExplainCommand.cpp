#include <ctl/Commands.h>

#include <fstream>
#include <ostream>
#include <string>
#include <string_view>

#include <ctl/RequestExplanation.h>

#include "Output.h"

namespace papayaway {
namespace {

using Json = nlohmann::json;

/** Calls aUse for each line of each log file.
 *  @return false, after an error message, if a file can't be opened. */
template<typename Use>
bool
ForEachLine(CtlContext& aContext, Use&& aUse)
{
  const auto& arguments = aContext.mOptions.mArguments;
  for (std::size_t i = 1; i < arguments.size(); ++i) {
    std::ifstream file(arguments[i]);
    if (!file) {
      aContext.mErr << "can't read " << arguments[i] << "\n";
      return false;
    }
    std::string line;
    while (std::getline(file, line)) {
      aUse(std::string_view(line));
    }
  }
  return true;
}

void
PrintLine(std::ostream& aOut, const Json& aLine)
{
  std::string text = FormatTime(NumberMember(aLine, "time"));
  for (const char* key : { "node", "part", "event" }) {
    text += " " + TextMember(aLine, key);
  }
  for (const auto& [key, value] : aLine.items()) {
    const bool shown = key == "time" || key == "node" || key == "part" ||
                       key == "event" || key == "request" ||
                       key == "data_centre";
    if (!shown) {
      text += " " + Printable(key) + "=" + TextMember(aLine, key);
    }
  }
  aOut << text << "\n";
}

} // namespace

ExitCode
RunExplain(CtlContext& aContext)
{
  RequestExplanation explanation(aContext.mOptions.mArguments.front());
  std::size_t unparsable = 0;
  const bool read = ForEachLine(aContext, [&](std::string_view aLine) {
    unparsable += explanation.AddLine(aLine) ? 0 : 1;
  });
  if (!read) {
    return ExitCode::Usage;
  }
  if (unparsable > 0) {
    aContext.mErr << unparsable
                  << " lines that contain the request id can't be parsed\n";
  }
  if (!explanation.IsFound()) {
    aContext.mErr << "the logs contain no line of this request; sidecars omit "
                     "lines above the limit per second\n";
    return ExitCode::Failed;
  }
  if (!ForEachLine(aContext, [&](std::string_view aLine) {
        explanation.AddRelatedEvent(aLine);
      })) {
    return ExitCode::Usage;
  }
  const auto lines = explanation.Lines();
  if (aContext.mOptions.mJson) {
    PrintJson(aContext.mOut,
              { { "cause", explanation.Cause() },
                { "may_be_incomplete", explanation.MayBeIncomplete() },
                { "lines", lines } });
  } else {
    for (const Json& line : lines) {
      PrintLine(aContext.mOut, line);
    }
    aContext.mOut << "cause: " << explanation.Cause() << "\n";
  }
  if (explanation.MayBeIncomplete()) {
    aContext.mErr << "nodes involved in the request omitted log lines at that "
                     "time; the explanation may be incomplete\n";
  }
  return unparsable > 0 ? ExitCode::Partial : ExitCode::Done;
}

} // namespace papayaway
