#pragma once

// This header is included by a translation unit compiled as C++17, so neither
// it nor the headers it includes may use C++20.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace papayaway {

/** Callbacks from a session to its owner. None may destroy the session. */
struct WebSocketHandlers
{
  /** Receives bytes to be sent to the peer. */
  std::function<void(const char*, std::size_t)> mWrite;
  std::function<void()> mOpened;
  std::function<void(std::string)> mMessage;
  /** Called at most once, when the session has ended; receives the reason. */
  std::function<void(std::string)> mClosed;
  /** Server only: returns whether to accept a peer that sent this value of the
   *  Authorization header. */
  std::function<bool(const std::string&)> mAuthorize;
};

/** The WebSocket protocol of one connection, independent of the transport. */
class WebSocketSession
{
public:
  /** Creates the server side, which waits for the handshake of a client. */
  static std::unique_ptr<WebSocketSession> Accept(WebSocketHandlers aHandlers);

  /** Starts the handshake of a client.
   *  @param aAddress "IPv4:port" for the Host header.
   *  @param aAuthorization the value of the Authorization header. */
  static std::unique_ptr<WebSocketSession> Connect(
    const std::string& aAddress,
    const std::string& aAuthorization,
    WebSocketHandlers aHandlers);

  virtual ~WebSocketSession() = default;

  /** Processes bytes received from the peer. */
  virtual void Receive(const char* aData, std::size_t aSize) = 0;

  /** Sends one binary message. No effect before the session is open. */
  virtual void Send(const std::string& aMessage) = 0;
};

} // namespace papayaway
