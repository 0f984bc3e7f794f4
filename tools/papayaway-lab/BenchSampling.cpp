#include "BenchSampling.h"

#include <algorithm>
#include <memory>
#include <sstream>

namespace papayaway {

namespace {

using Timelines = std::map<std::string, nlohmann::json>;

Timelines
FetchTimelines(Cluster& aCluster)
{
  Timelines timelines;
  for (const auto& [node, body] : FetchAll(aCluster, "/v1/timeline")) {
    timelines[node] = nlohmann::json::parse(body, nullptr, false)["events"];
  }
  return timelines;
}

/** @return the physical time in ms of the first event of a kind and version,
 *    or 0 if there is none. */
std::int64_t
TimeOf(const nlohmann::json& aEvents,
       const char* aKind,
       const std::string& aVersion)
{
  for (const auto& event : aEvents) {
    if (event["kind"] == aKind && event["version"] == aVersion) {
      return event["physical_ms"].get<std::int64_t>();
    }
  }
  return 0;
}

Convergence
ConvergenceIn(const Timelines& aTimelines,
              std::uint64_t aVersion,
              std::int64_t aPromoted)
{
  const std::string version = std::to_string(aVersion);
  std::int64_t promoted = aPromoted;
  for (const auto& [node, events] : aTimelines) {
    promoted = promoted == 0 ? TimeOf(events, "promotion", version) : promoted;
  }
  Convergence result;
  for (const auto& [node, events] : aTimelines) {
    const std::int64_t applied = TimeOf(events, "document-applied", version);
    if (applied == 0 || promoted == 0) {
      ++result.mMissing;
    } else {
      const auto time = static_cast<double>(applied - promoted);
      if (std::all_of(result.mTimes.begin(),
                      result.mTimes.end(),
                      [&](double aOther) { return aOther <= time; })) {
        result.mLastNode = node;
      }
      result.mTimes.push_back(time);
    }
  }
  return result;
}

} // namespace

std::vector<std::string>
RunningNodes(Cluster& aCluster)
{
  std::vector<std::string> running;
  for (const std::string& node : aCluster.NodeNames()) {
    if (aCluster.NodeProcess(node).IsRunning()) {
      running.push_back(node);
    }
  }
  return running;
}

std::map<std::string, std::string>
FetchAll(Cluster& aCluster, const std::string& aPath)
{
  struct Gathered
  {
    std::map<std::string, std::string> mBodies;
    std::size_t mCallsInFlight = 0;
  };
  const auto gathered = std::make_shared<Gathered>();
  for (const std::string& node : RunningNodes(aCluster)) {
    HttpCall call{ .mAddress = aCluster.NodeProcess(node).Address("admin"),
                   .mRequest = { .mPath = aPath },
                   .mTimeout = Seconds(10) };
    call.mRequest.mHeaders.Add("Authorization",
                               "Bearer " + aCluster.Options().mOperatorToken);
    ++gathered->mCallsInFlight;
    aCluster.Client().Send(
      std::move(call), [gathered, node](const HttpResult& aResult) {
        --gathered->mCallsInFlight;
        if (aResult.mFailure == HttpFailure::None &&
            aResult.mResponse.mStatus == 200) {
          gathered->mBodies[node] = aResult.mResponse.mBody;
        }
      });
  }
  aCluster.WaitUntil([&] { return gathered->mCallsInFlight == 0; });
  return gathered->mBodies;
}

double
SumMetric(const std::string& aText, const std::string& aName)
{
  std::istringstream lines(aText);
  double sum = 0;
  for (std::string line; std::getline(lines, line);) {
    if (line.substr(0, line.find_first_of(" {")) == aName) {
      sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
  }
  return sum;
}

NodeTotals
ReadTotals(Cluster& aCluster)
{
  NodeTotals totals;
  for (const std::string& node : RunningNodes(aCluster)) {
    const ProcessUsage usage = UsageOf(aCluster.NodeProcess(node).Id());
    totals.mCpu += usage.mCpu;
    totals.mMaxResidentBytes = std::max(
      totals.mMaxResidentBytes, static_cast<double>(usage.mResidentBytes));
  }
  totals.mTime = SteadyNow();
  for (const auto& [node, text] : FetchAll(aCluster, "/metrics")) {
    totals.mControlBytesSent +=
      SumMetric(text, "papayaway_control_bytes_sent_total");
    totals.mControlBytesReceived +=
      SumMetric(text, "papayaway_control_bytes_received_total");
    totals.mRemoteRegionBytes +=
      SumMetric(text, "papayaway_remote_region_control_bytes_sent_total");
  }
  return totals;
}

Convergence
ReadConvergence(Cluster& aCluster,
                std::uint64_t aVersion,
                std::int64_t aPromoted)
{
  return ConvergenceIn(FetchTimelines(aCluster), aVersion, aPromoted);
}

Convergence
ReadConvergence(Cluster& aCluster, const std::vector<std::uint64_t>& aVersions)
{
  const Timelines timelines = FetchTimelines(aCluster);
  Convergence joined;
  for (const std::uint64_t version : aVersions) {
    const Convergence one = ConvergenceIn(timelines, version, 0);
    joined.mTimes.insert(
      joined.mTimes.end(), one.mTimes.begin(), one.mTimes.end());
    joined.mMissing += one.mMissing;
  }
  return joined;
}

bool
WaitForVersion(Cluster& aCluster, std::uint64_t aVersion, Millis aTimeout)
{
  const auto holds = [&] {
    const auto texts = FetchAll(aCluster, "/metrics");
    return texts.size() == RunningNodes(aCluster).size() &&
           std::all_of(texts.begin(), texts.end(), [&](const auto& aEntry) {
             return SumMetric(aEntry.second, "papayaway_document_version") >=
                    static_cast<double>(aVersion);
           });
  };
  return aCluster.WaitUntil(holds, aTimeout).has_value();
}

} // namespace papayaway
