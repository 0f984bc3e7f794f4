#include <config/DaemonCommand.h>

#include <fstream>
#include <iostream>
#include <iterator>

#include <boost/program_options.hpp>

namespace papayaway {

namespace options = boost::program_options;

tl::expected<DaemonCommand, int>
ParseDaemonCommand(int aCount,
                   const char* const* aArguments,
                   const DaemonProgram& aProgram)
{
  DaemonCommand command;
  options::options_description description("Options");
  description.add_options()("help", "print this text")(
    "version", "print the version")("settings,s",
                                    options::value(&command.mSettingsPath),
                                    "the settings file, - for standard input")(
    "check-settings",
    options::bool_switch(&command.mCheckOnly),
    "check the settings and exit");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(aCount, aArguments, description),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << aProgram.mName << ": " << error.what() << "\n";
    return tl::unexpected(kExitUsage);
  }
  if (values.count("help") != 0) {
    std::cout << "Usage: " << aProgram.mName << " --settings FILE\n\n"
              << description << "\nExit codes: " << aProgram.mExitCodes << "\n";
    return tl::unexpected(0);
  }
  if (values.count("version") != 0) {
    std::cout << aProgram.mName << " " << PAPAYAWAY_VERSION << "\n";
    return tl::unexpected(0);
  }
  if (values.count("settings") == 0) {
    std::cerr << aProgram.mName << ": --settings is missing\n";
    return tl::unexpected(kExitUsage);
  }
  return command;
}

std::optional<std::string>
ReadSettingsFile(const std::string& aPath, const DaemonProgram& aProgram)
{
  if (aPath == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(aPath);
  if (!file) {
    std::cerr << aProgram.mName << ": can't read " << aPath << "\n";
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace papayaway
