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
/** Nodes without a target save processes. */
constexpr std::size_t kTargets = 12;
constexpr Millis kSettle = Seconds(6);
constexpr Millis kIdle = Seconds(10);

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
      Guard("latency", [&] { BenchLatency(mReport, mOptions.mPrograms); });
    }
    if (Includes("moves")) {
      Guard("moves", [&] { BenchMoves(mReport); });
    }
    mReport.WriteJson(mOptions.mJsonFile);
    return mReport.Over();
  }

private:
  [[nodiscard]] bool Includes(const char* aGroup) const
  {
    return mOptions.mGroups.contains(aGroup);
  }

  /** A group that fails is over its bound, and the others still run. */
  void Guard(const std::string& aName, const std::function<void()>& aGroup)
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
      Guard("cluster." + std::to_string(nodes),
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
    for (std::size_t i = kTargets; i < plans.size(); ++i) {
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
    cluster.RunFor(kSettle);

    const NodeTotals totals = ReadTotals(cluster);
    const PlatformCounters counters = ReadPlatformCounters(cluster);
    cluster.RunFor(kIdle);
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
      mPlatform.MeasureHerd(cluster, aNodes);
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
