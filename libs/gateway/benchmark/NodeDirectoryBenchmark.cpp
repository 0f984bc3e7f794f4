#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include <gateway/LinkTopology.h>

namespace papayaway::gateway {
namespace {

constexpr int kDataCentres = 10;

std::vector<NodeRecord>
Records(std::int64_t aCount)
{
  std::vector<NodeRecord> records;
  for (std::int64_t i = 0; i < aCount; ++i) {
    const auto dataCentre = i % kDataCentres;
    records.push_back(
      { .mNode = "node-" + std::to_string(i),
        .mDataCentre = "dc-" + std::to_string(dataCentre),
        .mRegion = "region-" + std::to_string(dataCentre % 3),
        .mPeerAddress = "10.0.0.1:" + std::to_string(i),
        .mIncarnation = 1,
        .mTarget = TargetInfo{ .mId = "t" + std::to_string(i),
                               .mService = "s" + std::to_string(i % 150),
                               .mState = TargetState::Ready } });
  }
  return records;
}

/** A start of the whole fleet, as one node processes it: per record. */
void
MergeAllRecords(benchmark::State& aState)
{
  const std::vector<NodeRecord> records = Records(aState.range(0));
  for (auto _ : aState) {
    NodeDirectory directory;
    for (const NodeRecord& record : records) {
      directory.Merge(record);
    }
    benchmark::DoNotOptimize(directory.MembershipVersion());
  }
  aState.SetItemsProcessed(aState.iterations() * aState.range(0));
}
BENCHMARK(MergeAllRecords)->Arg(100)->Arg(300)->Arg(900);

/** A change of one target in a fleet of the given size. */
void
MergeChangedTarget(benchmark::State& aState)
{
  NodeDirectory directory;
  std::vector<NodeRecord> records = Records(aState.range(0));
  for (const NodeRecord& record : records) {
    directory.Merge(record);
  }
  LinkTopology topology(
    { .mNode = "node-7", .mDataCentre = "dc-7", .mRegion = "region-1" });
  const auto allReachable = [](const std::string&) { return true; };
  topology.Update(directory, allReachable, Millis{});
  NodeRecord& changed = records[records.size() / 2];
  for (auto _ : aState) {
    ++changed.mSequence;
    directory.Merge(changed);
    benchmark::DoNotOptimize(
      topology.Update(directory, allReachable, Millis{}));
  }
}
BENCHMARK(MergeChangedTarget)->Arg(100)->Arg(300)->Arg(900);

} // namespace
} // namespace papayaway::gateway
