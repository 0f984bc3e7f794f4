#include <config/DocumentParser.h>

#include <cmath>

#include <nlohmann/json.hpp>

namespace papayaway {
namespace {

using Json = nlohmann::json;

std::int64_t
Rounded(double aValue)
{
  return std::llround(aValue);
}

Json
ServiceToJson(const Service& aService)
{
  Json versions = Json::array();
  for (const VersionShare& version : aService.mVersions) {
    versions.push_back(
      { { "name", version.mName }, { "share", version.mShare } });
  }
  Json json = { { "name", aService.mName },
                { "versions", std::move(versions) },
                { "slots", aService.mSlots },
                { "connections", aService.mConnections } };
  if (aService.mMove) {
    json["move"] = { { "to", aService.mMove->mTo },
                     { "deadline_s",
                       Rounded(aService.mMove->mDeadline.mCount / 1000) },
                     { "attempt", aService.mMove->mAttempt } };
  }
  return json;
}

} // namespace

Json
ToJson(const Document& aDocument)
{
  Json json = { { "customer_header", aDocument.mCustomerHeader },
                { "regions", Json::array() },
                { "services", Json::array() },
                { "routes", Json::array() } };
  for (const RegionLayout& region : aDocument.mRegions) {
    json["regions"].push_back(
      { { "name", region.mName }, { "data_centres", region.mDataCentres } });
  }
  for (const Service& service : aDocument.mServices) {
    json["services"].push_back(ServiceToJson(service));
  }
  for (const Route& route : aDocument.mRoutes) {
    Json item = { { "prefix", route.mPrefix },
                  { "service", route.mService },
                  { "idempotent", route.mIdempotent },
                  { "deadline_ms", Rounded(route.mDeadline.mCount) } };
    if (!route.mMethods.empty()) {
      item["methods"] = route.mMethods;
    }
    json["routes"].push_back(std::move(item));
  }
  return json;
}

} // namespace papayaway
