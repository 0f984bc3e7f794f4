#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <base/Error.h>
#include <base/Millis.h>
#include <http/MessageParser.h>
#include <net/EventLoop.h>

namespace papayaway {

/** Limits on the size of requests and on the time that callers may take. */
struct CallerLimits
{
  ParserLimits mSizes;
  /** Maximum time from the first byte of a request to the end of its header
   *  fields. */
  Millis mHeaderTimeout = Seconds(10);
  /** Maximum time without traffic on a connection on which no request waits
   *  for a response, and while a request body is received. */
  Millis mIdleTimeout = Seconds(60);

  bool operator==(const CallerLimits&) const;
};

struct CallerResponse
{
  int mStatus = 200;
  HttpHeaders mHeaders;
  std::string mBody;
  /** Whether to close the connection after this response. */
  bool mClose = false;
};

/** One request of a caller and the means to respond to it. */
class CallerExchange
{
public:
  virtual ~CallerExchange() = default;

  [[nodiscard]] virtual const HttpMessage& Request() const = 0;

  /** Sends the response; calls after the first have no effect. */
  virtual void Respond(CallerResponse aResponse) = 0;

  /** Sets the callback that runs if the connection ends before the response
   *  is given. */
  virtual void OnAbandoned(std::function<void()> aCallback) = 0;
};

/**
 * An HTTP/1.1 server for callers.
 *
 * Each pipelined request is passed to the handler once it is complete and all
 * input that has arrived was read, so that a request behind which the caller
 * has closed the connection is never handled. The responses are sent in the
 * order of the requests. The connection is read while requests wait for their
 * responses, so that a disconnect of the caller is detected. If too many
 * requests wait, a limited amount of further input is held unparsed, then
 * reading pauses.
 */
class CallerServer
{
public:
  using Handler = std::function<void(std::shared_ptr<CallerExchange>)>;

  static Expected<std::unique_ptr<CallerServer>> Listen(
    EventLoop& aLoop,
    const std::string& aAddress,
    const CallerLimits& aLimits,
    Handler aHandler);

  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /** Sets new limits. The size limits apply to requests that begin later, the
   *  timeouts also to requests and connections that are open now. */
  void SetLimits(const CallerLimits& aLimits);

  /** Makes the server close each connection after the responses to the requests
   *  that wait on it, or after its next response if none does. */
  void CloseAfterResponses();

  /** Closes the connections on which no request is being received or waits
   *  for its response, once the responses to earlier requests are written. */
  void CloseIdle();

  void StopAccepting();

  /** @return the bound address as "IPv4:port". */
  [[nodiscard]] const std::string& Address() const;

  /** @return the number of requests whose response has not been passed to the
   *    connection. */
  [[nodiscard]] std::size_t InFlight() const;

  /** @return the number of connections of which the last response has not been
   *    written, or that the caller has not closed after it. */
  [[nodiscard]] std::size_t Unfinished() const;

  [[nodiscard]] std::size_t Connections() const;

  /** @return how often reading from a connection has paused because too much
   *    unparsed input was held. */
  [[nodiscard]] std::uint64_t ReadingPauses() const;

private:
  struct Impl;
  class Connection;
  explicit CallerServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace papayaway
