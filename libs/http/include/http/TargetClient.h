#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <base/Millis.h>
#include <http/MessageParser.h>
#include <net/EventLoop.h>

namespace papayaway {

/** How a call to the target ended. */
enum class TargetEnd
{
  Answered,
  /** No connection could be made: nothing was sent. */
  NotConnected,
  /** The connection ended or carried something else than the answer: the
   *  request may have run. */
  Lost,
};

struct TargetResult
{
  TargetEnd mEnd = TargetEnd::Lost;
  HttpMessage mResponse;
  /** Whether the call used a connection that carried another one before. */
  bool mReusedConnection = false;
};

struct TargetClientOptions
{
  /** Connections that are kept open without a call. */
  std::size_t mMaxIdle = 16;
  /** Without a Keep-Alive field, connections are kept this long. */
  Millis mIdleLimit = Seconds(4);
  /** A part of the time of Keep-Alive, so that the target does not close a
   *  connection while a request is on its way. */
  double mKeepAlivePart = 0.6;
  /** A kept connection that is reset within this time of its next request was
   *  forgotten by the target while it was idle: nothing has run so soon. */
  Millis mForgottenWithin{ 20 };
  /** Connections that were idle for this part of the time after which one was
   *  found forgotten are not used again, but at least for mLeastIdle... */
  double mForgottenPart = 0.5;
  Millis mLeastIdle{ 100 };
  /** ...and no longer than this after the last such find. */
  Millis mForgottenMemory = Seconds(10);
  Millis mConnectTimeout = Seconds(1);
  /** Whether a response answers the request with this id; others on the
   *  connection are late or doubled answers and are dropped. */
  std::function<bool(const HttpMessage&, const std::string&)> mAnswers;
};

struct TargetRequest
{
  /** "IPv4:port". */
  std::string mAddress;
  HttpMessage mMessage;
  std::string mRequestId;
};

/**
 * Sends calls to the local target, one at a time on each connection.
 *
 * It never repeats a call and has no time-out for answers: the owner cancels.
 */
class TargetClient
{
public:
  using CallId = std::uint64_t;
  using Callback = std::function<void(TargetResult)>;

  TargetClient(EventLoop& aLoop, TargetClientOptions aOptions);
  ~TargetClient();
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  /** Starts a call; aCallback runs once, never inside Send().
   *  @return an id for Cancel(). */
  CallId Send(const TargetRequest& aRequest, Callback aCallback);

  /** Ends a call by closing its connection; its callback does not run. */
  void Cancel(CallId aId);

  /** Closes the connections without a call. Called when the target restarts
   *  or when an open connection has gone silent. */
  void CloseIdle();

  /** @return connections that were opened so far. */
  [[nodiscard]] std::uint64_t Opened() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace papayaway
