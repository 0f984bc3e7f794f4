#pragma once

#include <map>
#include <optional>
#include <string>

#include <lab/Cluster.h>
#include <net/EventLoop.h>

namespace papayaway {

/** A target that answers every request with the same raw bytes, which need not
 *  be valid HTTP, and closes the connection. */
class RawTarget
{
public:
  RawTarget(Cluster& aCluster, const std::string& aNode, std::string aResponse);
  ~RawTarget();
  RawTarget(const RawTarget&) = delete;
  RawTarget& operator=(const RawTarget&) = delete;

  /** Announces the target to the node as one of aService, immediately and
   *  then every 500 ms. */
  void Announce(const std::string& aService);

  /** @return the number of requests received. */
  [[nodiscard]] int Requests() const { return mRequests; }

private:
  void Accept();
  void Serve(int aSocket);

  Cluster& mCluster;
  std::string mNode;
  std::string mResponse;
  std::string mService;
  int mListener = -1;
  std::string mAddress;
  int mRequests = 0;
  std::map<int, IoWatcher> mConnections;
  std::optional<IoWatcher> mAcceptor;
  Timer mAnnouncements;
};

} // namespace papayaway
