#include <ctl/CommandLine.h>

#include <algorithm>
#include <sstream>

#include <boost/program_options.hpp>

#include <config/Names.h>
#include <net/SocketAddress.h>

namespace papayaway {
namespace {

namespace po = boost::program_options;

/** The maximum number of log files; high enough for any command line. */
constexpr std::size_t kMaxLogFiles = 100'000;

struct CommandRule
{
  std::string mName;
  std::string mUsage;
  std::size_t mMinArguments;
  std::size_t mMaxArguments;
  std::string mSummary;
};

const std::vector<CommandRule>&
Rules()
{
  static const std::vector<CommandRule> rules = {
    { "validate", "FILE", 1, 1, "check a document without a node" },
    { "diff", "A B", 2, 2, "compare files, @production or @trial" },
    { "promote",
      "FILE --environment E --parent N",
      0,
      1,
      "put a document in force; or --from trial" },
    { "status", "", 0, 0, "show the node and its members" },
    { "moves", "", 0, 0, "show version moves" },
    { "endpoints", "", 0, 0, "show endpoints" },
    { "timeline", "[filters]", 0, 0, "show the merged events of all members" },
    { "drain", "", 0, 0, "drain the target of the one node given" },
    { "release", "FINGERPRINT", 1, 1, "release a quarantined request" },
    { "document", "[--environment E]", 0, 0, "print the document in force" },
    { "export", "CUSTOMER", 1, 1, "print the stored records of a customer" },
    { "explain",
      "REQUEST LOG...",
      2,
      kMaxLogFiles,
      "explain from logs of sidecars why a request got its response" },
  };
  return rules;
}

po::options_description
CommonOptions()
{
  po::options_description options("Options");
  auto add = options.add_options();
  add("node",
      po::value<std::vector<std::string>>()->composing(),
      "admin address IPv4:port of a node; may be repeated, tried in order");
  add("token",
      po::value<std::string>(),
      "operator token (default: environment variable PAPAYAWAY_TOKEN)");
  add("json", po::bool_switch(), "print JSON");
  add("timeout-ms",
      po::value<int>()->default_value(5000),
      "time for one call in milliseconds, 1 to 600000");
  return options;
}

po::options_description
PromotionOptions()
{
  po::options_description options("Options of promote and document");
  auto add = options.add_options();
  add("environment", po::value<std::string>(), "production or trial");
  add("parent",
      po::value<std::uint64_t>(),
      "version that the promotion replaces; 0 for the first document");
  add("from",
      po::value<std::string>(),
      "promote the document of this environment to production");
  return options;
}

po::options_description
TimelineOptions()
{
  po::options_description options("Filters of timeline");
  auto add = options.add_options();
  add("service", po::value<std::string>(), "events of this service");
  add("version", po::value<std::string>(), "events of this version");
  // --node filters by node if its value is a name, which contains no ':'.
  add("request", po::value<std::string>(), "events of this request");
  return options;
}

std::string
StringValue(const po::variables_map& aValues, const std::string& aKey)
{
  return aValues.count(aKey) != 0 ? aValues[aKey].as<std::string>() : "";
}

// Adds the values of --node to the addresses or, if they are names, to the
// filter of timeline.
// @return an error message, or "".
std::string
AddNodes(const std::vector<std::string>& aNodes, CtlOptions& aOptions)
{
  for (const std::string& node : aNodes) {
    if (aOptions.mCommand == "timeline" && IsValidName(node)) {
      if (!aOptions.mFilter.mNode.empty()) {
        return "timeline takes at most one --node with a node name";
      }
      aOptions.mFilter.mNode = node;
    } else if (!ParseAddress(node)) {
      return "--node \"" + node + "\" is not an address IPv4:port";
    } else {
      aOptions.mNodes.push_back(node);
    }
  }
  return "";
}

// @return an error message for an invalid combination of options, or "".
std::string
OptionsError(const CtlOptions& aOptions, const CommandRule& aRule)
{
  const std::string& command = aOptions.mCommand;
  const std::size_t count = aOptions.mArguments.size();
  if (count < aRule.mMinArguments || count > aRule.mMaxArguments) {
    return "usage: papayawayctl " + command + " " + aRule.mUsage;
  }
  if (command == "promote") {
    const bool fromFile = count == 1;
    if (fromFile != aOptions.mFrom.empty()) {
      return "promote takes either a file or --from";
    }
    if (fromFile && (aOptions.mEnvironment.empty() || !aOptions.mParent)) {
      return "promote of a file needs --environment and --parent";
    }
    if (!fromFile && aOptions.mFrom == (aOptions.mEnvironment.empty()
                                          ? "production"
                                          : aOptions.mEnvironment)) {
      return "--from and --environment are the same";
    }
  }
  const bool offline =
    command == "validate" || command == "explain" ||
    (command == "diff" && std::none_of(aOptions.mArguments.begin(),
                                       aOptions.mArguments.end(),
                                       [](const std::string& aOperand) {
                                         return aOperand.starts_with("@");
                                       }));
  if (!offline && aOptions.mNodes.empty()) {
    return command + " needs --node IPv4:port";
  }
  // With several addresses the command would drain the first node that
  // responds, which may be the wrong one.
  if (command == "drain" && aOptions.mNodes.size() != 1) {
    return "drain takes exactly one --node";
  }
  return "";
}

tl::expected<CtlOptions, std::string>
ReadOptions(const CommandRule& aRule,
            const std::vector<std::string>& aArguments,
            const std::string& aDefaultToken)
{
  po::options_description known = CommonOptions();
  if (aRule.mName == "promote" || aRule.mName == "document") {
    known.add(PromotionOptions());
  } else if (aRule.mName == "timeline") {
    known.add(TimelineOptions());
  }
  po::options_description all = known;
  all.add_options()("argument", po::value<std::vector<std::string>>());
  po::positional_options_description positional;
  positional.add("argument", -1);
  po::variables_map values;
  // Rejects abbreviated options, which could become ambiguous when options are
  // added.
  constexpr int kStyle = po::command_line_style::default_style &
                         ~po::command_line_style::allow_guessing;
  po::store(po::command_line_parser(aArguments)
              .options(all)
              .positional(positional)
              .style(kStyle)
              .run(),
            values);
  CtlOptions options{ .mCommand = aRule.mName,
                      .mToken = StringValue(values, "token"),
                      .mJson = values["json"].as<bool>(),
                      .mEnvironment = StringValue(values, "environment"),
                      .mFrom = StringValue(values, "from"),
                      .mFilter = { .mService = StringValue(values, "service"),
                                   .mVersion = StringValue(values, "version"),
                                   .mRequest =
                                     StringValue(values, "request") } };
  if (options.mToken.empty()) {
    options.mToken = aDefaultToken;
  }
  const int timeout = values["timeout-ms"].as<int>();
  if (timeout < 1 || timeout > 600'000) {
    return tl::unexpected<std::string>("--timeout-ms must be from 1 to 600000");
  }
  options.mTimeout = { static_cast<double>(timeout) };
  if (values.count("parent") != 0) {
    options.mParent = values["parent"].as<std::uint64_t>();
  }
  if (values.count("argument") != 0) {
    options.mArguments = values["argument"].as<std::vector<std::string>>();
  }
  for (const std::string& environment :
       { options.mEnvironment, options.mFrom }) {
    if (!environment.empty() && !IsValidName(environment)) {
      return tl::unexpected("the environment " + std::string(kNameRule));
    }
  }
  std::string message;
  if (values.count("node") != 0) {
    message = AddNodes(values["node"].as<std::vector<std::string>>(), options);
  }
  if (message.empty()) {
    message = OptionsError(options, aRule);
  }
  if (!message.empty()) {
    return tl::unexpected(message);
  }
  return options;
}

} // namespace

tl::expected<CtlOptions, std::string>
ParseCommandLine(const std::vector<std::string>& aArguments,
                 const std::string& aDefaultToken)
{
  if (aArguments.empty()) {
    return tl::unexpected<std::string>("a command is missing");
  }
  const auto rule =
    std::find_if(Rules().begin(), Rules().end(), [&](const CommandRule& aRule) {
      return aRule.mName == aArguments.front();
    });
  if (rule == Rules().end()) {
    return tl::unexpected("unknown command \"" + aArguments.front() + "\"");
  }
  try {
    return ReadOptions(
      *rule, { aArguments.begin() + 1, aArguments.end() }, aDefaultToken);
  } catch (const po::error& error) {
    return tl::unexpected<std::string>(error.what());
  }
}

std::string
HelpText()
{
  std::ostringstream text;
  text << "usage: papayawayctl COMMAND [ARGUMENTS] [OPTIONS]\n"
          "       papayawayctl --help | --version\n\nCommands:\n";
  for (const CommandRule& rule : Rules()) {
    std::string usage = rule.mName + " " + rule.mUsage;
    usage.resize(std::max<std::size_t>(usage.size(), 42), ' ');
    text << "  " << usage << rule.mSummary << "\n";
  }
  text
    << "\n"
    << CommonOptions() << "\n"
    << PromotionOptions() << "\n"
    << TimelineOptions()
    << "  --node NAME           events of this node\n\n"
       "Exit codes:\n"
       "  0  done\n"
       "  1  refused or failed\n"
       "  2  invalid command line or input\n"
       "  3  lost a race: another promotion took effect first\n"
       "  4  the outcome is unknown\n"
       "  5  partial: some nodes could not be asked, or records are missing\n";
  return text.str();
}

} // namespace papayaway
