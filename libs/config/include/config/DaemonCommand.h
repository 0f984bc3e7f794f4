#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace papayaway {

/** The name and exit codes that the help text of a daemon shows. */
struct DaemonProgram
{
  std::string_view mName;
  /** The meaning of the exit codes, as one sentence. */
  std::string_view mExitCodes;

  bool operator==(const DaemonProgram&) const = default;
};

/** The parsed command line of a daemon. */
struct DaemonCommand
{
  /** The path of the settings file; "-" for standard input. */
  std::string mSettingsPath;
  /** Whether to exit after checking the settings. */
  bool mCheckOnly = false;

  bool operator==(const DaemonCommand&) const = default;
};

/** The exit code for an invalid command line or invalid settings. */
constexpr int kExitUsage = 2;

/**
 * Parses the command line options that all daemons have. Prints help and
 * version to standard output and error messages to standard error.
 *
 * @return the command, or the exit code if the program is to exit at once:
 *   after an error, --help or --version.
 */
tl::expected<DaemonCommand, int> ParseDaemonCommand(
  int aCount,
  const char* const* aArguments,
  const DaemonProgram& aProgram);

/** Reads the file at aPath, or standard input if aPath is "-".
 *  @return the content; std::nullopt if the file can't be opened, after an
 *    error message on standard error. */
std::optional<std::string> ReadSettingsFile(const std::string& aPath,
                                            const DaemonProgram& aProgram);

} // namespace papayaway
