#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

#include <curl/curl.h>

#include <adapter/PlatformCodec.h>
#include <adapter/StoreClient.h>
#include <config/DaemonCommand.h>
#include <config/SidecarSettings.h>
#include <net/EventLoop.h>
#include <sidecar/Sidecar.h>

namespace {

using namespace papayaway;

constexpr int kExitFailed = 1;
/** Further lines of the section [limits], for limits that only some
 *  installations have. */
constexpr const char* kLimitsVariable = "PAPAYAWAY_SIDECAR_LIMITS";

constexpr DaemonProgram kProgram{
  .mName = "papayaway-sidecar",
  .mExitCodes =
    "0 stopped normally, 1 a listener could not be bound, 2 usage or settings."
};

/** @return the validated settings, or nothing after printing the errors. */
std::optional<SidecarSettings>
ReadSettings(const std::string& aPath)
{
  auto text = ReadSettingsFile(aPath, kProgram);
  if (!text) {
    return std::nullopt;
  }
  if (const char* const limits = std::getenv(kLimitsVariable)) {
    *text += std::string("\n[limits]\n") + limits;
  }
  auto settings = ParseSidecarSettings(*text, aPath);
  if (!settings) {
    std::cerr << ToString(settings.error());
    return std::nullopt;
  }
  return std::move(*settings);
}

int
Run(const std::string& aPath, const SidecarSettings& aSettings)
{
  // Writing to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  EventLoop loop;
  const adapter::PlatformCodec codec;
  adapter::StoreClient store(loop, { .mAddress = aSettings.mStoreAddress });
  sidecar::Sidecar node(loop, aSettings, codec, store);
  if (const Expected<void> started = node.Start(); !started) {
    std::cerr << kProgram.mName << ": " << started.error().mMessage << "\n";
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
    // Invalid settings are reported; the previous ones stay in force.
    if (const auto settings = ReadSettings(aPath)) {
      node.Reload(*settings);
    }
  });
  loop.Run();
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto command = ParseDaemonCommand(aCount, aArguments, kProgram);
  if (!command) {
    return command.error();
  }
  const auto settings = ReadSettings(command->mSettingsPath);
  if (!settings) {
    return kExitUsage;
  }
  return command->mCheckOnly ? 0 : Run(command->mSettingsPath, *settings);
}
