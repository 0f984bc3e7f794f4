#include "BenchLatency.h"

#include <array>
#include <cstdio>
#include <memory>
#include <stdexcept>
#include <vector>

#include <lab/Cluster.h>

#include "BenchObjectives.h"
#include "BenchSampling.h"
#include "BenchStatistics.h"
#include "Layouts.h"

namespace papayaway {

namespace {

constexpr int kChainLength = 11;
/** Each round measures the direct calls and the calls through nodes in turn,
 *  so that other load on the host affects all of them equally. */
constexpr int kRounds = 5;
constexpr int kRate = 400;
constexpr int kChainRate = 50;

struct LoadResult
{
  double mP50 = 0;
  double mP99 = 0;
  double mCalls = 0;
  double mFailed = 0;
};

class LatencyBench
{
public:
  LatencyBench(BenchReport& aReport, const std::string& aPrograms)
    : mReport(aReport)
    , mPrograms(aPrograms)
    , mCluster({ .mPrograms = aPrograms })
  {
  }

  void Run()
  {
    StartNodes();
    StartDirectChain();
    MeasureCalls();
    MeasureChains();
    mReport.Add({ "latency.failed_calls", mFailed, "calls", 0. });
  }

private:
  /** Starts nodes whose target i calls service i + 1 through its own node. */
  void StartNodes()
  {
    mCluster.StartPlatform();
    std::vector<NodePlan> plans =
      UniformPlans(kChainLength, 1, 1, kChainLength);
    for (const NodePlan& plan : plans) {
      mCluster.StartNode(plan);
    }
    for (std::size_t i = 0; i < plans.size(); ++i) {
      plans[i].mTargetArguments = {
        "--work-ms",
        "0",
        "--call-next",
        mCluster.NodeProcess(plans[i].mName).Address("caller") + "/read-" +
          std::to_string(i + 1)
      };
      mCluster.StartTarget(plans[i]);
    }
    const auto version = mCluster.Promote(
      mCluster.NodeNames().front(), UniformDocument(1, 1, kChainLength), 0);
    if (!version || !WaitForVersion(mCluster, *version, Seconds(20))) {
      throw std::runtime_error("the document did not come into force");
    }
    // Wait until the weight of the new endpoints, which ramps up over 5 s, is
    // at its maximum.
    mCluster.RunFor(Seconds(6));
  }

  /** Starts a chain of targets that call each other without nodes. */
  void StartDirectChain()
  {
    std::string next;
    for (int i = 0; i < kChainLength; ++i) {
      std::vector<std::string> arguments{ "--listen",  "127.0.0.1:0",
                                          "--service", "direct",
                                          "--slots",   "12",
                                          "--work-ms", "0" };
      if (!next.empty()) {
        arguments.insert(arguments.end(), { "--call-next", next + "/read-0" });
      }
      Expected<ChildProcess> target = ChildProcess::Start(
        { .mProgram = mPrograms + "/papayaway-target",
          .mArguments = arguments,
          .mLogFile = mCluster.Options().mWorkFolder + "/direct-" +
                      std::to_string(i) + ".log" });
      if (!target) {
        throw std::runtime_error(target.error().mMessage);
      }
      mDirectChain.push_back(std::move(*target));
      next = mDirectChain.back().Address("http");
    }
  }

  LoadResult RunLoad(const std::string& aAddress,
                     int aRate,
                     int aSeconds,
                     int aDepth)
  {
    const std::string command =
      "'" + mPrograms + "/papayaway-load' --json --address " + aAddress +
      " --path /read-0 --rate " + std::to_string(aRate) + " --seconds " +
      std::to_string(aSeconds) + " --depth " + std::to_string(aDepth);
    const std::unique_ptr<std::FILE, int (*)(std::FILE*)> output(
      popen(command.c_str(), "r"), pclose);
    if (!output) {
      throw std::runtime_error("can't start papayaway-load");
    }
    std::string text;
    std::array<char, 4096> buffer{};
    while (std::fgets(buffer.data(), buffer.size(), output.get()) != nullptr) {
      text += buffer.data();
    }
    const auto report = nlohmann::json::parse(text, nullptr, false);
    if (!report.is_object()) {
      throw std::runtime_error("papayaway-load printed no valid JSON report");
    }
    const double sent = report["sent"].get<double>();
    const double succeeded = report["latency_ms"]["count"].get<double>();
    mFailed += sent - succeeded + report["wrong_bodies"].get<double>() +
               report["dropped"].get<double>();
    return { report["latency_ms"]["p50"].get<double>(),
             report["latency_ms"]["p99"].get<double>(),
             sent,
             sent - succeeded };
  }

  [[nodiscard]] double CpuSeconds()
  {
    double sum = 0;
    for (const std::string& node : mCluster.NodeNames()) {
      sum += UsageOf(mCluster.NodeProcess(node).Id()).mCpu.mCount / 1000;
    }
    return sum;
  }

