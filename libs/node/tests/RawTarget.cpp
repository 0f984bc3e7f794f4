#include "RawTarget.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>

#include <sys/socket.h>
#include <unistd.h>

#include <net/SocketAddress.h>

namespace papayaway {

void
AnnounceTarget(Cluster& aCluster,
               const std::string& aNode,
               const std::string& aService,
               const std::string& aAddress)
{
  const nlohmann::json body{ { "service", aService }, { "version", "v1" },
                             { "address", aAddress }, { "slots", 4 },
                             { "connections", 8 },    { "state", "ready" },
                             { "instance", "raw" } };
  aCluster.Client().Send(
    { .mAddress = aCluster.NodeProcess(aNode).Address("admin"),
      .mRequest = { .mMethod = "POST",
                    .mPath = "/v1/target",
                    .mBody = body.dump() } },
    [](const HttpResult&) {});
}

RawTarget::RawTarget(Cluster& aCluster,
                     const std::string& aNode,
                     std::string aResponse,
                     const std::string& aRepeated)
  : mCluster(aCluster)
  , mNode(aNode)
  , mResponse(std::move(aResponse))
  , mAnnouncements(aCluster.Loop(), [this] { Announce(mService); })
{
  constexpr std::size_t kBlockSize = 65536;
  while (!aRepeated.empty() && mRepeated.size() < kBlockSize) {
    mRepeated += aRepeated;
  }
  mListener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address = *ParseAddress("127.0.0.1:0");
  socklen_t size = sizeof address;
  auto* const raw = reinterpret_cast<sockaddr*>(&address);
  if (mListener < 0 || bind(mListener, raw, size) != 0 ||
      listen(mListener, SOMAXCONN) != 0 ||
      getsockname(mListener, raw, &size) != 0) {
    throw std::runtime_error("can't listen for the raw target");
  }
  mAddress = FormatAddress(address);
  mAcceptor.emplace(
    aCluster.Loop(), mListener, [this](bool, bool) { Accept(); });
  mAcceptor->Watch(true, false);
}

RawTarget::~RawTarget()
{
  mAcceptor.reset();
  for (const auto& [socket, watcher] : mConnections) {
    close(socket);
  }
  close(mListener);
}

void
RawTarget::Announce(const std::string& aService)
{
  mService = aService;
  AnnounceTarget(mCluster, mNode, aService, mAddress);
  mAnnouncements.StartOnce({ 500 });
}

void
RawTarget::Accept()
{
  const int socket =
    accept4(mListener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (socket < 0) {
    return;
  }
  const auto [connection, isNew] = mConnections.try_emplace(
    socket, mCluster.Loop(), socket, [this, socket](bool, bool) {
      Serve(socket);
    });
  connection->second.Watch(true, false);
}

void
RawTarget::Serve(int aSocket)
{
  if (mBytesSent.contains(aSocket)) {
    SendMore(aSocket);
    return;
  }
  std::array<char, 65536> bytes{};
  const ssize_t count = read(aSocket, bytes.data(), bytes.size());
  if (count > 0) {
    ++mRequests;
    const ssize_t written =
      send(aSocket, mResponse.data(), mResponse.size(), MSG_NOSIGNAL);
    static_cast<void>(written);
    if (!mRepeated.empty()) {
      mBytesSent[aSocket] = 0;
      mConnections.at(aSocket).Watch(false, true);
      return;
    }
  }
  Close(aSocket);
}

void
RawTarget::SendMore(int aSocket)
{
  std::size_t& sent = mBytesSent.at(aSocket);
  const std::size_t offset = sent % mRepeated.size();
  const ssize_t count = send(aSocket,
                             mRepeated.data() + offset,
                             mRepeated.size() - offset,
                             MSG_NOSIGNAL | MSG_DONTWAIT);
  if (count > 0) {
    sent += static_cast<std::size_t>(count);
    mMostBytesSent = std::max(mMostBytesSent, sent);
  } else if (count == 0 || errno != EAGAIN) {
    Close(aSocket);
  }
}

void
RawTarget::Close(int aSocket)
{
  mConnections.at(aSocket).Watch(false, false);
  shutdown(aSocket, SHUT_RDWR);
  // The watcher can't be destroyed inside its own callback.
  mCluster.Loop().Defer([this, aSocket] {
    mConnections.erase(aSocket);
    mBytesSent.erase(aSocket);
    close(aSocket);
  });
}

} // namespace papayaway
