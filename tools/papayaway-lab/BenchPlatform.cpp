#include "BenchPlatform.h"

#include <algorithm>
#include <future>
#include <stdexcept>

#include "BenchObjectives.h"
#include "BenchSampling.h"
#include "BenchStatistics.h"

namespace papayaway {

namespace {

constexpr Millis kSamplePeriod{ 100 };
constexpr Millis kPeakWindow = Seconds(1);
constexpr Millis kMassRestartTime = Seconds(8);
constexpr std::size_t kStarterThreads = 16;

std::string
Prefix(int aNodes)
{
  return "platform." + std::to_string(aNodes) + ".";
}

/** Starts every kStarterThreads-th node from its settings file and waits for
 *  aStopRequested. The thread must not end earlier, because the kernel kills
 *  the processes together with the thread that started them.
 *  @return the number of processes that are still running at the end. */
std::size_t
StartNodeSubset(const ClusterOptions& aOptions,
                const std::vector<std::string>& aNames,
                std::size_t aFirst,
                const std::shared_future<void>& aStopRequested)
{
  std::vector<ChildProcess> started;
  for (std::size_t i = aFirst; i < aNames.size(); i += kStarterThreads) {
    const std::string base = aOptions.mWorkFolder + "/" + aNames[i];
    Expected<ChildProcess> process =
      ChildProcess::Start({ .mProgram = aOptions.mPrograms + "/papayaway-node",
                            .mArguments = { "--settings", base + ".ini" },
                            .mLogFile = base + ".herd.log" });
    if (process) {
      started.push_back(std::move(*process));
    }
  }
  aStopRequested.wait();
  const auto running =
    std::count_if(started.begin(), started.end(), [](ChildProcess& aProcess) {
      return aProcess.IsRunning();
    });
  return static_cast<std::size_t>(running);
}

} // namespace

PlatformCounters
ReadPlatformCounters(Cluster& aCluster)
{
  const HttpResult result =
    aCluster.Send({ .mAddress = aCluster.Platform().Address("http"),
                    .mRequest = { .mPath = "/admin/counters" } });
  const auto counters =
    nlohmann::json::parse(result.mResponse.mBody, nullptr, false);
  if (!counters.is_object()) {
    throw std::runtime_error(
      "the platform stand-in returned no valid counters");
  }
  return { counters["reads"].get<double>(),
           counters["writes"].get<double>(),
           SteadyNow() };
}

void
BenchPlatform::ReportIdle(int aNodes,
                          const PlatformCounters& aBefore,
                          const PlatformCounters& aAfter)
{
  const double seconds = (aAfter.mTime - aBefore.mTime).mCount / 1000;
  const double reads = (aAfter.mReads - aBefore.mReads) / seconds;
  const double writes = (aAfter.mWrites - aBefore.mWrites) / seconds;
  mReport.Add(
    { Prefix(aNodes) + "idle_reads_per_node", reads / aNodes, "1/s", {} });
  mReport.Add(
    { Prefix(aNodes) + "idle_writes_per_node", writes / aNodes, "1/s", {} });
  mIdleReads.emplace_back(aNodes, reads);
  mIdleWrites.emplace_back(aNodes, writes);
}

void
BenchPlatform::MeasureMassRestart(Cluster& aCluster, int aNodes)
{
  const std::vector<std::string> names = aCluster.NodeNames();
  for (const std::string& node : names) {
    aCluster.NodeProcess(node).Kill();
  }
  std::vector<PlatformCounters> samples{ ReadPlatformCounters(aCluster) };
  std::promise<void> end;
  const std::shared_future<void> ended = end.get_future().share();
  std::vector<std::future<std::size_t>> starters;
  for (std::size_t i = 0; i < kStarterThreads; ++i) {
    starters.push_back(std::async(std::launch::async, [&, i] {
      return StartNodeSubset(aCluster.Options(), names, i, ended);
    }));
  }
  const Millis deadline = SteadyNow() + kMassRestartTime;
  while (SteadyNow() < deadline) {
    aCluster.RunFor(kSamplePeriod);
    samples.push_back(ReadPlatformCounters(aCluster));
  }
  end.set_value();
  std::size_t running = 0;
  for (auto& starter : starters) {
    running += starter.get();
  }

  double peakReads = 0;
  double peakWrites = 0;
  std::size_t first = 0;
  for (std::size_t last = 1; last < samples.size(); ++last) {
    const PlatformCounters& newest = samples[last];
    while (newest.mTime - samples[first + 1].mTime >= kPeakWindow) {
      ++first;
    }
    // Windows shorter than 1 s, at the start, count as 1 s, so that a short
    // burst does not give an excessive rate.
    const double seconds =
      std::max((newest.mTime - samples[first].mTime) / kPeakWindow, 1.);
    peakReads =
      std::max(peakReads, (newest.mReads - samples[first].mReads) / seconds);
    peakWrites =
      std::max(peakWrites, (newest.mWrites - samples[first].mWrites) / seconds);
  }
  const auto perNode = [&](double PlatformCounters::*aMember) {
    return (samples.back().*aMember - samples.front().*aMember) / aNodes;
  };
  const std::string prefix = Prefix(aNodes) + "herd_";
  mReport.Add({ prefix + "not_running",
                static_cast<double>(names.size() - running),
                "nodes",
                0. });
  mReport.Add({ prefix + "reads_per_node_in_8_s",
                perNode(&PlatformCounters::mReads),
                "reads",
                {} });
  mReport.Add({ prefix + "writes_per_node_in_8_s",
                perNode(&PlatformCounters::mWrites),
                "writes",
                {} });
  mReport.Add({ prefix + "peak_reads", peakReads, "1/s", {} });
  mReport.Add({ prefix + "peak_writes", peakWrites, "1/s", {} });
  mMassRestartReads.emplace_back(aNodes, peakReads);
  mMassRestartWrites.emplace_back(aNodes, peakWrites);
}

void
BenchPlatform::ReportRates(const std::string& aPrefix,
                           const Points& aReads,
                           const Points& aWrites)
{
  if (aReads.size() < 2) {
    return;
  }
  const Line reads = FitLine(aReads);
  const Line writes = FitLine(aWrites);
  const std::string slope = "platform.slope." + aPrefix;
  const std::string planned = "platform.at_900." + aPrefix;
  mReport.Add({ slope + "reads", reads.mSlope, "1/s/node", {} });
  mReport.Add({ slope + "writes", writes.mSlope, "1/s/node", {} });
  mReport.Add({ planned + "reads",
                reads.At(objectives::kNodes),
                "1/s",
                objectives::kMaxPlatformReadsPerSecond });
  mReport.Add({ planned + "writes",
                writes.At(objectives::kNodes),
                "1/s",
                objectives::kMaxPlatformWritesPerSecond });
}

void
BenchPlatform::ReportAtPlannedSize()
{
  ReportRates("idle_", mIdleReads, mIdleWrites);
  ReportRates("herd_peak_", mMassRestartReads, mMassRestartWrites);
}

} // namespace papayaway
