#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace papayaway {

/** What the help text of a daemon says. */
struct DaemonProgram
{
  std::string_view mName;
  /** What its exit codes mean, as one sentence. */
  std::string_view mExitCodes;

  bool operator==(const DaemonProgram&) const = default;
};

/** What the command line of a daemon asks for. */
struct DaemonCommand
{
  /** "-" stands for standard input. */
  std::string mSettingsPath;
  /** Whether to check the settings and to end. */
  bool mCheckOnly = false;

  bool operator==(const DaemonCommand&) const = default;
};

/** The exit code for wrong use and for faulty settings. */
constexpr int kExitUsage = 2;

/**
 * Reads the command line that all daemons share. Help and version go to
 * standard output, faults to standard error.
 *
 * @return the command; the exit code if there is nothing more to do.
 */
tl::expected<DaemonCommand, int> ParseDaemonCommand(
  int aCount,
  const char* const* aArguments,
  const DaemonProgram& aProgram);

/** @return the text of the file, or nothing after telling on standard error
 *    that it can't be read. */
std::optional<std::string> ReadSettingsFile(const std::string& aPath,
                                            const DaemonProgram& aProgram);

} // namespace papayaway
