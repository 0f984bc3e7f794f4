#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <lab/Cluster.h>

namespace papayaway {

/** @return the names of the nodes whose process runs. */
std::vector<std::string> RunningNodes(Cluster& aCluster);

/** Asks all running nodes at the same time.
 *  @return the bodies of the nodes that answered with 200. */
std::map<std::string, std::string> FetchAll(Cluster& aCluster,
                                            const std::string& aPath);

/** @return the value of a metric in Prometheus text, summed over labels. */
double MetricIn(const std::string& aText, const std::string& aName);

/** What nodes have sent and used since their start, summed over nodes. */
struct NodeTotals
{
  double mControlBytesSent = 0;
  double mControlBytesReceived = 0;
  double mRemoteRegionBytes = 0;
  Millis mCpu;
  double mMostResidentBytes = 0;
  Millis mTime;
};

/** Reads the totals of all running nodes. */
NodeTotals ReadTotals(Cluster& aCluster);

/** When a document version came into force at each node. */
struct Convergence
{
  /** Milliseconds from the promotion for each node that applied it. */
  std::vector<double> mTimes;
  /** Running nodes without the version. */
  int mMissing = 0;
  /** The node that applied it last. */
  std::string mLastNode;
};

/** Reads from the timelines when a version came into force. All processes
 *  share one clock; the resolution is 1 ms.
 *  @param aPromoted the wall time of the promotion in ms if its node may be
 *    gone; 0 takes it from the timeline of the node that promoted. */
Convergence ReadConvergence(Cluster& aCluster,
                            std::uint64_t aVersion,
                            std::int64_t aPromoted = 0);

/** The same for several versions, whose figures are joined. */
Convergence ReadConvergence(Cluster& aCluster,
                            const std::vector<std::uint64_t>& aVersions);

/** Runs the loop until every running node has at least this version.
 *  @return whether that came true within aTimeout. */
bool WaitForVersion(Cluster& aCluster, std::uint64_t aVersion, Millis aTimeout);

} // namespace papayaway
