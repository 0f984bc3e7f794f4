#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include <base/Millis.h>

namespace papayaway {

/** The exit codes of papayawayctl. */
enum class ExitCode
{
  Done = 0,
  /** The command was refused or failed, or no node responded. */
  Failed = 1,
  /** The command line or an input is invalid. */
  Usage = 2,
  /** Another promotion took effect first. */
  LostRace = 3,
  OutcomeUnknown = 4,
  /** The output is incomplete: some nodes did not respond, records are missing,
   *  or log lines can't be parsed. */
  Partial = 5,
};

/** Selects the events of a timeline; an empty member matches every event. */
struct TimelineFilter
{
  std::string mService;
  std::string mVersion;
  std::string mNode;
  std::string mRequest;

  bool operator==(const TimelineFilter&) const = default;
};

/** The parsed command line. */
struct CtlOptions
{
  std::string mCommand;
  std::vector<std::string> mArguments;
  /** The admin addresses of nodes, in the order in which they are tried. */
  std::vector<std::string> mNodes;
  std::string mToken;
  bool mJson = false;
  /** The timeout of one call. */
  Millis mTimeout = Seconds(5);
  /** The value of --environment, or empty. */
  std::string mEnvironment;
  /** The version that the promotion replaces. */
  std::optional<std::uint64_t> mParent;
  /** The environment whose document is promoted, or empty. */
  std::string mFrom;
  TimelineFilter mFilter;

  bool operator==(const CtlOptions&) const = default;
};

/**
 * Parses the arguments of papayawayctl.
 *
 * @param aArguments the arguments without the program name.
 * @param aDefaultToken the token if no --token is given.
 * @return the options, or an error message.
 */
tl::expected<CtlOptions, std::string> ParseCommandLine(
  const std::vector<std::string>& aArguments,
  const std::string& aDefaultToken);

/** @return the text of --help. */
std::string HelpText();

} // namespace papayaway
