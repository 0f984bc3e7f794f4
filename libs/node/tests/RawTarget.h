#pragma once

#include <map>
#include <optional>
#include <string>

#include <lab/Cluster.h>
#include <net/EventLoop.h>

namespace papayaway {

/** A target that answers every request with the same bytes and closes the
 *  connection. It announces itself to a node. */
class RawTarget
{
public:
  RawTarget(Cluster& aCluster, const std::string& aNode, std::string aAnswer);
  ~RawTarget();
  RawTarget(const RawTarget&) = delete;
  RawTarget& operator=(const RawTarget&) = delete;

  /** Announces the target of aService once, and then every 500 ms. */
  void Announce(const std::string& aService);

  [[nodiscard]] int Requests() const { return mRequests; }

private:
  void Accept();
  void Serve(int aSocket);

  Cluster& mCluster;
  std::string mNode;
  std::string mAnswer;
  std::string mService;
  int mListener = -1;
  std::string mAddress;
  int mRequests = 0;
  std::map<int, IoWatcher> mConnections;
  std::optional<IoWatcher> mAcceptor;
  Timer mAnnouncements;
};

} // namespace papayaway
