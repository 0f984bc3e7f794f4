#pragma once

// This header is included by a C++17 unit, so it and what it includes must
// stay free of C++20.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace papayaway {

/** What a session tells its owner. No callback may destroy the session. */
struct WebSocketHandlers
{
  /** Bytes for the other side. */
  std::function<void(const char*, std::size_t)> mWrite;
  std::function<void()> mOpened;
  std::function<void(std::string)> mMessage;
  /** The session has ended; the text says why. Called once. */
  std::function<void(std::string)> mClosed;
  /** Server only: decides on the value of the Authorization header. */
  std::function<bool(const std::string&)> mAuthorize;
};

/** The WebSocket protocol of one connection, without any socket. */
class WebSocketSession
{
public:
  static std::unique_ptr<WebSocketSession> Accept(WebSocketHandlers aHandlers);

  /** Starts the handshake of a client.
   *  @param aAddress "IPv4:port" for the Host header.
   *  @param aAuthorization the value of the Authorization header. */
  static std::unique_ptr<WebSocketSession> Connect(
    const std::string& aAddress,
    const std::string& aAuthorization,
    WebSocketHandlers aHandlers);

  virtual ~WebSocketSession() = default;

  /** Takes bytes that came from the other side. */
  virtual void Receive(const char* aData, std::size_t aSize) = 0;

  /** Sends one binary message. Without effect before the session is open. */
  virtual void Send(const std::string& aMessage) = 0;
};

} // namespace papayaway
