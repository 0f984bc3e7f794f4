#include <benchmark/benchmark.h>

#include <string>

#include <gateway/UsageCap.h>

namespace papayaway::gateway {
namespace {

/** A decision at a node that knows the given number of tenants and has tokens
 *  for the tenant of the request. */
void
AdmitFromStock(benchmark::State& aState)
{
  std::map<std::string, CapTerms> terms;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    terms["tenant-" + std::to_string(i)] = MakeCapTerms(20, 10, {});
  }
  UsageCap cap;
  cap.SetTerms(terms);
  const std::string tenant = "tenant-7";
  cap.OnGrant(tenant, 1'000'000'000, 1'000'000'000, Millis{ 1e9 }, {}, {});
  Millis now;
  for (auto _ : aState) {
    now += Millis{ 1 };
    benchmark::DoNotOptimize(cap.Admit(tenant, 1, now + Millis{ 50 }, now));
  }
}
BENCHMARK(AdmitFromStock)->Arg(84)->Arg(10'000);

/** The periodic check of which tokens to request, with no demand. */
void
FindWantedTokens(benchmark::State& aState)
{
  std::map<std::string, CapTerms> terms;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    terms["tenant-" + std::to_string(i)] = MakeCapTerms(20, 10, {});
  }
  UsageCap cap;
  cap.SetTerms(terms);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(cap.Wanted(Millis{ 100 }));
  }
}
BENCHMARK(FindWantedTokens)->Arg(84)->Arg(10'000);

} // namespace
} // namespace papayaway::gateway