  [[nodiscard]] std::string CallerAddress(std::size_t aNode)
  {
    return mCluster.NodeProcess(mCluster.NodeNames()[aNode]).Address("caller");
  }

  struct Series
  {
    std::string mName;
    std::string mAddress;
    std::vector<double> mP50;
    std::vector<double> mP99;
    double mCalls = 0;
    double mCpuSeconds = 0;
  };

  /** Measures the paths in turn, after a warm-up of 1 s each. */
  void Measure(std::vector<Series>& aPaths, int aRate, int aSeconds, int aDepth)
  {
    for (const Series& path : aPaths) {
      RunLoad(path.mAddress, aRate, 1, aDepth);
    }
    for (int round = 0; round < kRounds; ++round) {
      for (Series& path : aPaths) {
        const double before = CpuSeconds();
        const LoadResult result =
          RunLoad(path.mAddress, aRate, aSeconds, aDepth);
        path.mCpuSeconds += CpuSeconds() - before;
        path.mCalls += result.mCalls;
        path.mP50.push_back(result.mP50);
        path.mP99.push_back(result.mP99);
      }
    }
  }

  /** Reports the added latency: the median over the rounds of the difference
   *  to the direct calls of the same round. */
  void ReportAdded(const std::string& aPrefix,
                   const Series& aDirect,
                   const Series& aPath,
                   std::optional<double> aBound)
  {
    std::vector<double> addedP50;
    std::vector<double> addedP99;
    for (std::size_t i = 0; i < aPath.mP50.size(); ++i) {
      addedP50.push_back(aPath.mP50[i] - aDirect.mP50[i]);
      addedP99.push_back(aPath.mP99[i] - aDirect.mP99[i]);
    }
    const std::string prefix = aPrefix + aPath.mName + "_";
    mReport.Add({ prefix + "p50", Quantile(aPath.mP50, 0.5), "ms", {} });
    mReport.Add({ prefix + "p99", Quantile(aPath.mP99, 0.5), "ms", {} });
    mReport.Add({ prefix + "added_p50", Quantile(addedP50, 0.5), "ms", {} });
    mReport.Add(
      { prefix + "added_p99", Quantile(addedP99, 0.5), "ms", aBound });
    // Other load on the host raises the 99th percentile of some rounds.
    mReport.Add({ prefix + "added_p99_quietest_rounds",
                  Quantile(aPath.mP99, 0) - Quantile(aDirect.mP99, 0),
                  "ms",
                  {} });
  }

  void MeasureCalls()
  {
    std::vector<Series> paths{
      { .mName = "direct",
        .mAddress = mCluster.TargetProcess("n0").Address("http") },
      { .mName = "one_hop", .mAddress = CallerAddress(0) },
      { .mName = "two_hops", .mAddress = CallerAddress(1) }
    };
    // The CPU time of idle nodes is measured first, to subtract it below.
    const Millis start = SteadyNow();
    const double before = CpuSeconds();
    mCluster.RunFor(Seconds(4));
    const double idle =
      (CpuSeconds() - before) / ((SteadyNow() - start).mCount / 1000);
    constexpr int kSeconds = 2;
    Measure(paths, kRate, kSeconds, 0);
    const std::string prefix = "latency.call_";
    mReport.Add(
      { prefix + "direct_p50", Quantile(paths[0].mP50, 0.5), "ms", {} });
    mReport.Add(
      { prefix + "direct_p99", Quantile(paths[0].mP99, 0.5), "ms", {} });
    for (std::size_t i = 1; i < paths.size(); ++i) {
      ReportAdded(
        prefix, paths[0], paths[i], objectives::kMaxAddedLatency.mCount);
      const double used = paths[i].mCpuSeconds - idle * kRounds * kSeconds;
      mReport.Add({ prefix + paths[i].mName + "_calls_per_core_second",
                    paths[i].mCalls / used,
                    "1/s",
                    {} });
    }
  }

  void MeasureChains()
  {
    std::vector<Series> paths{
      { .mName = "direct", .mAddress = mDirectChain.back().Address("http") },
      { .mName = "nodes", .mAddress = CallerAddress(0) }
    };
    Measure(paths, kChainRate, 2, kChainLength - 1);
    const std::string prefix = "latency.chain_of_11_";
    mReport.Add(
      { prefix + "direct_p50", Quantile(paths[0].mP50, 0.5), "ms", {} });
    mReport.Add(
      { prefix + "direct_p99", Quantile(paths[0].mP99, 0.5), "ms", {} });
    ReportAdded(prefix, paths[0], paths[1], std::nullopt);
  }

  BenchReport& mReport;
  std::string mPrograms;
  Cluster mCluster;
  std::vector<ChildProcess> mDirectChain;
  double mFailed = 0;
};

} // namespace

void
BenchLatency(BenchReport& aReport, const std::string& aPrograms)
{
  LatencyBench(aReport, aPrograms).Run();
}

} // namespace papayaway
