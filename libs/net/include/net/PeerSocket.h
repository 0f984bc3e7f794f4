#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <base/Error.h>
#include <base/Millis.h>
#include <net/EventLoop.h>

namespace papayaway {

struct PeerSocketHandlers
{
  /** The handshake is done and messages can be sent. */
  std::function<void()> mOpened = [] {};
  std::function<void(std::string)> mMessage = [](const std::string&) {};
  /** The connection has ended; the text says why. Called once at most. */
  std::function<void(std::string)> mClosed = [](const std::string&) {};
};

struct PeerSocketOptions
{
  /** A handshake that takes longer ends the connection. */
  Millis mHandshakeTimeout = Seconds(3);
  /** A connection whose peer reads too slowly is closed at this many bytes
   *  that wait to be sent. */
  std::size_t mMaxUnsent = std::size_t{ 16 } << 20;
};

/** One WebSocket connection between two nodes. */
class PeerSocket
{
public:
  /** Connects to aAddress ("IPv4:port"); failures come as mClosed. */
  static std::unique_ptr<PeerSocket> Connect(
    EventLoop& aLoop,
    const std::string& aAddress,
    const std::string& aAuthorization,
    PeerSocketHandlers aHandlers,
    const PeerSocketOptions& aOptions = {});

  ~PeerSocket();
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  /** Replaces the handlers; used for accepted sockets. */
  void SetHandlers(PeerSocketHandlers aHandlers);

  /** Sends one message; messages of one loop iteration share a write. */
  void Send(const std::string& aMessage);

  [[nodiscard]] bool IsOpen() const;

  /** @return bytes written to and read from the socket so far. */
  [[nodiscard]] std::uint64_t BytesSent() const;
  [[nodiscard]] std::uint64_t BytesReceived() const;

  struct Impl;

private:
  friend class PeerListener;
  explicit PeerSocket(std::shared_ptr<Impl> aImpl);
  std::shared_ptr<Impl> mImpl;
};

struct PeerListenerHandlers
{
  /** Decides on the value of the Authorization header. */
  std::function<bool(const std::string&)> mAuthorize;
  /** Receives each socket whose handshake is done. */
  std::function<void(std::unique_ptr<PeerSocket>)> mAccepted;
};

/** Accepts WebSocket connections of other nodes. */
class PeerListener
{
public:
  static Expected<std::unique_ptr<PeerListener>> Listen(
    EventLoop& aLoop,
    const std::string& aAddress,
    PeerListenerHandlers aHandlers);

  ~PeerListener();
  PeerListener(const PeerListener&) = delete;
  PeerListener& operator=(const PeerListener&) = delete;

  /** @return "IPv4:port" as bound. */
  [[nodiscard]] const std::string& Address() const;

private:
  struct Impl;
  explicit PeerListener(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace papayaway
