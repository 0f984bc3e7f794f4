#include <malloc.h>

#include <benchmark/benchmark.h>

#include <mesh/FactStore.h>
#include <mesh/Overlay.h>

namespace papayaway {
namespace {

constexpr int kNodes = 900;

/** @return the facts of 900 nodes in 10 data centres; each node has one
 *    endpoint. */
std::vector<Fact>
MakeFacts(std::uint64_t aSequence)
{
  std::vector<Fact> facts;
  for (int i = 0; i < kNodes; ++i) {
    const std::string dataCentre = "nbo-" + std::to_string(i % 10);
    const std::string node = dataCentre + "-" + std::to_string(i);
    facts.emplace_back(MemberFact{ .mNode = node,
                                   .mDataCentre = dataCentre,
                                   .mRegion = "nairobi",
                                   .mPeerAddress = "10.1.2.3:7003",
                                   .mAdminAddress = "10.1.2.3:7002",
                                   .mIncarnation = 1796400000000 });
    facts.emplace_back(EndpointFact{ .mNode = node,
                                     .mDataCentre = dataCentre,
                                     .mRegion = "nairobi",
                                     .mService = "hammer",
                                     .mVersion = "v1",
                                     .mState = EndpointState::Ready,
                                     .mSlots = 12,
                                     .mIncarnation = 1796400000000,
                                     .mSequence = aSequence });
  }
  return facts;
}

FactStore
MakeStore()
{
  FactStore store;
  for (const Fact& fact : MakeFacts(1)) {
    store.Merge(fact);
  }
  return store;
}

void
MergeNewer(benchmark::State& aState)
{
  FactStore store = MakeStore();
  std::uint64_t sequence = 1;
  std::vector<Fact> facts = MakeFacts(sequence);
  std::size_t next = 1;
  for (auto _ : aState) {
    auto& endpoint = std::get<EndpointFact>(facts[next]);
    endpoint.mSequence = ++sequence;
    benchmark::DoNotOptimize(store.Merge(facts[next]));
    next = (next + 2) % facts.size();
  }
}
BENCHMARK(MergeNewer);

void
MergeKnown(benchmark::State& aState)
{
  FactStore store = MakeStore();
  const std::vector<Fact> facts = MakeFacts(1);
  std::size_t next = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(store.Merge(facts[next]));
    next = (next + 1) % facts.size();
  }
}
BENCHMARK(MergeKnown);

void
CompareDigests(benchmark::State& aState)
{
  const FactStore store = MakeStore();
  BucketDigests other = store.Digests();
  other[7] += 1;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(store.DifferingBuckets(other));
  }
}
BENCHMARK(CompareDigests);

void
CollectOneBucket(benchmark::State& aState)
{
  const FactStore store = MakeStore();
  std::size_t facts = 0;
  for (auto _ : aState) {
    facts = store.FactsInBuckets({ 7 }).size();
    benchmark::DoNotOptimize(facts);
  }
  aState.counters["facts"] = static_cast<double>(facts);
}
BENCHMARK(CollectOneBucket);

void
ExpireNothing(benchmark::State& aState)
{
  FactStore store = MakeStore();
  for (auto _ : aState) {
    store.Expire(Seconds(1));
  }
}
BENCHMARK(ExpireNothing);

void
ChooseLinks(benchmark::State& aState)
{
  const FactStore store = MakeStore();
  for (auto _ : aState) {
    benchmark::DoNotOptimize(RingPeers("nbo-0-0", LiveMembers(store, "nbo-0")));
  }
}
BENCHMARK(ChooseLinks);

/** Fills a store and reports its heap memory per fact. */
void
MemoryPerFact(benchmark::State& aState)
{
  const std::vector<Fact> facts = MakeFacts(1);
  double bytes = 0;
  for (auto _ : aState) {
    const std::size_t before = mallinfo2().uordblks;
    FactStore store;
    for (const Fact& fact : facts) {
      store.Merge(fact);
    }
    bytes = static_cast<double>(mallinfo2().uordblks - before);
  }
  aState.counters["bytes_per_fact"] = bytes / static_cast<double>(facts.size());
}
BENCHMARK(MemoryPerFact)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace papayaway
