#include <csignal>
#include <iostream>

#include <base/Random.h>
#include <net/EventLoop.h>
#include <net/HttpClient.h>
#include <net/HttpServer.h>

#include "Announcer.h"
#include "Target.h"
#include "TargetOptions.h"

namespace {

// While draining, the time between two checks for requests in flight. The
// process exits after two consecutive checks that find none, which leaves time
// to send the last responses.
constexpr papayaway::Millis kDrainCheckPeriod{ 50 };

int
Run(const papayaway::TargetOptions& aOptions)
{
  papayaway::EventLoop loop;
  papayaway::HttpClient client(loop, {});
  papayaway::Random random = papayaway::SeededFromSystem();
  const std::string instance = papayaway::RandomId(random);
  papayaway::Target target(loop, client, aOptions, random);
  std::unique_ptr<papayaway::HttpServer> server;
  auto listening = papayaway::HttpServer::Listen(
    loop,
    { .mAddress = aOptions.mListen },
    [&](const std::shared_ptr<papayaway::HttpExchange>& aExchange) {
      target.Serve(aExchange, server->Connections());
    });
  if (!listening) {
    std::cerr << "target: " << listening.error().mMessage << "\n";
    return 1;
  }
  server = std::move(*listening);
  papayaway::Announcer announcer(
    loop, client, aOptions, server->Address(), instance);
  int idleChecks = 0;
  papayaway::Timer drain(loop, [&] {
    idleChecks = target.IsIdle() ? idleChecks + 1 : 0;
    if (idleChecks >= 2) {
      loop.Stop();
    }
  });
  const papayaway::SignalWatcher terminate(loop, SIGTERM, [&] {
    announcer.AnnounceDraining([&] {
      target.RefuseNewRequests();
      drain.StartRepeating(kDrainCheckPeriod);
    });
  });
  announcer.Start();
  std::cout << "ready http=" << server->Address() << std::endl;
  loop.Run();
  server.reset();
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto options = papayaway::ParseTargetOptions(aCount, aArguments);
  if (!options) {
    std::cerr << "target: " << options.error().mMessage << "\n";
    return 2;
  }
  return *options ? Run(**options) : 0;
}
