#pragma once

#include <map>
#include <optional>
#include <string>

#include <lab/Cluster.h>
#include <net/EventLoop.h>

namespace papayaway {

/** Announces a target with this address to a node. */
void AnnounceTarget(Cluster& aCluster,
                    const std::string& aNode,
                    const std::string& aService,
                    const std::string& aAddress);

/** A target that answers every request with the same raw bytes, which need not
 *  be valid HTTP, and closes the connection or sends without end. */
class RawTarget
{
public:
  /** @param aRepeated is sent again and again after aResponse until the node
   *    closes the connection; if empty, the target closes it. */
  RawTarget(Cluster& aCluster,
            const std::string& aNode,
            std::string aResponse,
            const std::string& aRepeated = "");
  ~RawTarget();
  RawTarget(const RawTarget&) = delete;
  RawTarget& operator=(const RawTarget&) = delete;

  /** Announces the target to the node as one of aService, immediately and
   *  then every 500 ms. */
  void Announce(const std::string& aService);

  /** @return the number of requests received. */
  [[nodiscard]] int Requests() const { return mRequests; }

  /** @return the greatest number of bytes sent on one connection. */
  [[nodiscard]] std::size_t MostBytesSent() const { return mMostBytesSent; }

  /** @return the number of connections that the node has not closed. */
  [[nodiscard]] std::size_t OpenConnections() const
  {
    return mConnections.size();
  }

private:
  void Accept();
  void Serve(int aSocket);
  void SendMore(int aSocket);
  void Close(int aSocket);

  Cluster& mCluster;
  std::string mNode;
  std::string mResponse;
  /** A block of repetitions; empty if the target closes the connection. */
  std::string mRepeated;
  /** The number of bytes of repetitions sent, by connection. */
  std::map<int, std::size_t> mBytesSent;
  std::size_t mMostBytesSent = 0;
  std::string mService;
  int mListener = -1;
  std::string mAddress;
  int mRequests = 0;
  std::map<int, IoWatcher> mConnections;
  std::optional<IoWatcher> mAcceptor;
  Timer mAnnouncements;
};

} // namespace papayaway
