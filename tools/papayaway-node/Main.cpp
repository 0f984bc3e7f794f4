#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include <boost/program_options.hpp>
#include <curl/curl.h>
#include <glog/logging.h>

#include <config/NodeSettings.h>
#include <net/EventLoop.h>
#include <node/Node.h>

namespace {

using namespace papayaway;
namespace options = boost::program_options;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  if (aPath == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(aPath);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

int
RunNode(const NodeSettings& aSettings)
{
  // A peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  EventLoop loop;
  Node node(loop, aSettings);
  if (const Expected<void> started = node.Start(); !started) {
    std::cerr << "papayaway-node: " << started.error().mMessage << "\n";
    return kExitFailed;
  }
  std::cout << node.ReadyLine() << std::endl;
  bool stopping = false;
  const auto stop = [&] {
    if (!stopping) {
      stopping = true;
      node.Stop([&loop] { loop.Stop(); });
    }
  };
  const SignalWatcher terminate(loop, SIGTERM, stop);
  const SignalWatcher interrupt(loop, SIGINT, stop);
  loop.Run();
  return 0;
}

int
Main(int aCount, char** aArguments)
{
  options::options_description description("Options");
  description.add_options()("help", "print this text")(
    "version", "print the version")("settings,s",
                                    options::value<std::string>(),
                                    "the settings file, - for standard input")(
    "check-settings", "check the settings and exit");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(aCount, aArguments, description),
                   values);
  } catch (const options::error& error) {
    std::cerr << "papayaway-node: " << error.what() << "\n";
    return kExitUsage;
  }
  if (values.count("help") != 0) {
    std::cout << "Usage: papayaway-node --settings FILE\n\n"
              << description
              << "\nExit codes: 0 stopped as asked, 1 a listener could not be "
                 "bound, 2 usage or settings.\n";
    return 0;
  }
  if (values.count("version") != 0) {
    std::cout << "papayaway-node " PAPAYAWAY_VERSION "\n";
    return 0;
  }
  if (values.count("settings") == 0) {
    std::cerr << "papayaway-node: --settings is missing\n";
    return kExitUsage;
  }
  const auto path = values["settings"].as<std::string>();
  const std::optional<std::string> text = ReadFile(path);
  if (!text) {
    std::cerr << "papayaway-node: can't read " << path << "\n";
    return kExitUsage;
  }
  const auto settings = ParseNodeSettings(*text, path);
  if (!settings) {
    std::cerr << ToString(settings.error());
    return kExitUsage;
  }
  return values.count("check-settings") != 0 ? 0 : RunNode(*settings);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(aArguments[0]);
  return Main(aCount, aArguments);
}
