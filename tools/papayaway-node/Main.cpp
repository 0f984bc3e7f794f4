#include <csignal>
#include <iostream>

#include <curl/curl.h>
#include <glog/logging.h>

#include <config/DaemonCommand.h>
#include <config/NodeSettings.h>
#include <net/EventLoop.h>
#include <node/Node.h>

namespace {

using namespace papayaway;

constexpr int kExitFailed = 1;

constexpr DaemonProgram kProgram{
  .mName = "papayaway-node",
  .mExitCodes =
    "0 stopped normally, 1 a listener could not be bound, 2 usage or settings."
};

int
RunNode(const NodeSettings& aSettings)
{
  // Writing to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  EventLoop loop;
  Node node(loop, aSettings);
  if (const Expected<void> started = node.Start(); !started) {
    std::cerr << kProgram.mName << ": " << started.error().mMessage << "\n";
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

} // namespace

int
main(int aCount, char** aArguments)
{
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(aArguments[0]);
  const auto command = ParseDaemonCommand(aCount, aArguments, kProgram);
  if (!command) {
    return command.error();
  }
  const auto text = ReadSettingsFile(command->mSettingsPath, kProgram);
  if (!text) {
    return kExitUsage;
  }
  const auto settings = ParseNodeSettings(*text, command->mSettingsPath);
  if (!settings) {
    std::cerr << ToString(settings.error());
    return kExitUsage;
  }
  return command->mCheckOnly ? 0 : RunNode(*settings);
}
