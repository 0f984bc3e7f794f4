#include <http/TcpStream.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <net/SocketAddress.h>

namespace papayaway {

namespace {

constexpr std::size_t kReadBufferSize = std::size_t{ 64 } << 10;
/** Maximum number of buffers read per event, so that a fast sender does not
 *  delay the other events of the loop. */
constexpr int kMaxReadsPerEvent = 16;
/** Maximum number of connections accepted per event, so that a burst of them
 *  does not delay the other events of the loop. */
constexpr int kMaxAcceptsPerEvent = 32;
/** Value of TCP_USER_TIMEOUT: a connection is closed if sent bytes stay
 *  unacknowledged for this long. Without it, a connection to a peer behind a
 *  network partition would stay open for minutes. */
constexpr unsigned int kUserTimeoutMs = 6000;

void
Configure(int aDescriptor)
{
  const int on = 1;
  setsockopt(aDescriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(aDescriptor,
             IPPROTO_TCP,
             TCP_USER_TIMEOUT,
             &kUserTimeoutMs,
             sizeof(kUserTimeoutMs));
}

} // namespace

std::shared_ptr<TcpStream>
TcpStream::Adopt(EventLoop& aLoop, int aDescriptor)
{
  Configure(aDescriptor);
  return std::make_shared<TcpStream>(aLoop, aDescriptor, false);
}

std::shared_ptr<TcpStream>
TcpStream::Connect(EventLoop& aLoop, const std::string& aAddress)
{
  const int descriptor =
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  auto stream = std::make_shared<TcpStream>(aLoop, descriptor, true);
  const Expected<sockaddr_in> address = ParseAddress(aAddress);
  bool started = descriptor >= 0 && address.has_value();
  if (started) {
    Configure(descriptor);
    started = connect(descriptor,
                      reinterpret_cast<const sockaddr*>(&*address),
                      sizeof(*address)) == 0 ||
              errno == EINPROGRESS;
  }
  if (!started) {
    aLoop.Defer([stream] { stream->End(false); });
  }
  return stream;
}

TcpStream::TcpStream(EventLoop& aLoop, int aDescriptor, bool aConnecting)
  : mLoop(aLoop)
  , mDescriptor(aDescriptor)
  , mConnecting(aConnecting)
{
}

TcpStream::~TcpStream()
{
  mWatcher.reset();
  if (mDescriptor >= 0) {
    close(mDescriptor);
  }
}

void
TcpStream::Start(TcpStreamHandlers aHandlers, TcpStreamOptions aOptions)
{
  mHandlers = std::move(aHandlers);
  mOptions = aOptions;
  if (mDescriptor < 0) {
    return;
  }
  mWatcher = std::make_unique<IoWatcher>(
    mLoop, mDescriptor, [this](bool aRead, bool aWrite) {
      const std::shared_ptr<TcpStream> self = shared_from_this();
      OnReady(aRead, aWrite);
    });
  Watch();
}

void
TcpStream::Watch()
{
  if (mWatcher && !mClosed) {
    const bool hasUnsent = !mUnsent.empty() && mWriteError == 0;
    mWatcher->Watch(!mConnecting && (mReading || mClosing),
                    mConnecting || hasUnsent);
  }
}

void
TcpStream::OnReady(bool aRead, bool aWrite)
{
  if (mConnecting) {
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(mDescriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
      End(false);
      return;
    }
    mConnecting = false;
    mHandlers.mConnected();
    Flush();
    return;
  }
  if (aWrite) {
    Flush();
  }
  if (aRead && !mClosed) {
    Read();
  }
}

void
TcpStream::Read()
{
  static std::array<char, kReadBufferSize> buffer;
  const int maxReads = mOptions.mReadsUntilEmpty ? kMaxReadsPerEvent : 1;
  for (int i = 0; i < maxReads && !mClosed && (mReading || mClosing); ++i) {
    const ssize_t length = recv(mDescriptor, buffer.data(), buffer.size(), 0);
    if (length <= 0) {
      if (length == 0) {
        // A socket reports its error once. If send() has already returned it,
        // recv() returns 0 behind the last byte of a reset connection too.
        // EPIPE means that the end of the stream had arrived before the reset.
        End(mWriteError == 0 || mWriteError == EPIPE);
      } else if (errno != EAGAIN && errno != EINTR) {
        End(false);
      }
      return;
    }
    if (!mClosing) {
      mHandlers.mReceived({ buffer.data(), static_cast<std::size_t>(length) });
    }
  }
}

void
TcpStream::Write(std::string_view aBytes)
{
  if (mClosed || mClosing || mWriteError != 0) {
    return;
  }
  mUnsent.append(aBytes);
  if (!mConnecting) {
    Flush();
  }
}

void
TcpStream::Flush()
{
  if (mClosed || mWriteError != 0) {
    return;
  }
  if (!mUnsent.empty()) {
    const ssize_t length =
      send(mDescriptor, mUnsent.data(), mUnsent.size(), MSG_NOSIGNAL);
    if (length < 0 && errno != EAGAIN && errno != EINTR) {
      OnWriteFailed(errno);
      return;
    }
    if (length > 0) {
      mLastProgress = SteadyNow();
      mUnsent.erase(0, static_cast<std::size_t>(length));
    }
  }
  if (mClosing && mUnsent.empty() && !mEndSent) {
    mEndSent = true;
    mLastProgress = SteadyNow();
    shutdown(mDescriptor, SHUT_WR);
  }
  Watch();
}

void
TcpStream::OnWriteFailed(int aError)
{
  mWriteError = aError;
  if (mOptions.mReadsAfterFailedWrite && mReading) {
    Watch();
    return;
  }
  // Deferred, because the owner may not expect mEnded to be called from within
  // its own call of Write().
  mLoop.Defer([self = shared_from_this()] { self->End(false); });
}

void
TcpStream::SetReading(bool aReading)
{
  if (mReading != aReading) {
    mReading = aReading;
    Watch();
  }
}

void
TcpStream::End(bool aOrderly)
{
  if (mClosed) {
    return;
  }
  const auto ended = std::move(mHandlers.mEnded);
  Close();
  if (ended) {
    ended(aOrderly);
  }
}

void
TcpStream::Close()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  if (mWatcher) {
    mWatcher->Watch(false, false);
  }
  if (mDescriptor >= 0) {
    close(mDescriptor);
    mDescriptor = -1;
  }
  // One of the handlers may be running, so their destruction is deferred.
  mLoop.Defer([self = shared_from_this()] { self->mHandlers = {}; });
}

void
TcpStream::CloseWhenWritten()
{
  if (mClosed || mClosing) {
    return;
  }
  mClosing = true;
  mLastProgress = SteadyNow();
  if (!mConnecting) {
    Flush();
  }
}

TcpListener::TcpListener(
  EventLoop& aLoop,
  int aDescriptor,
  std::string aAddress,
  std::function<void(std::shared_ptr<TcpStream>)> aAccepted)
  : mLoop(aLoop)
  , mDescriptor(aDescriptor)
  , mAddress(std::move(aAddress))
  , mAccepted(std::move(aAccepted))
  , mWatcher(std::make_unique<IoWatcher>(aLoop,
                                         aDescriptor,
                                         [this](bool, bool) { Accept(); }))
{
  mWatcher->Watch(true, false);
}

TcpListener::~TcpListener()
{
  mWatcher.reset();
  close(mDescriptor);
}

Expected<std::unique_ptr<TcpListener>>
TcpListener::Listen(EventLoop& aLoop,
                    const std::string& aAddress,
                    std::function<void(std::shared_ptr<TcpStream>)> aAccepted)
{
  Expected<ListeningSocket> listening = ListenOn(aAddress);
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  return std::make_unique<TcpListener>(
    aLoop, listening->mDescriptor, listening->mAddress, std::move(aAccepted));
}

void
TcpListener::Accept()
{
  for (int i = 0; i < kMaxAcceptsPerEvent; ++i) {
    const int descriptor =
      accept4(mDescriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
      return;
    }
    mAccepted(TcpStream::Adopt(mLoop, descriptor));
  }
}

} // namespace papayaway
