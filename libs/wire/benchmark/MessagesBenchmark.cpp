#include <benchmark/benchmark.h>

#include <wire/Messages.h>

namespace papayaway {
namespace {

Message
TypicalCall(std::int64_t aBody)
{
  return Call{ .mId = 123456,
               .mService = "hammer",
               .mVersion = "v1",
               .mRoute = "/bids",
               .mMethod = "POST",
               .mPath = "/bids/48121",
               .mHeaders = { { "Content-Type", "application/json" },
                             { "Papayaway-Customer", "customer-1" },
                             { "Accept", "*/*" } },
               .mBody = std::string(static_cast<std::size_t>(aBody), 'x'),
               .mKey = "0123456789abcdef",
               .mTimeLeft = Millis{ 800 } };
}

Message
TypicalFacts(std::int64_t aCount)
{
  Facts facts;
  for (std::int64_t i = 0; i < aCount; ++i) {
    facts.mFacts.emplace_back(MemberFact{ .mNode = "nbo-1-" + std::to_string(i),
                                          .mDataCentre = "nbo-1",
                                          .mRegion = "nairobi",
                                          .mPeerAddress = "10.1.2.3:7003",
                                          .mAdminAddress = "10.1.2.3:7002",
                                          .mIncarnation = 1796400000000 });
  }
  return facts;
}

void
MeasureEncode(benchmark::State& aState, const Message& aMessage)
{
  std::size_t bytes = 0;
  for (auto _ : aState) {
    bytes = Encode(aMessage).size();
    benchmark::DoNotOptimize(bytes);
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}

void
MeasureDecode(benchmark::State& aState, const Message& aMessage)
{
  const std::string bytes = Encode(aMessage);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(Decode(bytes));
  }
}

void
EncodeCall(benchmark::State& aState)
{
  MeasureEncode(aState, TypicalCall(aState.range(0)));
}
BENCHMARK(EncodeCall)->Arg(512)->Arg(1 << 20);

void
DecodeCall(benchmark::State& aState)
{
  MeasureDecode(aState, TypicalCall(aState.range(0)));
}
BENCHMARK(DecodeCall)->Arg(512)->Arg(1 << 20);

void
EncodeFacts(benchmark::State& aState)
{
  MeasureEncode(aState, TypicalFacts(aState.range(0)));
}
// 900 nodes with one endpoint each have 1800 facts.
BENCHMARK(EncodeFacts)->Arg(1)->Arg(1800);

void
DecodeFacts(benchmark::State& aState)
{
  MeasureDecode(aState, TypicalFacts(aState.range(0)));
}
BENCHMARK(DecodeFacts)->Arg(1)->Arg(1800);

} // namespace
} // namespace papayaway
