#include <lab/ScriptedServer.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <utility>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <net/Http.h>
#include <net/SocketAddress.h>

namespace papayaway {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeaderEnd = "\r\n\r\n";
/** How often the server checks whether the client has received all bytes. */
constexpr Millis kDeliveryCheckPeriod{ 1 };

/** @return whether the client has acknowledged all bytes sent, and the end of
 *    the stream if that was signalled. */
bool
IsDelivered(int aSocket)
{
  int unacknowledged = 0;
  return ioctl(aSocket, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0;
}

} // namespace

std::string
HeaderField(const std::string& aHeader, const std::string& aName)
{
  std::size_t at = 0;
  while (at < aHeader.size()) {
    const std::size_t end =
      std::min(aHeader.find(kLineEnd, at), aHeader.size());
    const std::string_view line =
      std::string_view(aHeader).substr(at, end - at);
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos &&
        EqualIgnoringCase(line.substr(0, colon), aName)) {
      const std::string_view value = line.substr(colon + 1);
      return std::string(
        value.substr(std::min(value.find_first_not_of(' '), value.size())));
    }
    at = end + kLineEnd.size();
  }
  return {};
}

struct ScriptedServer::Connection
{
  int mSocket = -1;
  std::unique_ptr<IoWatcher> mWatcher;
  std::unique_ptr<Timer> mTimer;
  std::string mInput;
  /** Set from the header of a request until the ending of its response. */
  std::optional<ScriptedResponse> mResponse;
  std::size_t mRequestSize = 0;
  int mRequests = 0;

  ~Connection()
  {
    mWatcher.reset();
    if (mSocket >= 0) {
      close(mSocket);
    }
  }
};

ScriptedServer::ScriptedServer(EventLoop& aLoop,
                               Script aScript,
                               const std::string& aAddress,
                               int aReceiveBuffer)
  : mLoop(aLoop)
  , mScript(std::move(aScript))
{
  const Expected<ListeningSocket> listening = ListenOn(aAddress);
  if (!listening) {
    throw std::runtime_error(listening.error().mMessage);
  }
  mListener = listening->mDescriptor;
  mAddress = listening->mAddress;
  if (aReceiveBuffer > 0) {
    // Accepted sockets inherit the size.
    setsockopt(
      mListener, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof aReceiveBuffer);
  }
  mAcceptor = std::make_unique<IoWatcher>(
    mLoop, mListener, [this](bool, bool) { Accept(); });
  mAcceptor->Watch(true, false);
}

ScriptedServer::~ScriptedServer()
{
  mAcceptor.reset();
  close(mListener);
  for (const auto& [number, connection] : mConnections) {
    // An orderly close would complete a response that has no length.
    const bool isOpen = connection->mSocket >= 0;
    if (isOpen && connection->mResponse &&
        connection->mResponse->mEnding == ScriptedResponse::Ending::Reset) {
      connection->mWatcher.reset();
      Reset(*connection);
    }
  }
}

int
ScriptedServer::Requests(const std::string& aId) const
{
  const auto found = mRequestsById.find(aId);
  return found == mRequestsById.end() ? 0 : found->second;
}

void
ScriptedServer::Accept()
{
  const int socket =
    accept4(mListener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (socket < 0) {
    return;
  }
  auto connection = std::make_unique<Connection>();
  Connection& added = *connection;
  added.mSocket = socket;
  added.mTimer = std::make_unique<Timer>(mLoop, [this, &added] { End(added); });
  added.mWatcher = std::make_unique<IoWatcher>(
    mLoop, socket, [this, &added](bool, bool) { OnReadable(added); });
  added.mWatcher->Watch(true, false);
  mConnections.emplace(mNextConnection++, std::move(connection));
}

void
ScriptedServer::OnReadable(Connection& aConnection)
{
  // Small, so that little of a body is read along with its header.
  std::array<char, 4096> buffer{};
  const ssize_t length =
    recv(aConnection.mSocket, buffer.data(), buffer.size(), 0);
  if (length <= 0) {
    if (length == 0 || (errno != EAGAIN && errno != EINTR)) {
      aConnection.mWatcher->Watch(false, false);
      aConnection.mTimer->Stop();
      close(std::exchange(aConnection.mSocket, -1));
    }
    return;
  }
  aConnection.mInput.append(buffer.data(), static_cast<std::size_t>(length));
  if (!aConnection.mResponse) {
    const std::size_t end = aConnection.mInput.find(kHeaderEnd);
    if (end == std::string::npos) {
      return;
    }
    const std::string header = aConnection.mInput.substr(0, end);
    ++mRequests;
    mMostRequestsOnAConnection =
      std::max(mMostRequestsOnAConnection, ++aConnection.mRequests);
    ++mRequestsById[HeaderField(header, "X-Request-Id")];
    aConnection.mRequestSize =
      end + kHeaderEnd.size() +
      std::strtoull(HeaderField(header, "Content-Length").c_str(), nullptr, 10);
    aConnection.mResponse = mScript(header);
  }
  if (!aConnection.mResponse->mReadsBody ||
      aConnection.mInput.size() >= aConnection.mRequestSize) {
    Respond(aConnection);
  }
}

void
ScriptedServer::Respond(Connection& aConnection)
{
  const ScriptedResponse& response = *aConnection.mResponse;
  // Responses are smaller than the buffers of the socket.
  const ssize_t sent = send(aConnection.mSocket,
                            response.mBytes.data(),
                            response.mBytes.size(),
                            MSG_NOSIGNAL);
  static_cast<void>(sent);
  if (response.mEnding == ScriptedResponse::Ending::KeepOpen) {
    if (response.mReadsBody) {
      aConnection.mInput.erase(0, aConnection.mRequestSize);
      aConnection.mResponse.reset();
    } else {
      aConnection.mWatcher->Watch(false, false);
    }
    return;
  }
  aConnection.mWatcher->Watch(false, false);
  if (response.mTimeToEnding.mCount > 0) {
    aConnection.mTimer->StartOnce(response.mTimeToEnding);
  } else {
    End(aConnection);
  }
}

void
ScriptedServer::End(Connection& aConnection)
{
  using Ending = ScriptedResponse::Ending;
  const Ending ending = aConnection.mResponse->mEnding;
  if (ending != Ending::Reset) {
    shutdown(aConnection.mSocket, SHUT_WR);
  }
  if (ending == Ending::Close) {
    return;
  }
  // A reset discards what has not been received yet.
  if (IsDelivered(aConnection.mSocket)) {
    Reset(aConnection);
  } else {
    aConnection.mTimer->StartOnce(kDeliveryCheckPeriod);
  }
}

void
ScriptedServer::Reset(Connection& aConnection)
{
  // With this option, close() sends a reset in place of the unsent bytes.
  const linger noLinger{ .l_onoff = 1, .l_linger = 0 };
  setsockopt(
    aConnection.mSocket, SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
  close(std::exchange(aConnection.mSocket, -1));
}

} // namespace papayaway
