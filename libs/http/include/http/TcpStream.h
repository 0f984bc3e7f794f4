#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <base/Error.h>
#include <net/EventLoop.h>

namespace papayaway {

struct TcpStreamHandlers
{
  /** The connection that Connect() asked for stands. */
  std::function<void()> mConnected = [] {};
  std::function<void(std::string_view)> mBytes = [](std::string_view) {};
  /** The connection has ended. Receives whether the peer closed it in order,
   *  rather than by a reset or a failed write. Called once at most. */
  std::function<void(bool)> mEnded = [](bool) {};
};

/** One non-blocking TCP connection with a buffer for unsent bytes. */
class TcpStream : public std::enable_shared_from_this<TcpStream>
{
public:
  /** Takes over an accepted descriptor. */
  static std::shared_ptr<TcpStream> Adopt(EventLoop& aLoop, int aDescriptor);

  /** Starts to connect to "IPv4:port"; failures come as mEnded(false). */
  static std::shared_ptr<TcpStream> Connect(EventLoop& aLoop,
                                            const std::string& aAddress);

  TcpStream(EventLoop& aLoop, int aDescriptor, bool aConnecting);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /** Sets the handlers and starts to watch the connection. */
  void Start(TcpStreamHandlers aHandlers);

  /** Writes what the socket takes at once and keeps the rest. */
  void Write(std::string_view aBytes);

  /** Stops or goes on reading; the end is not noticed while stopped. */
  void SetReading(bool aReading);

  /** Ends the connection now; no handler is called any more. */
  void Close();

  /** Ends the connection once everything is written. What the peer sends
   *  until then is read and dropped, so that closing causes no reset. */
  void CloseWhenWritten();

  [[nodiscard]] bool Connected() const { return !mConnecting && !mClosed; }
  [[nodiscard]] std::size_t Unsent() const { return mUnsent.size(); }

private:
  void OnReady(bool aRead, bool aWrite);
  void Read();
  void Flush();
  void End(bool aOrderly);
  void Watch();

  EventLoop& mLoop;
  int mDescriptor;
  bool mConnecting;
  bool mReading = true;
  bool mClosed = false;
  bool mClosing = false;
  TcpStreamHandlers mHandlers;
  std::unique_ptr<IoWatcher> mWatcher;
  std::string mUnsent;
};

/** Accepts TCP connections. */
class TcpListener
{
public:
  /** @return the listener, or an error if the address can't be bound. */
  static Expected<std::unique_ptr<TcpListener>> Listen(
    EventLoop& aLoop,
    const std::string& aAddress,
    std::function<void(std::shared_ptr<TcpStream>)> aAccepted);

  TcpListener(EventLoop& aLoop,
              int aDescriptor,
              std::string aAddress,
              std::function<void(std::shared_ptr<TcpStream>)> aAccepted);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /** @return "IPv4:port" as bound. */
  [[nodiscard]] const std::string& Address() const { return mAddress; }

private:
  void Accept();

  EventLoop& mLoop;
  int mDescriptor;
  std::string mAddress;
  std::function<void(std::shared_ptr<TcpStream>)> mAccepted;
  std::unique_ptr<IoWatcher> mWatcher;
};

} // namespace papayaway
