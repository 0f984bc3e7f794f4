#pragma once

#include <utility>
#include <vector>

#include <lab/Cluster.h>

#include "BenchReport.h"

namespace papayaway {

/** Requests that the platform's stand-in has received. */
struct PlatformCounters
{
  double mReads = 0;
  double mWrites = 0;
  Millis mTime;
};

PlatformCounters ReadPlatformCounters(Cluster& aCluster);

/** Measures what the nodes ask of the platform. */
class BenchPlatform
{
public:
  explicit BenchPlatform(BenchReport& aReport)
    : mReport(aReport)
  {
  }

  /** Reports the rates of an idle cluster between two readings. */
  void ReportIdle(int aNodes,
                  const PlatformCounters& aBefore,
                  const PlatformCounters& aAfter);

  /** Kills all nodes and starts them again at the same time. The restarted
   *  processes are not part of the cluster and end with this call. */
  void MeasureHerd(Cluster& aCluster, int aNodes);

  /** Reports the rates of 900 nodes from the slopes over the sizes. */
  void ReportAtPlannedSize();

private:
  using Points = std::vector<std::pair<double, double>>;

  void ReportRates(const std::string& aPrefix,
                   const Points& aReads,
                   const Points& aWrites);

  BenchReport& mReport;
  Points mIdleReads;
  Points mIdleWrites;
  Points mHerdReads;
  Points mHerdWrites;
};

} // namespace papayaway
