#include <net/PeerSocket.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <optional>
#include <string_view>
#include <unordered_map>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <net/Http.h>
#include <net/SocketAddress.h>

#include "WebSocketSession.h"

namespace papayaway {

namespace {

constexpr std::size_t kReadBufferSize = std::size_t{ 64 } << 10;
/** Maximum number of buffers read per event, so that a fast sender does not
 *  delay the other events of the loop. */
constexpr int kMaxReadsPerEvent = 16;
/** Maximum number of accepted connections whose handshake is incomplete. */
constexpr std::size_t kMaxPendingHandshakes = 512;
/** Maximum size of the header of a handshake response. */
constexpr std::size_t kMaxHandshakeBytes = std::size_t{ 16 } << 10;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeaderEnd = "\r\n\r\n";

/** @param aHeader a status line and field lines, without the empty line.
 *  @return whether all field lines have valid field names. */
bool
HasValidFieldLines(std::string_view aHeader)
{
  std::size_t at = aHeader.find(kLineEnd);
  while (at != std::string_view::npos) {
    at += kLineEnd.size();
    const std::size_t end = aHeader.find(kLineEnd, at);
    if (!IsFieldLine(aHeader.substr(at, end - at))) {
      return false;
    }
    at = end;
  }
  return true;
}

void
DisableNagle(int aDescriptor)
{
  const int on = 1;
  setsockopt(aDescriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

struct PeerSocket::Impl : std::enable_shared_from_this<PeerSocket::Impl>
{
  EventLoop& mLoop;
  int mDescriptor;
  PeerSocketOptions mOptions;
  PeerSocketHandlers mHandlers;
  std::unique_ptr<WebSocketSession> mSession;
  std::unique_ptr<IoWatcher> mWatcher;
  std::unique_ptr<Timer> mHandshakeTimer;
  std::string mUnsent;
  /** The peer's response to the handshake of this side, until its header is
   *  complete; nothing once it was checked. */
  std::optional<std::string> mHandshakeResponse;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;
  bool mConnecting = false;
  bool mFlushScheduled = false;
  bool mOpen = false;
  bool mEnded = false;
  /** Whether the stream ends once all messages are written, and whether its end
   *  was signalled. */
  bool mClosing = false;
  bool mEndSent = false;

  Impl(EventLoop& aLoop, int aDescriptor, const PeerSocketOptions& aOptions)
    : mLoop(aLoop)
    , mDescriptor(aDescriptor)
    , mOptions(aOptions)
  {
  }

  ~Impl()
  {
    mWatcher.reset();
    if (mDescriptor >= 0) {
      close(mDescriptor);
    }
  }

  WebSocketHandlers SessionHandlers()
  {
    WebSocketHandlers handlers;
    handlers.mWrite = [this](const char* aData, std::size_t aSize) {
      if (mClosing) {
        return;
      }
      mUnsent.append(aData, aSize);
      ScheduleFlush();
    };
    handlers.mOpened = [this] {
      mOpen = true;
      mHandshakeTimer.reset();
      // Moved out first, because the callback may call SetHandlers(), which
      // would destroy it while it runs.
      const auto opened = std::move(mHandlers.mOpened);
      opened();
    };
    handlers.mMessage = [this](std::string aMessage) {
      if (!mEnded) {
        mHandlers.mMessage(std::move(aMessage));
      }
    };
    handlers.mClosed = [this](std::string aReason) { End(std::move(aReason)); };
    handlers.mAuthorize = [](const std::string&) { return false; };
    return handlers;
  }

  void Start(bool aConnecting)
  {
    mConnecting = aConnecting;
    mWatcher = std::make_unique<IoWatcher>(
      mLoop, mDescriptor, [this](bool aRead, bool aWrite) {
        const std::shared_ptr<Impl> self = shared_from_this();
        OnReady(aRead, aWrite);
      });
    mWatcher->Watch(!aConnecting, aConnecting);
    mHandshakeTimer = std::make_unique<Timer>(
      mLoop, [this] { End("the WebSocket handshake timed out"); });
    mHandshakeTimer->StartOnce(mOptions.mHandshakeTimeout);
  }

  void OnReady(bool aRead, bool aWrite)
  {
    if (mConnecting) {
      int error = 0;
      socklen_t length = sizeof(error);
      getsockopt(mDescriptor, SOL_SOCKET, SO_ERROR, &error, &length);
      if (error != 0) {
        End(std::string("can't connect: ") + std::strerror(error));
        return;
      }
      mConnecting = false;
      mWatcher->Watch(true, false);
      Flush();
      return;
    }
    if (aWrite) {
      Flush();
    }
    if (aRead && !mEnded) {
      Read();
    }
  }

  /** Reads all bytes that have arrived and the end of the connection behind
   *  them, so that the owner learns of both in the same event. */
  void Read()
  {
    static std::array<char, kReadBufferSize> buffer;
    for (int i = 0; i < kMaxReadsPerEvent && !mEnded; ++i) {
      const ssize_t length = recv(mDescriptor, buffer.data(), buffer.size(), 0);
      if (length > 0) {
        mBytesReceived += static_cast<std::uint64_t>(length);
        Receive({ buffer.data(), static_cast<std::size_t>(length) });
        continue;
      }
      if (length == 0) {
        End("the peer closed the connection");
      } else if (errno != EAGAIN && errno != EINTR) {
        End(std::string("can't read: ") + std::strerror(errno));
      }
      return;
    }
  }

  void Receive(std::string_view aBytes)
  {
    if (!mHandshakeResponse) {
      mSession->Receive(aBytes.data(), aBytes.size());
      return;
    }
    mHandshakeResponse->append(aBytes);
    const std::size_t end = mHandshakeResponse->find(kHeaderEnd);
    if (end == std::string::npos) {
      if (mHandshakeResponse->size() > kMaxHandshakeBytes) {
        End("the header of the handshake response is too large");
      }
      return;
    }
    const std::string response = std::move(*mHandshakeResponse);
    mHandshakeResponse.reset();
    // websocketpp removes blanks around field names.
    if (!HasValidFieldLines(std::string_view(response).substr(0, end))) {
      End("the handshake response is malformed");
      return;
    }
    mSession->Receive(response.data(), response.size());
  }

  void ScheduleFlush()
  {
    if (mFlushScheduled || mConnecting || mEnded) {
      return;
    }
    mFlushScheduled = true;
    mLoop.Defer([self = shared_from_this()] {
      self->mFlushScheduled = false;
      self->Flush();
    });
  }

  void Flush()
  {
    if (mEnded || mConnecting) {
      return;
    }
    if (mUnsent.empty()) {
      SignalEnd();
      return;
    }
    const ssize_t length =
      send(mDescriptor, mUnsent.data(), mUnsent.size(), MSG_NOSIGNAL);
    if (length < 0 && errno != EAGAIN && errno != EINTR) {
      End(std::string("can't write: ") + std::strerror(errno));
      return;
    }
    if (length > 0) {
      mBytesSent += static_cast<std::uint64_t>(length);
      mUnsent.erase(0, static_cast<std::size_t>(length));
    }
    if (mUnsent.size() > mOptions.mMaxUnsentBytes) {
      End("the peer reads too slowly");
      return;
    }
    mWatcher->Watch(true, !mUnsent.empty());
    SignalEnd();
  }

  void SignalEnd()
  {
    if (mClosing && !mEndSent && mUnsent.empty()) {
      mEndSent = true;
      shutdown(mDescriptor, SHUT_WR);
    }
  }

  void End(std::string aReason)
  {
    if (mEnded) {
      return;
    }
    mEnded = true;
    mOpen = false;
    mHandshakeTimer.reset();
    if (mWatcher) {
      mWatcher->Watch(false, false);
    }
    // Deferred, because the owner may destroy the socket in mClosed, which must
    // not happen inside a callback of the session.
    mLoop.Defer([self = shared_from_this(), reason = std::move(aReason)] {
      // Empty once the owner has destroyed the socket.
      if (const auto closed = std::move(self->mHandlers.mClosed)) {
        closed(reason);
      }
    });
  }
};

PeerSocket::PeerSocket(std::shared_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

PeerSocket::~PeerSocket()
{
  if (mImpl) {
    mImpl->mHandlers = {};
    // The last message may tell the peer why the connection ends, so it is
    // still written. Bytes that the socket does not accept now are discarded.
    mImpl->Flush();
    mImpl->mEnded = true;
    mImpl->mHandshakeTimer.reset();
    // A callback of the session may be running, so its destruction is
    // deferred; the connection itself is closed now.
    mImpl->mWatcher->Watch(false, false);
    shutdown(mImpl->mDescriptor, SHUT_RDWR);
    mImpl->mLoop.Defer([impl = mImpl] { static_cast<void>(impl); });
  }
}

std::unique_ptr<PeerSocket>
PeerSocket::Connect(EventLoop& aLoop,
                    const std::string& aAddress,
                    const std::string& aAuthorization,
                    PeerSocketHandlers aHandlers,
                    const PeerSocketOptions& aOptions)
{
  const int descriptor =
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  auto impl = std::make_shared<Impl>(aLoop, descriptor, aOptions);
  impl->mHandlers = std::move(aHandlers);
  impl->mConnecting = true;
  impl->mHandshakeResponse.emplace();
  impl->mSession = WebSocketSession::Connect(
    aAddress, aAuthorization, impl->SessionHandlers());
  impl->Start(true);
  const Expected<sockaddr_in> address = ParseAddress(aAddress);
  if (!address) {
    impl->End(address.error().mMessage);
  } else {
    DisableNagle(descriptor);
    if (connect(descriptor,
                reinterpret_cast<const sockaddr*>(&*address),
                sizeof(*address)) != 0 &&
        errno != EINPROGRESS) {
      impl->End(std::string("can't connect: ") + std::strerror(errno));
    }
  }
  return std::unique_ptr<PeerSocket>(new PeerSocket(std::move(impl)));
}

void
PeerSocket::SetHandlers(PeerSocketHandlers aHandlers)
{
  mImpl->mHandlers = std::move(aHandlers);
}

void
PeerSocket::Send(const std::string& aMessage)
{
  if (!mImpl->mEnded) {
    mImpl->mSession->Send(aMessage);
  }
}

void
PeerSocket::CloseWhenWritten()
{
  mImpl->mClosing = true;
  mImpl->ScheduleFlush();
}

std::size_t
PeerSocket::UnsentBytes() const
{
  return mImpl->mUnsent.size();
}

bool
PeerSocket::IsOpen() const
{
  return mImpl->mOpen;
}

std::uint64_t
PeerSocket::BytesSent() const
{
  return mImpl->mBytesSent;
}

std::uint64_t
PeerSocket::BytesReceived() const
{
  return mImpl->mBytesReceived;
}

struct PeerListener::Impl
{
  EventLoop& mLoop;
  PeerListenerHandlers mHandlers;
  int mDescriptor = -1;
  std::string mAddress;
  std::unique_ptr<IoWatcher> mWatcher;
  std::uint64_t mNextId = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<PeerSocket>> mPending;

  Impl(EventLoop& aLoop, PeerListenerHandlers aHandlers)
    : mLoop(aLoop)
    , mHandlers(std::move(aHandlers))
  {
  }

  void Accept()
  {
    const int descriptor =
      accept4(mDescriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
      return;
    }
    if (mPending.size() >= kMaxPendingHandshakes) {
      close(descriptor);
      return;
    }
    DisableNagle(descriptor);
    auto impl = std::make_shared<PeerSocket::Impl>(
      mLoop, descriptor, PeerSocketOptions{});
    const std::uint64_t id = mNextId++;
    impl->mHandlers.mOpened = [this, id] {
      const auto found = mPending.find(id);
      std::unique_ptr<PeerSocket> socket = std::move(found->second);
      mPending.erase(found);
      mHandlers.mAccepted(std::move(socket));
    };
    impl->mHandlers.mClosed = [this, id](const std::string&) {
      mPending.erase(id);
    };
    WebSocketHandlers handlers = impl->SessionHandlers();
    handlers.mAuthorize = mHandlers.mAuthorize;
    impl->mSession = WebSocketSession::Accept(std::move(handlers));
    impl->Start(false);
    mPending.emplace(
      id, std::unique_ptr<PeerSocket>(new PeerSocket(std::move(impl))));
  }
};

PeerListener::PeerListener(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

PeerListener::~PeerListener()
{
  mImpl->mWatcher.reset();
  mImpl->mPending.clear();
  close(mImpl->mDescriptor);
}

Expected<std::unique_ptr<PeerListener>>
PeerListener::Listen(EventLoop& aLoop,
                     const std::string& aAddress,
                     PeerListenerHandlers aHandlers)
{
  Expected<ListeningSocket> listening = ListenOn(aAddress);
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  auto impl = std::make_unique<Impl>(aLoop, std::move(aHandlers));
  impl->mDescriptor = listening->mDescriptor;
  impl->mAddress = listening->mAddress;
  Impl* const raw = impl.get();
  impl->mWatcher = std::make_unique<IoWatcher>(
    aLoop, impl->mDescriptor, [raw](bool, bool) { raw->Accept(); });
  impl->mWatcher->Watch(true, false);
  return std::unique_ptr<PeerListener>(new PeerListener(std::move(impl)));
}

const std::string&
PeerListener::Address() const
{
  return mImpl->mAddress;
}

} // namespace papayaway
