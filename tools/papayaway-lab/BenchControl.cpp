#include "BenchControl.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>

#include "BenchStatistics.h"

namespace papayaway {

namespace {

constexpr int kChanges = 10;
constexpr Millis kChangeInterval = Seconds(1);
constexpr Millis kConvergenceTimeout = Seconds(20);

/** Changes a value of the document, so that every node has to apply it. */
void
ChangeRouteDeadline(nlohmann::json& aDocument)
{
  auto& deadline = aDocument["routes"][0]["deadline_ms"];
  deadline = deadline.get<int>() + 1;
}

std::string
Prefix(int aNodes)
{
  return "control." + std::to_string(aNodes) + ".";
}

double
BytesSentAndReceived(const NodeTotals& aTotals)
{
  return aTotals.mControlBytesSent + aTotals.mControlBytesReceived;
}

} // namespace

void
BenchControl::AddPoint(int aNodes,
                       const std::string& aName,
                       double aValue,
                       const std::string& aUnit,
                       std::optional<double> aBound)
{
  mReport.Add({ Prefix(aNodes) + aName, aValue, aUnit, aBound });
  Series& series = mSeries[aName];
  series.mUnit = aUnit;
  series.mBound = aBound;
  series.mPoints.emplace_back(aNodes, aValue);
}

void
BenchControl::ReportIdle(int aNodes,
                         const NodeTotals& aBefore,
                         const NodeTotals& aAfter)
{
  const double seconds = (aAfter.mTime - aBefore.mTime).mCount / 1000;
  const double nodes = aNodes;
  mIdleSentPerSecond =
    (aAfter.mControlBytesSent - aBefore.mControlBytesSent) / seconds;
  mIdleBothPerSecond =
    (BytesSentAndReceived(aAfter) - BytesSentAndReceived(aBefore)) / seconds;
  mIdleRemotePerSecond =
    (aAfter.mRemoteRegionBytes - aBefore.mRemoteRegionBytes) / seconds;
  AddPoint(aNodes,
           "idle_bytes_sent_per_node",
           mIdleSentPerSecond / nodes,
           "B/s",
           std::nullopt);
  AddPoint(aNodes,
           "idle_bytes_sent_and_received_per_node",
           mIdleBothPerSecond / nodes,
           "B/s",
           objectives::kMaxNetworkBytesPerSecond);
  AddPoint(aNodes,
           "idle_bytes_to_other_regions",
           mIdleRemotePerSecond,
           "B/s",
           std::nullopt);
  AddPoint(aNodes,
           "idle_core_per_node",
           (aAfter.mCpu - aBefore.mCpu).mCount / 10 / seconds / nodes,
           "%",
           objectives::kMaxCpuPercentOfCore);
  AddPoint(aNodes,
           "resident_memory_largest",
           aAfter.mMaxResidentBytes,
           "B",
           objectives::kMaxResidentBytes);
}

void
BenchControl::ReportConvergence(const std::string& aPrefix,
                                const Convergence& aConvergence)
{
  const std::vector<double>& times = aConvergence.mTimes;
  mReport.Add({ aPrefix + "median", Quantile(times, 0.5), "ms", {} });
  mReport.Add({ aPrefix + "p99", Quantile(times, 0.99), "ms", {} });
  mReport.Add({ aPrefix + "last",
                Quantile(times, 1),
                "ms",
                objectives::kMaxConvergenceTime.mCount });
  mReport.Add({ aPrefix + "missing",
                static_cast<double>(aConvergence.mMissing),
                "nodes",
                0. });
}

void
BenchControl::CommentOnLastNode(const Cluster& aCluster,
                                const Convergence& aConvergence,
                                const std::string& aFault)
{
  if (!aConvergence.mLastNode.empty()) {
    mReport.Comment(aFault + "; the last node is in " +
                    aCluster.Plan(aConvergence.mLastNode).mDataCentre);
  }
}

void
BenchControl::MeasureChanges(Cluster& aCluster,
                             int aNodes,
                             nlohmann::json aDocument,
                             std::uint64_t& aVersion)
{
  const std::vector<std::string> nodes = RunningNodes(aCluster);
  const NodeTotals before = ReadTotals(aCluster);
  std::vector<std::uint64_t> versions;
  for (int i = 0; i < kChanges; ++i) {
    ChangeRouteDeadline(aDocument);
    // 7 is coprime to the 4 data centres, so the promotions start in all of
    // them.
    const std::string& node =
      nodes[static_cast<std::size_t>(i) * 7 % nodes.size()];
    const auto version = aCluster.Promote(node, aDocument, aVersion);
    if (!version) {
      throw std::runtime_error("the promotion through " + node +
                               " was not accepted");
    }
    aVersion = *version;
    versions.push_back(aVersion);
    aCluster.RunFor(kChangeInterval);
  }
  WaitForVersion(aCluster, aVersion, kConvergenceTimeout);
  const NodeTotals after = ReadTotals(aCluster);
  ReportConvergence(Prefix(aNodes) + "convergence_",
                    ReadConvergence(aCluster, versions));

  const double seconds = (after.mTime - before.mTime).mCount / 1000;
  const auto perChange = [&](double aBytes, double aIdlePerSecond) {
    return (aBytes - aIdlePerSecond * seconds) / kChanges;
  };
  const double both =
    perChange(BytesSentAndReceived(after) - BytesSentAndReceived(before),
              mIdleBothPerSecond) /
    aNodes;
  AddPoint(aNodes,
           "change_bytes_sent_per_node",
           perChange(after.mControlBytesSent - before.mControlBytesSent,
                     mIdleSentPerSecond) /
             aNodes,
           "B",
           std::nullopt);
  AddPoint(aNodes,
           "change_bytes_to_other_regions",
           perChange(after.mRemoteRegionBytes - before.mRemoteRegionBytes,
                     mIdleRemotePerSecond),
           "B",
           std::nullopt);
  AddPoint(aNodes,
           "bytes_per_node_at_4700_changes_a_day",
           mIdleBothPerSecond / aNodes + both * objectives::kChangesPerSecond,
           "B/s",
           objectives::kMaxNetworkBytesPerSecond);
}

void
BenchControl::MeasureFailures(Cluster& aCluster,
                              int aNodes,
                              nlohmann::json aDocument,
                              std::uint64_t& aVersion)
{
  const std::vector<std::string> nodes = RunningNodes(aCluster);
  // UniformPlans() places node i in data centre i modulo 4. dc-1 is in another
  // region than the promoting node, so the change has to pass through the
  // relay of dc-1.
  const std::string& promoter = nodes.front();
  const auto [status, body] = aCluster.Admin(promoter, "GET", "/v1/status");
  const std::string relay = body["relay"].value("dc-1", "");
  if (relay.empty()) {
    throw std::runtime_error("no relay of dc-1 is known");
  }
  aDocument["routes"][0]["deadline_ms"] = 2000;
  aCluster.NodeProcess(relay).Kill();
  auto version = aCluster.Promote(promoter, aDocument, aVersion);
  if (!version) {
    throw std::runtime_error("the promotion after the kill failed");
  }
  aVersion = *version;
  WaitForVersion(aCluster, aVersion, kConvergenceTimeout);
  const Convergence others = ReadConvergence(aCluster, aVersion);
  CommentOnLastNode(aCluster, others, "relay of dc-1 killed");
  ReportConvergence(Prefix(aNodes) + "convergence_relay_killed_", others);

  ChangeRouteDeadline(aDocument);
  const auto [httpStatus, state] =
    aCluster.Admin(promoter, "GET", "/v1/status");
  const std::vector<std::string> running = RunningNodes(aCluster);
  version = aCluster.Promote(promoter, aDocument, aVersion);
  const std::int64_t promoted = WallNow().WholeMillis();
  for (std::size_t i = 1; i < running.size(); i += 3) {
    aCluster.NodeProcess(running[i]).Signal(SIGKILL);
  }
  std::string killedRelays;
  for (std::size_t i = 1; i < running.size(); i += 3) {
    aCluster.NodeProcess(running[i]).Kill();
    for (const auto& [dataCentre, node] : state["relay"].items()) {
      killedRelays += node == running[i] ? " " + dataCentre : "";
    }
  }
  if (!version) {
    throw std::runtime_error("the promotion before the kills failed");
  }
  aVersion = *version;
  WaitForVersion(aCluster, aVersion, kConvergenceTimeout);
  Convergence survivors = ReadConvergence(aCluster, aVersion, promoted);
  // A node may apply the document before this process has read the response,
  // which would give a negative time.
  for (double& time : survivors.mTimes) {
    time = std::max(time, 0.);
  }
  CommentOnLastNode(aCluster, survivors, "killed relays of" + killedRelays);
  ReportConvergence(Prefix(aNodes) + "convergence_third_killed_", survivors);
}

void
BenchControl::ReportSlopes()
{
  for (const auto& [name, series] : mSeries) {
    if (series.mPoints.size() < 2) {
      continue;
    }
    const Line line = FitLine(series.mPoints);
    mReport.Add({ "control.slope." + name,
                  line.mSlope,
                  series.mUnit + "/node",
                  std::nullopt });
    mReport.Add({ "control.at_900." + name,
                  line.At(objectives::kNodes),
                  series.mUnit,
                  series.mBound });
  }
}

} // namespace papayaway
