#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <base/Error.h>
#include <base/Millis.h>
#include <net/EventLoop.h>
#include <net/Http.h>

namespace papayaway {

/** One request and the means to respond to it, immediately or later. */
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual const HttpRequest& Request() const = 0;

  /** @return an id that is unique to the connection of the request, or 0 if
   *    it is not known. */
  [[nodiscard]] virtual std::uint64_t ConnectionId() const { return 0; }

  /** Sends the response; calls after the first have no effect. */
  virtual void Respond(HttpResponse aResponse) = 0;

  /** Sets the callback that runs if the client disconnects before the response
   *  is sent. */
  virtual void OnAbandoned(std::function<void()> aCallback) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

struct HttpServerOptions
{
  /** "IPv4:port"; port 0 selects a free port. */
  std::string mAddress = "127.0.0.1:0";
  /** Maximum body size in bytes. A request with a larger body gets status
   *  413. */
  std::size_t mMaxBody = std::size_t{ 1 } << 20;
  unsigned int mMaxConnections = 4096;
  /** A connection without traffic for this long is closed. */
  Millis mIdleTimeout = Seconds(60);
};

/** An HTTP/1.1 server on the event loop. */
class HttpServer
{
public:
  /** Binds the address and starts to accept connections.
   *  @return the server, or an error if the address can't be bound. */
  static Expected<std::unique_ptr<HttpServer>> Listen(
    EventLoop& aLoop,
    const HttpServerOptions& aOptions,
    HttpHandler aHandler);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** @return the bound address as "IPv4:port". */
  [[nodiscard]] const std::string& Address() const;

  /** Closes the listening socket; open connections stay open. */
  void StopAccepting();

  /** @return the number of open connections. */
  [[nodiscard]] std::size_t Connections() const;

  /** @return the number of requests whose response has not been sent
   *    completely. */
  [[nodiscard]] std::size_t InFlight() const;

  struct Impl;

private:
  explicit HttpServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace papayaway
