#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <lab/Cluster.h>

#include "BenchObjectives.h"
#include "BenchReport.h"
#include "BenchSampling.h"

namespace papayaway {

/** Measures the resource use and the convergence time of the control plane. */
class BenchControl
{
public:
  explicit BenchControl(BenchReport& aReport)
    : mReport(aReport)
  {
  }

  /** Reports the resource use of an idle cluster between two readings. */
  void ReportIdle(int aNodes,
                  const NodeTotals& aBefore,
                  const NodeTotals& aAfter);

  /** Promotes documents one after the other and reports the convergence time
   *  and the bytes sent per change. ReportIdle() must have been called for the
   *  same size, because idle traffic is subtracted. */
  void MeasureChanges(Cluster& aCluster,
                      int aNodes,
                      nlohmann::json aDocument,
                      std::uint64_t& aVersion);

  /** Measures convergence after failures: kills the relay of a data centre
   *  just before a promotion, then a third of the nodes just after another. */
  void MeasureFailures(Cluster& aCluster,
                       int aNodes,
                       nlohmann::json aDocument,
                       std::uint64_t& aVersion);

  /** Reports the slope of each figure over the number of nodes and its linear
   *  extrapolation to 900 nodes. */
  void ReportSlopes();

private:
  void AddPoint(int aNodes,
                const std::string& aName,
                double aValue,
                const std::string& aUnit,
                std::optional<double> aBound);
  void ReportConvergence(const std::string& aPrefix,
                         const Convergence& aConvergence);

  /** Prints the data centre of the node that converged last; the change may
   *  have waited for a new relay there. */
  void CommentOnLastNode(const Cluster& aCluster,
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
  /** Rates in bytes from the last ReportIdle(), summed over the nodes. */
  double mIdleSentPerSecond = 0;
  double mIdleBothPerSecond = 0;
  double mIdleRemotePerSecond = 0;
};

} // namespace papayaway
