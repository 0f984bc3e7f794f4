#include "Layouts.h"

#include <array>
#include <fstream>
#include <stdexcept>

namespace papayaway {

namespace {

struct Location
{
  const char* mDataCentre;
  const char* mRegion;
};

constexpr std::array<Location, 4> kRafikiLocations{ { { "nbo-1", "nairobi" },
                                                      { "nbo-2", "nairobi" },
                                                      { "mba-1", "mombasa" },
                                                      { "mba-2",
                                                        "mombasa" } } };

std::string
AppendNumber(const std::string& aPrefix, int aNumber)
{
  return aPrefix + std::to_string(aNumber);
}

} // namespace

std::vector<NodePlan>
VersionPlans(const std::string& aService,
             const std::string& aVersion,
             int aCount)
{
  std::vector<NodePlan> plans;
  for (int i = 0; i < aCount; ++i) {
    const Location& location =
      kRafikiLocations[static_cast<std::size_t>(i) % kRafikiLocations.size()];
    plans.push_back(
      { .mName = AppendNumber(
          aService + "-" + aVersion + "-" + location.mDataCentre + "-", i),
        .mDataCentre = location.mDataCentre,
        .mRegion = location.mRegion,
        .mService = aService,
        .mVersion = aVersion });
  }
  return plans;
}

std::vector<NodePlan>
RafikiPlans()
{
  std::vector<NodePlan> plans = VersionPlans("ledger", "v1", 7);
  const std::vector<NodePlan> hammer = VersionPlans("hammer", "v1", 4);
  plans.insert(plans.end(), hammer.begin(), hammer.end());
  return plans;
}

std::vector<NodePlan>
UniformPlans(int aCount, int aDataCentres, int aRegions, int aServices)
{
  std::vector<NodePlan> plans;
  for (int i = 0; i < aCount; ++i) {
    const int dataCentre = i % aDataCentres;
    plans.push_back(
      { .mName = AppendNumber("n", i),
        .mDataCentre = AppendNumber("dc-", dataCentre),
        .mRegion = AppendNumber("region-", dataCentre % aRegions),
        .mService = AppendNumber("service-", (i / aDataCentres) % aServices) });
  }
  return plans;
}

nlohmann::json
UniformDocument(int aDataCentres, int aRegions, int aServices)
{
  nlohmann::json document{ { "customer_header", "Papayaway-Customer" },
                           { "regions", nlohmann::json::array() },
                           { "services", nlohmann::json::array() },
                           { "routes", nlohmann::json::array() } };
  for (int region = 0; region < aRegions; ++region) {
    nlohmann::json dataCentres = nlohmann::json::array();
    for (int i = region; i < aDataCentres; i += aRegions) {
      dataCentres.push_back(AppendNumber("dc-", i));
    }
    document["regions"].push_back({ { "name", AppendNumber("region-", region) },
                                    { "data_centres", dataCentres } });
  }
  for (int i = 0; i < aServices; ++i) {
    document["services"].push_back(
      { { "name", AppendNumber("service-", i) },
        { "versions", { { { "name", "v1" }, { "share", 1000 } } } },
        { "slots", 12 },
        { "connections", 120 } });
    document["routes"].push_back({ { "prefix", AppendNumber("/read-", i) },
                                   { "methods", { "GET" } },
                                   { "service", AppendNumber("service-", i) },
                                   { "idempotent", true },
                                   { "deadline_ms", 1000 } });
    document["routes"].push_back({ { "prefix", AppendNumber("/write-", i) },
                                   { "methods", { "POST" } },
                                   { "service", AppendNumber("service-", i) },
                                   { "idempotent", false },
                                   { "deadline_ms", 1000 } });
  }
  return document;
}

nlohmann::json
ReadJson(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw std::runtime_error("can't read " + aPath);
  }
  return nlohmann::json::parse(file);
}

} // namespace papayaway
