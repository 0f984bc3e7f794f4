#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <base/Error.h>
#include <base/Millis.h>
#include <http/MessageParser.h>
#include <net/EventLoop.h>

namespace papayaway {

/** What callers may send and how long they may take. */
struct CallerLimits
{
  ParserLimits mSizes;
  /** From the first byte of a request to the end of its header fields. */
  Millis mHeaderTimeout = Seconds(10);
  /** A connection without traffic and without a waiting request. */
  Millis mIdleTimeout = Seconds(60);

  bool operator==(const CallerLimits&) const;
};

struct CallerResponse
{
  int mStatus = 200;
  HttpHeaders mHeaders;
  std::string mBody;
  /** Whether the connection ends after this response. */
  bool mClose = false;
};

/** One request of a caller and the place for its response. */
class CallerExchange
{
public:
  virtual ~CallerExchange() = default;

  [[nodiscard]] virtual const HttpMessage& Request() const = 0;

  /** Sends the response; calls after the first have no effect. */
  virtual void Respond(CallerResponse aResponse) = 0;

  /** Registers what runs if the caller leaves before the response. */
  virtual void OnAbandoned(std::function<void()> aCallback) = 0;
};

/**
 * Accepts HTTP/1.1 requests of callers.
 *
 * Requests that are sent ahead on a connection are handed over at once and
 * answered in their order. The connection is read while requests wait, so
 * that a caller that leaves is noticed.
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

  /** Applies to requests that begin later. */
  void SetLimits(const CallerLimits& aLimits);

  /** From now on each response ends its connection. */
  void CloseAfterResponses();

  /** Ends the connections on which no request waits. */
  void CloseIdle();

  void StopAccepting();

  /** @return "IPv4:port" as bound. */
  [[nodiscard]] const std::string& Address() const;

  /** @return requests without a response that is written whole. */
  [[nodiscard]] std::size_t InFlight() const;

  [[nodiscard]] std::size_t Connections() const;

private:
  struct Impl;
  class Connection;
  explicit CallerServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace papayaway
