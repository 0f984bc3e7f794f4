#pragma once

#include <utility>
#include <vector>

#include <lab/Cluster.h>

#include "BenchReport.h"

namespace papayaway {

/** The number of requests that the platform stand-in has received. */
struct PlatformCounters
{
  double mReads = 0;
  double mWrites = 0;
  Millis mTime;
};

PlatformCounters ReadPlatformCounters(Cluster& aCluster);

/** Measures the rate of requests from the nodes to the platform. */
class BenchPlatform
{
public:
  explicit BenchPlatform(BenchReport& aReport)
    : mReport(aReport)
  {
  }

  /** Reports the request rates of an idle cluster between two readings. */
  void ReportIdle(int aNodes,
                  const PlatformCounters& aBefore,
                  const PlatformCounters& aAfter);

  /** Measures the peak request rates when all nodes are killed and restarted
   *  at the same time. The restarted processes are not part of aCluster and
   *  end before this function returns. */
  void MeasureMassRestart(Cluster& aCluster, int aNodes);

  /** Extrapolates the request rates linearly to 900 nodes and reports them. */
  void ReportAtPlannedSize();

private:
  using Points = std::vector<std::pair<double, double>>;

  void ReportRates(const std::string& aPrefix,
                   const Points& aReads,
                   const Points& aWrites);

  BenchReport& mReport;
  Points mIdleReads;
  Points mIdleWrites;
  Points mMassRestartReads;
  Points mMassRestartWrites;
};

} // namespace papayaway
