#include <csignal>
#include <iostream>

#include <boost/program_options.hpp>

#include <net/EventLoop.h>
#include <net/HttpServer.h>

#include "PlatformServer.h"

namespace {

constexpr std::size_t kMaxBody = std::size_t{ 16 } << 20;

} // namespace

int
main(int aCount, char** aArguments)
{
  namespace options = boost::program_options;
  options::options_description description("papayaway-platform");
  description.add_options()("help", "print this text")(
    "listen",
    options::value<std::string>()->default_value("127.0.0.1:0"),
    "IPv4:port; port 0 selects a free port");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(aCount, aArguments, description),
                   values);
    options::notify(values);
  } catch (const options::error& parseError) {
    std::cerr << "platform: " << parseError.what() << "\n";
    return 2;
  }
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }

  papayaway::EventLoop loop;
  papayaway::PlatformServer platform(loop);
  auto server = papayaway::HttpServer::Listen(
    loop,
    { .mAddress = values["listen"].as<std::string>(), .mMaxBody = kMaxBody },
    [&](const std::shared_ptr<papayaway::HttpExchange>& aExchange) {
      platform.Serve(aExchange);
    });
  if (!server) {
    std::cerr << "platform: " << server.error().mMessage << "\n";
    return 1;
  }
  const papayaway::SignalWatcher terminate(loop, SIGTERM, [&] { loop.Stop(); });
  std::cout << "ready http=" << (*server)->Address() << std::endl;
  loop.Run();
  return 0;
}
