#include <benchmark/benchmark.h>

#include <vector>

#include <gateway/TargetChoice.h>

namespace papayaway::gateway {
namespace {

/** A choice among the given number of targets of one service in 4 data
 *  centres, in the way of older deployments (0) or spread (1). */
void
ChooseAmongTargets(benchmark::State& aState)
{
  Random random(7);
  std::vector<TargetCandidate> candidates;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    candidates.push_back(
      { .mNode = "node",
        .mDistance = i % 4 == 0   ? Distance::SameDataCentre
                     : i % 4 == 1 ? Distance::SameRegion
                                  : Distance::OtherRegion,
        .mLoad = { .mSlots = 6,
                   .mRunning = static_cast<int>(UniformBelow(random, 7)),
                   .mSlowdown = i % 7 == 0 ? 2.5 : 1 },
        .mReportAge{ UniformFraction(random) * 1000 } });
  }
  const RequestRequirements requirements{ .mObjectiveLeft{ 500 },
                                          .mSpread = aState.range(1) != 0 };
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      ChooseTarget(candidates, requirements, {}, random));
  }
}
BENCHMARK(ChooseAmongTargets)->ArgsProduct({ { 90, 900 }, { 0, 1 } });

} // namespace
} // namespace papayaway::gateway
