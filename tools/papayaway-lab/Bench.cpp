#include "Bench.h"

#include <exception>
#include <functional>

#include "BenchControl.h"
#include "BenchLatency.h"
#include "BenchMoves.h"
#include "BenchPlatform.h"
#include "BenchSampling.h"
#include "Layouts.h"

namespace papayaway {

namespace {

constexpr int kDataCentres = 4;
constexpr int kRegions = 2;
constexpr int kServices = 3;
/** Only the first nodes have a target, which limits the number of processes. */
constexpr std::size_t kNodesWithTarget = 12;
constexpr Millis kSettlingTime = Seconds(6);
constexpr Millis kIdleTime = Seconds(10);

class Bench
{
public:
  explicit Bench(const BenchOptions& aOptions)
    : mOptions(aOptions)
    , mControl(mReport)
    , mPlatform(mReport)
  {
  }

  int Run()
  {
    if (Includes("control") || Includes("platform")) {
      RunSizes();
    }
    if (Includes("latency")) {
      RunCatchingErrors("latency",
                        [&] { BenchLatency(mReport, mOptions.mPrograms); });
    }
    if (Includes("moves")) {
      RunCatchingErrors("moves", [&] { BenchMoves(mReport); });
    }
    mReport.WriteJson(mOptions.mJsonFile);
    return mReport.OverBoundCount();
  }

private:
  [[nodiscard]] bool Includes(const char* aGroup) const
  {
    return mOptions.mGroups.contains(aGroup);
  }

  /** Reports an exception of a group as a measure over its bound, so that the
   *  other groups still run. */
  void RunCatchingErrors(const std::string& aName,
                         const std::function<void()>& aGroup)
  {
    try {
      aGroup();
    } catch (const std::exception& error) {
      mReport.Comment(aName + ": " + error.what());
      mReport.Add({ aName + ".failed", 1, "groups", 0. });
    }
  }

  void RunSizes()
  {
    const int failureSize = mOptions.mSizes[mOptions.mSizes.size() / 2];
    for (const int nodes : mOptions.mSizes) {
      RunCatchingErrors("cluster." + std::to_string(nodes),
                        [&] { RunSize(nodes, nodes == failureSize); });
    }
    if (Includes("control")) {
      mControl.ReportSlopes();
    }
    if (Includes("platform")) {
      mPlatform.ReportAtPlannedSize();
    }
  }

  void RunSize(int aNodes, bool aWithFailures)
  {
    mReport.Comment(std::to_string(aNodes) +
                    " nodes in 4 data centres and 2 regions");
    Cluster cluster({ .mPrograms = mOptions.mPrograms });
    cluster.StartPlatform();
    std::vector<NodePlan> plans =
      UniformPlans(aNodes, kDataCentres, kRegions, kServices);
    for (std::size_t i = kNodesWithTarget; i < plans.size(); ++i) {
      plans[i].mService.clear();
    }
    cluster.StartAll(plans);
    const nlohmann::json document =
      UniformDocument(kDataCentres, kRegions, kServices);
    std::uint64_t version =
      cluster.Promote(cluster.NodeNames().front(), document, 0).value_or(0);
    mReport.Add(
      { "cluster." + std::to_string(aNodes) + ".document_not_in_force",
        WaitForVersion(cluster, version, Seconds(20)) ? 0. : 1.,
        "runs",
        0. });
    cluster.RunFor(kSettlingTime);

    const NodeTotals totals = ReadTotals(cluster);
    const PlatformCounters counters = ReadPlatformCounters(cluster);
    cluster.RunFor(kIdleTime);
    const PlatformCounters countersAfter = ReadPlatformCounters(cluster);
    const NodeTotals totalsAfter = ReadTotals(cluster);
    if (Includes("control")) {
      mControl.ReportIdle(aNodes, totals, totalsAfter);
      mControl.MeasureChanges(cluster, aNodes, document, version);
      if (aWithFailures) {
        mControl.MeasureFailures(cluster, aNodes, document, version);
      }
    }
    if (Includes("platform")) {
      mPlatform.ReportIdle(aNodes, counters, countersAfter);
      mPlatform.MeasureMassRestart(cluster, aNodes);
    }
  }

  const BenchOptions& mOptions;
  BenchReport mReport;
  BenchControl mControl;
  BenchPlatform mPlatform;
};

} // namespace

int
RunBench(const BenchOptions& aOptions)
{
  return Bench(aOptions).Run();
}

} // namespace papayaway
