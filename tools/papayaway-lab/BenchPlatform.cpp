#include "BenchPlatform.h"

#include <algorithm>
#include <future>
#include <stdexcept>

#include "BenchSampling.h"
#include "BenchStatistics.h"
#include "BenchTargets.h"

namespace papayaway {

namespace {

constexpr Millis kSamplePeriod{ 100 };
constexpr Millis kPeakWindow = Seconds(1);
constexpr Millis kHerdTime = Seconds(8);
constexpr std::size_t kStarters = 16;

std::string
Prefix(int aNodes)
{
  return "platform." + std::to_string(aNodes) + ".";
}

/** Starts every kStarters-th node from its settings file.
 *  @param aEnd is waited for: the kernel ends the processes with the thread
 *    that started them. */
std::size_t
StartShare(const ClusterOptions& aOptions,
           const std::vector<std::string>& aNames,
           std::size_t aFirst,
           const std::shared_future<void>& aEnd)
{
  std::vector<ChildProcess> started;
  for (std::size_t i = aFirst; i < aNames.size(); i += kStarters) {
    const std::string base = aOptions.mWorkFolder + "/" + aNames[i];
    Expected<ChildProcess> process =
      ChildProcess::Start({ .mProgram = aOptions.mPrograms + "/papayaway-node",
                            .mArguments = { "--settings", base + ".ini" },
                            .mLogFile = base + ".herd.log" });
    if (process) {
      started.push_back(std::move(*process));
    }
  }
  aEnd.wait();
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
    throw std::runtime_error("the platform gives no counters");
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
BenchPlatform::MeasureHerd(Cluster& aCluster, int aNodes)
{
  const std::vector<std::string> names = aCluster.NodeNames();
  for (const std::string& node : names) {
    aCluster.NodeProcess(node).Kill();
  }
  std::vector<PlatformCounters> samples{ ReadPlatformCounters(aCluster) };
  std::promise<void> end;
  const std::shared_future<void> ended = end.get_future().share();
  std::vector<std::future<std::size_t>> starters;
  for (std::size_t i = 0; i < kStarters; ++i) {
    starters.push_back(std::async(std::launch::async, [&, i] {
      return StartShare(aCluster.Options(), names, i, ended);
    }));
  }
  const Millis deadline = SteadyNow() + kHerdTime;
  while (SteadyNow() < deadline) {
    aCluster.RunFor(kSamplePeriod);
    samples.push_back(ReadPlatformCounters(aCluster));
  }
  end.set_value();
  std::size_t running = 0;
  for (auto& starter : starters) {
    running += starter.get();
  }

  double mostReads = 0;
  double mostWrites = 0;
  std::size_t first = 0;
  for (std::size_t last = 1; last < samples.size(); ++last) {
    const PlatformCounters& newest = samples[last];
    while (newest.mTime - samples[first + 1].mTime >= kPeakWindow) {
      ++first;
    }
    // The first second counts as a whole although its windows are shorter.
    const double seconds =
      std::max((newest.mTime - samples[first].mTime) / kPeakWindow, 1.);
    mostReads =
      std::max(mostReads, (newest.mReads - samples[first].mReads) / seconds);
    mostWrites =
      std::max(mostWrites, (newest.mWrites - samples[first].mWrites) / seconds);
  }
  const auto all = [&](double PlatformCounters::*aMember) {
    return (samples.back().*aMember - samples.front().*aMember) / aNodes;
  };
  const std::string prefix = Prefix(aNodes) + "herd_";
  mReport.Add({ prefix + "not_running",
                static_cast<double>(names.size() - running),
                "nodes",
                0. });
  mReport.Add({ prefix + "reads_per_node_in_8_s",
                all(&PlatformCounters::mReads),
                "reads",
                {} });
  mReport.Add({ prefix + "writes_per_node_in_8_s",
                all(&PlatformCounters::mWrites),
                "writes",
                {} });
  mReport.Add({ prefix + "peak_reads", mostReads, "1/s", {} });
  mReport.Add({ prefix + "peak_writes", mostWrites, "1/s", {} });
  mHerdReads.emplace_back(aNodes, mostReads);
  mHerdWrites.emplace_back(aNodes, mostWrites);
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
                reads.At(stated::kNodes),
                "1/s",
                stated::kPlatformReadsPerSecond });
  mReport.Add({ planned + "writes",
                writes.At(stated::kNodes),
                "1/s",
                stated::kPlatformWritesPerSecond });
}

void
BenchPlatform::ReportAtPlannedSize()
{
  ReportRates("idle_", mIdleReads, mIdleWrites);
  ReportRates("herd_peak_", mHerdReads, mHerdWrites);
}

} // namespace papayaway
