#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include <boost/program_options.hpp>
#include <curl/curl.h>

#include <adapter/PlatformCodec.h>
#include <adapter/StoreClient.h>
#include <config/SidecarSettings.h>
#include <net/EventLoop.h>
#include <sidecar/Sidecar.h>

namespace {

using namespace papayaway;
namespace options = boost::program_options;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

/** @return the checked settings, or nothing after telling what is wrong. */
std::optional<SidecarSettings>
ReadSettings(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    std::cerr << "papayaway-sidecar: can't read " << aPath << "\n";
    return std::nullopt;
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  auto settings = ParseSidecarSettings(text, aPath);
  if (!settings) {
    std::cerr << ToString(settings.error());
    return std::nullopt;
  }
  return std::move(*settings);
}

int
Run(const std::string& aPath, const SidecarSettings& aSettings)
{
  // A peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  EventLoop loop;
  const adapter::PlatformCodec codec;
  adapter::StoreClient store(loop, { .mAddress = aSettings.mStoreAddress });
  sidecar::Sidecar node(loop, aSettings, codec, store);
  if (const Expected<void> started = node.Start(); !started) {
    std::cerr << "papayaway-sidecar: " << started.error().mMessage << "\n";
    return kExitFailed;
  }
  bool stopping = false;
  const auto stop = [&] {
    if (!stopping) {
      stopping = true;
      node.Stop([&loop] { loop.Stop(); });
    }
  };
  const SignalWatcher terminate(loop, SIGTERM, stop);
  const SignalWatcher interrupt(loop, SIGINT, stop);
  const SignalWatcher reload(loop, SIGHUP, [&] {
    // Faulty settings are told and the old ones stay in force.
    if (const auto settings = ReadSettings(aPath)) {
      node.Reload(*settings);
    }
  });
  loop.Run();
  return 0;
}

int
Main(int aCount, char** aArguments)
{
  options::options_description description("Options");
  description.add_options()("help", "print this text")("version",
                                                       "print the version")(
    "settings,s", options::value<std::string>(), "the settings file")(
    "check-settings", "check the settings and exit");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(aCount, aArguments, description),
                   values);
  } catch (const options::error& error) {
    std::cerr << "papayaway-sidecar: " << error.what() << "\n";
    return kExitUsage;
  }
  if (values.count("help") != 0) {
    std::cout << "Usage: papayaway-sidecar --settings FILE\n\n"
              << description
              << "\nExit codes: 0 stopped as asked, 1 a listener could not be "
                 "bound, 2 usage or settings.\n";
    return 0;
  }
  if (values.count("version") != 0) {
    std::cout << "papayaway-sidecar " PAPAYAWAY_VERSION "\n";
    return 0;
  }
  if (values.count("settings") == 0) {
    std::cerr << "papayaway-sidecar: --settings is missing\n";
    return kExitUsage;
  }
  const auto path = values["settings"].as<std::string>();
  const auto settings = ReadSettings(path);
  if (!settings) {
    return kExitUsage;
  }
  return values.count("check-settings") != 0 ? 0 : Run(path, *settings);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return Main(aCount, aArguments);
}
