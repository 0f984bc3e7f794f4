#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <lab/Cluster.h>

#include "BenchReport.h"
#include "BenchSampling.h"
#include "BenchTargets.h"

namespace papayaway {

/** Measures what the control plane takes and how fast it is. */
class BenchControl
{
public:
  explicit BenchControl(BenchReport& aReport)
    : mReport(aReport)
  {
  }

  /** Reports the use of an idle cluster between two readings. */
  void ReportIdle(int aNodes,
                  const NodeTotals& aBefore,
                  const NodeTotals& aAfter);

  /** Promotes documents one after the other and reports convergence and
   *  bytes. It needs ReportIdle() at the same size. */
  void MeasureChanges(Cluster& aCluster,
                      int aNodes,
                      nlohmann::json aDocument,
                      std::uint64_t& aVersion);

  /** Kills the relay of a data centre and promotes at once; then kills a
   *  third of the nodes when a promotion is answered. */
  void MeasureFailures(Cluster& aCluster,
                       int aNodes,
                       nlohmann::json aDocument,
                       std::uint64_t& aVersion);

  /** Reports the growth of the figures with the number of nodes. */
  void ReportSlopes();

private:
  void AddPoint(int aNodes,
                const std::string& aName,
                double aValue,
                const std::string& aUnit,
                std::optional<double> aBound);
  void ReportConvergence(const std::string& aPrefix,
                         const Convergence& aConvergence);

  /** Prints where the last node is; a change may wait for a relay there. */
  void TellLast(const Cluster& aCluster,
                const Convergence& aConvergence,
                const std::string& aFault);

  struct Series
  {
    std::string mUnit;
    std::optional<double> mBound;
    std::vector<std::pair<double, double>> mPoints;
  };

  BenchReport& mReport;
  std::map<std::string, Series> mSeries;
  /** Of the last ReportIdle(), summed over the nodes. */
  double mIdleSentPerSecond = 0;
  double mIdleBothPerSecond = 0;
  double mIdleRemotePerSecond = 0;
};

} // namespace papayaway
