#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <lab/Cluster.h>

namespace papayaway {

/** @return the names of the nodes whose process is running. */
std::vector<std::string> RunningNodes(Cluster& aCluster);

/** Sends a GET request to the admin address of all running nodes
 *  concurrently.
 *  @return the response bodies by node, of the nodes that answered with 200. */
std::map<std::string, std::string> FetchAll(Cluster& aCluster,
                                            const std::string& aPath);

/** @return the sum of a metric over all its label sets in Prometheus text. */
double SumMetric(const std::string& aText, const std::string& aName);

/** Traffic and resource use of the nodes since their start, summed over the
 *  nodes except for the memory, which is that of the largest node. */
struct NodeTotals
{
  double mControlBytesSent = 0;
  double mControlBytesReceived = 0;
  double mRemoteRegionBytes = 0;
  Millis mCpu;
  double mMaxResidentBytes = 0;
  Millis mTime;
};

/** Reads the totals of all running nodes. */
NodeTotals ReadTotals(Cluster& aCluster);

/** How long nodes took to apply a promoted document version. */
struct Convergence
{
  /** Milliseconds since the promotion, for each node that applied it. */
  std::vector<double> mTimes;
  /** Running nodes without the version. */
  int mMissing = 0;
  /** The node that applied it last. */
  std::string mLastNode;
};

/** Reads from the timelines of the nodes when a version was applied. All
 *  processes share one clock; the resolution is 1 ms.
 *  @param aPromoted the wall-clock time of the promotion in ms, needed if the
 *    promoting node may have ended; 0: read from the timeline of that node. */
Convergence ReadConvergence(Cluster& aCluster,
                            std::uint64_t aVersion,
                            std::int64_t aPromoted = 0);

/** Does the same for several versions and merges the results, without the
 *  last node. */
Convergence ReadConvergence(Cluster& aCluster,
                            const std::vector<std::uint64_t>& aVersions);

/** Runs the event loop until every running node has at least this document
 *  version.
 *  @return whether this happened within aTimeout. */
bool WaitForVersion(Cluster& aCluster, std::uint64_t aVersion, Millis aTimeout);

} // namespace papayaway
