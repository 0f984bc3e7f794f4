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
  /** Called when a connection started by Connect() is established. */
  std::function<void()> mConnected = [] {};
  std::function<void(std::string_view)> mReceived = [](std::string_view) {};
  /** Called at most once, when the connection has ended. Receives true if the
   *  peer closed it in an orderly way, false if the connection attempt, a read
   *  or a write failed, for example because the peer reset the connection. */
  std::function<void(bool)> mEnded = [](bool) {};
};

struct TcpStreamOptions
{
  /** Whether one event reads all bytes that have arrived, and the end of the
   *  connection behind them, rather than one buffer. */
  bool mReadsUntilEmpty = false;
  /** Whether bytes that arrived before a write failed are still delivered, and
   *  mEnded says how the peer ended its side. Otherwise a failed write ends the
   *  stream at once. */
  bool mReadsAfterFailedWrite = false;
};

/** One non-blocking TCP connection with a buffer for unsent bytes. */
class TcpStream : public std::enable_shared_from_this<TcpStream>
{
public:
  /** Takes ownership of the descriptor of an accepted connection. */
  static std::shared_ptr<TcpStream> Adopt(EventLoop& aLoop, int aDescriptor);

  /** Starts to connect to "IPv4:port". Calls mEnded(false) on failure. */
  static std::shared_ptr<TcpStream> Connect(EventLoop& aLoop,
                                            const std::string& aAddress);

  TcpStream(EventLoop& aLoop, int aDescriptor, bool aConnecting);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /** Sets the handlers and starts to watch the connection. */
  void Start(TcpStreamHandlers aHandlers, TcpStreamOptions aOptions = {});

  /** Writes as much as the socket accepts now and buffers the rest. */
  void Write(std::string_view aBytes);

  /** Pauses or resumes reading. While reading is paused, an orderly close by
   *  the peer is not detected. */
  void SetReading(bool aReading);

  /** Closes the connection now. No handler is called afterwards. */
  void Close();

  /** Ends the connection once all buffered bytes are written: signals the end
   *  to the peer, then waits until the peer closes the connection and calls
   *  mEnded. Bytes that the peer sends until then are read and discarded,
   *  because closing a socket with unread bytes resets the connection, which
   *  can cost the peer the last bytes. The owner keeps the stream alive until
   *  then, and limits the time. */
  void CloseWhenWritten();

  [[nodiscard]] bool Connected() const { return !mConnecting && !mClosed; }
  /** @return the number of buffered bytes. They stay buffered after a failed
   *    write. */
  [[nodiscard]] std::size_t UnsentBytes() const { return mUnsent.size(); }
  /** @return when the socket last accepted bytes or the end of the stream. */
  [[nodiscard]] Millis LastProgress() const { return mLastProgress; }

private:
  void OnReady(bool aRead, bool aWrite);
  void Read();
  void Flush();
  void OnWriteFailed(int aError);
  void End(bool aOrderly);
  void Watch();

  EventLoop& mLoop;
  int mDescriptor;
  bool mConnecting;
  bool mReading = true;
  bool mClosed = false;
  bool mClosing = false;
  /** Whether the end of the stream was signalled to the peer. */
  bool mEndSent = false;
  /** The error of a failed write; 0 if none has failed. */
  int mWriteError = 0;
  Millis mLastProgress;
  TcpStreamHandlers mHandlers;
  TcpStreamOptions mOptions;
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

  /** @return the bound address as "IPv4:port". */
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
