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
  /** Called when the WebSocket handshake is complete and messages can be
   *  sent. */
  std::function<void()> mOpened = [] {};
  std::function<void(std::string)> mMessage = [](const std::string&) {};
  /** Called at most once, when the connection has ended; receives the
   *  reason. */
  std::function<void(std::string)> mClosed = [](const std::string&) {};
};

struct PeerSocketOptions
{
  /** The connection is closed if the handshake takes longer than this. */
  Millis mHandshakeTimeout = Seconds(3);
  /** The connection is closed if more bytes than this wait to be sent, because
   *  the peer reads too slowly. */
  std::size_t mMaxUnsentBytes = std::size_t{ 16 } << 20;
};

/** One WebSocket connection between two nodes. */
class PeerSocket
{
public:
  /** Starts to connect to aAddress ("IPv4:port"). Calls mClosed on failure.
   *  @param aAuthorization the value of the Authorization header. */
  static std::unique_ptr<PeerSocket> Connect(
    EventLoop& aLoop,
    const std::string& aAddress,
    const std::string& aAuthorization,
    PeerSocketHandlers aHandlers,
    const PeerSocketOptions& aOptions = {});

  ~PeerSocket();
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  /** Replaces the handlers. Used to set those of an accepted socket. */
  void SetHandlers(PeerSocketHandlers aHandlers);

  /** Sends one message. Messages sent in the same loop iteration are written
   *  together. */
  void Send(const std::string& aMessage);

  /** Signals the end of the stream to the peer once all messages are written.
   *  Later messages are dropped. mClosed is called when the peer has closed the
   *  connection, which it does after it has read everything. */
  void CloseWhenWritten();

  /** @return the number of bytes that wait to be written. */
  [[nodiscard]] std::size_t UnsentBytes() const;

  [[nodiscard]] bool IsOpen() const;

  /** @return the number of bytes written to the socket so far. */
  [[nodiscard]] std::uint64_t BytesSent() const;

  /** @return the number of bytes read from the socket so far. */
  [[nodiscard]] std::uint64_t BytesReceived() const;

  struct Impl;

private:
  friend class PeerListener;
  explicit PeerSocket(std::shared_ptr<Impl> aImpl);
  std::shared_ptr<Impl> mImpl;
};

struct PeerListenerHandlers
{
  /** Returns whether to accept a peer that sent this value of the Authorization
   *  header. */
  std::function<bool(const std::string&)> mAuthorize;
  /** Receives each accepted socket once its handshake is complete. */
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

  /** @return the bound address as "IPv4:port". */
  [[nodiscard]] const std::string& Address() const;

private:
  struct Impl;
  explicit PeerListener(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace papayaway
