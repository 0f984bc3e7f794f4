#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include <base/Random.h>
#include <traffic/EndpointPicker.h>
#include <traffic/Quarantine.h>
#include <traffic/RouteTable.h>

namespace papayaway {
namespace {

constexpr int kServices = 150;
constexpr int kEndpoints = 900;
constexpr int kDataCentres = 10;

/** @return a document of the size that the platform is planned for: 150
 *  services with two versions and three routes each, half of them with a
 *  move in progress. */
Document
PlannedDocument()
{
  Document document;
  for (int i = 0; i < kServices; ++i) {
    const std::string name = "service-" + std::to_string(i);
    Service service{ .mName = name,
                     .mVersions = { { "v1", 900 }, { "v2", 100 } },
                     .mSlots = 12 };
    if (i % 2 == 0) {
      service.mMove = VersionMove{ .mTo = "v2" };
    }
    document.mServices.push_back(service);
    for (const char* suffix : { "", "/items", "/items/history" }) {
      document.mRoutes.push_back(
        { .mPrefix = "/" + name + suffix, .mService = name });
    }
  }
  return document;
}

EndpointFact
PlannedEndpoint(int aIndex, const std::string& aService)
{
  const int dataCentre = aIndex % kDataCentres;
  return { .mNode = "node-" + std::to_string(aIndex),
           .mDataCentre = "dc-" + std::to_string(dataCentre),
           .mRegion = "region-" + std::to_string(dataCentre % 3),
           .mService = aService,
           .mVersion = aIndex % 5 == 0 ? "v2" : "v1",
           .mState = EndpointState::Ready,
           .mSlots = 12 };
}

std::vector<EndpointFact>
PlannedEndpoints()
{
  std::vector<EndpointFact> facts;
  facts.reserve(kEndpoints);
  for (int i = 0; i < kEndpoints; ++i) {
    facts.push_back(
      PlannedEndpoint(i, "service-" + std::to_string(i % kServices)));
  }
  return facts;
}

std::vector<MoveFact>
PlannedMoves()
{
  std::vector<MoveFact> moves;
  for (int i = 0; i < kServices; i += 2) {
    moves.push_back({ .mService = "service-" + std::to_string(i),
                      .mTo = "v2",
                      .mShare = 50 });
  }
  return moves;
}

std::shared_ptr<const RouteTable>
PlannedTable()
{
  return RouteTable::Build(
           PlannedDocument(), 1, PlannedEndpoints(), PlannedMoves())
    .value();
}

void
BuildRouteTable(benchmark::State& aState)
{
  const Document document = PlannedDocument();
  const auto endpoints = PlannedEndpoints();
  const auto moves = PlannedMoves();
  for (auto step : aState) {
    benchmark::DoNotOptimize(RouteTable::Build(document, 1, endpoints, moves));
  }
}
BENCHMARK(BuildRouteTable)->Unit(benchmark::kMicrosecond);

void
FindRoute(benchmark::State& aState)
{
  const auto table = PlannedTable();
  std::vector<std::string> paths;
  paths.reserve(kServices);
  for (int i = 0; i < kServices; ++i) {
    paths.push_back("/service-" + std::to_string(i) + "/items/4711/lines");
  }
  std::size_t next = 0;
  for (auto step : aState) {
    benchmark::DoNotOptimize(table->FindRoute("GET", paths[next]));
    next = (next + 1) % paths.size();
  }
}
BENCHMARK(FindRoute);

void
DrawVersion(benchmark::State& aState)
{
  const auto table = PlannedTable();
  Random random(1);
  for (auto step : aState) {
    benchmark::DoNotOptimize(table->DrawVersion("service-10", random));
  }
}
BENCHMARK(DrawVersion);

void
PickEndpoint(benchmark::State& aState)
{
  Document document;
  document.mServices = { { .mName = "s", .mVersions = { { "v1", 1000 } } } };
  std::vector<EndpointFact> facts;
  for (int i = 0; i < aState.range(0); ++i) {
    facts.push_back(PlannedEndpoint(i, "s"));
    facts.back().mVersion = "v1";
  }
  const auto table = RouteTable::Build(document, 1, facts, {}).value();
  EndpointPicker picker;
  picker.OnSnapshot(*table, {});
  Random random(1);
  Millis now = Seconds(10);
  for (auto step : aState) {
    now += { 0.1 };
    const Endpoint* endpoint = picker.Pick(*table,
                                           { .mService = "s",
                                             .mVersion = "v1",
                                             .mDataCentre = "dc-1",
                                             .mRegion = "region-1",
                                             .mNow = now },
                                           random);
    picker.OnSent(endpoint->mNode, now);
    picker.OnReply(endpoint->mNode, Outcome::Ran, 3, 12, { 4 }, now, random);
  }
}
BENCHMARK(PickEndpoint)->Arg(6)->Arg(60);

void
CheckQuarantine(benchmark::State& aState)
{
  Quarantine quarantine;
  const Millis now = Seconds(1e9);
  (void)quarantine.OnCrash({ "1", "s", { "a", "b" } }, now);
  const std::vector<std::string> inFlight(12, "in flight");
  for (auto step : aState) {
    benchmark::DoNotOptimize(
      quarantine.Check("0123456789abcdef", inFlight, now));
  }
}
BENCHMARK(CheckQuarantine);

} // namespace
} // namespace papayaway
