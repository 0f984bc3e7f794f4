#include <ctl/Commands.h>

#include <map>
#include <ostream>

namespace papayaway {
namespace {

using Command = ExitCode (*)(CtlContext&);

const std::map<std::string, Command>&
Commands()
{
  static const std::map<std::string, Command> commands = {
    { "validate", RunValidate }, { "diff", RunDiff },
    { "promote", RunPromote },   { "status", RunStatus },
    { "moves", RunMoves },       { "endpoints", RunEndpoints },
    { "timeline", RunTimeline }, { "drain", RunDrain },
    { "release", RunRelease },   { "document", RunDocument },
    { "export", RunExport },     { "explain", RunExplain },
  };
  return commands;
}

} // namespace

ExitCode
RunCtl(const std::vector<std::string>& aArguments,
       const std::string& aDefaultToken,
       std::ostream& aOut,
       std::ostream& aErr)
{
  for (const std::string& argument : aArguments) {
    if (argument == "--help" || argument == "-h") {
      aOut << HelpText();
      return ExitCode::Done;
    }
  }
  if (aArguments == std::vector<std::string>{ "--version" }) {
    aOut << "papayawayctl " << PAPAYAWAY_VERSION << "\n";
    return ExitCode::Done;
  }
  const auto options = ParseCommandLine(aArguments, aDefaultToken);
  if (!options) {
    aErr << "papayawayctl: " << options.error()
         << "\ntry \"papayawayctl --help\"\n";
    return ExitCode::Usage;
  }
  AdminClient client(options->mToken, options->mTimeout);
  CtlContext context{ *options, client, aOut, aErr };
  return Commands().at(options->mCommand)(context);
}

} // namespace papayaway
