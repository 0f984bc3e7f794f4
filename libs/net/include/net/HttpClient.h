#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <base/Millis.h>
#include <net/EventLoop.h>
#include <net/Http.h>

namespace papayaway {

/** Why a call has no response. */
enum class HttpFailure
{
  None,
  /** No connection was made; the request was not sent. */
  NotConnected,
  Timeout,
  /** The connection broke before the response was whole. */
  ConnectionLost,
  /** The response is larger than the limit. */
  TooLarge,
  Cancelled,
};

struct HttpCall
{
  /** "IPv4:port" of the server. */
  std::string mAddress;
  HttpRequest mRequest;
  /** The time for the whole call. */
  Millis mTimeout = Seconds(5);
  Millis mConnectTimeout = Seconds(1);
  /** Whether the request may reach the server twice. If not, a reused
   *  connection that turns out to be closed fails the call. */
  bool mIdempotent = true;
  /** Whether a connection other than the pooled ones must be made. */
  bool mFreshConnection = false;
};

struct HttpResult
{
  HttpFailure mFailure = HttpFailure::None;
  HttpResponse mResponse;
  /** Whether any part of the request may have reached the server. */
  bool mMayHaveRun = false;
  std::string mError;
};

struct HttpClientOptions
{
  /** Connections to one server at most. */
  long mMaxConnectionsPerServer = 120;
  long mMaxIdleConnections = 256;
  std::size_t mMaxBody = std::size_t{ 4 } << 20;
};

/** HTTP/1.1 calls on the event loop with pooled connections. */
class HttpClient
{
public:
  using CallId = std::uint64_t;
  using Callback = std::function<void(HttpResult)>;

  HttpClient(EventLoop& aLoop, const HttpClientOptions& aOptions);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Starts a call; aCallback runs once, never inside Send().
   *  @return an id for Cancel(). */
  CallId Send(HttpCall aCall, Callback aCallback);

  /** Ends a call by closing its connection. Its callback receives
   *  HttpFailure::Cancelled; an ended call is left alone. */
  void Cancel(CallId aId);

  /** Makes later calls use no connection that was made before now. Called
   *  when an open connection has gone silent, because others of the same age
   *  may be silent too. */
  void DistrustOpenConnections();

  [[nodiscard]] std::size_t InFlight() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace papayaway
