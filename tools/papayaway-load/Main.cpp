#include <csignal>
#include <iostream>

#include <net/EventLoop.h>

#include "LoadOptions.h"
#include "LoadRun.h"

namespace {

int
Run(const papayaway::LoadOptions& aOptions)
{
  papayaway::EventLoop loop;
  papayaway::LoadRun run(loop, aOptions);
  papayaway::Timer progress(loop, [&] {
    std::cerr << "load: " << run.Report().Sent() << " sent, "
              << run.Report().Ended() << " ended" << std::endl;
  });
  if (aOptions.mProgress.mCount > 0) {
    progress.StartRepeating(aOptions.mProgress);
  }
  const papayaway::SignalWatcher terminate(
    loop, SIGTERM, [&] { run.StopArrivals(); });
  const papayaway::SignalWatcher interrupt(
    loop, SIGINT, [&] { run.StopArrivals(); });
  loop.Defer([&] { run.Start(); });
  loop.Run();
  if (aOptions.mJson) {
    std::cout << run.Report().ToJson().dump() << std::endl;
  } else {
    std::cout << run.Report().ToText() << std::flush;
  }
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto options = papayaway::ParseLoadOptions(aCount, aArguments);
  if (!options) {
    std::cerr << "load: " << options.error().mMessage << "\n";
    return 2;
  }
  return *options ? Run(**options) : 0;
}
