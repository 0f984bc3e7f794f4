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
  /** Refused, failed, or no node could be asked. */
  Failed = 1,
  /** Wrong use, or an input with findings. */
  Usage = 2,
  /** Another promotion took effect first. */
  LostRace = 3,
  OutcomeUnknown = 4,
  /** Some nodes could not be asked, or records are missing. */
  Partial = 5,
};

/** Which events a timeline shows; an empty member admits every event. */
struct TimelineFilter
{
  std::string mService;
  std::string mVersion;
  std::string mNode;
  std::string mRequest;

  bool operator==(const TimelineFilter&) const = default;
};

/** What the operator asked for. */
struct CtlOptions
{
  std::string mCommand;
  std::vector<std::string> mArguments;
  /** Admin addresses, which are tried in this order. */
  std::vector<std::string> mNodes;
  std::string mToken;
  bool mJson = false;
  /** The time for one call. */
  Millis mTimeout = Seconds(5);
  /** Empty if it was not given. */
  std::string mEnvironment;
  std::optional<std::uint64_t> mParent;
  /** The environment whose document is promoted, or empty. */
  std::string mFrom;
  TimelineFilter mFilter;

  bool operator==(const CtlOptions&) const = default;
};

/**
 * Reads the arguments of papayawayctl.
 *
 * @param aArguments the arguments without the program name.
 * @param aDefaultToken the token if no --token is given.
 * @return the options, or a sentence that says what is wrong.
 */
tl::expected<CtlOptions, std::string> ParseCommandLine(
  const std::vector<std::string>& aArguments,
  const std::string& aDefaultToken);

/** @return the text of --help. */
std::string HelpText();

} // namespace papayaway
