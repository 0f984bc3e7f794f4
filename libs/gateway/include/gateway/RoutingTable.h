#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <gateway/DesiredState.h>
#include <gateway/Placement.h>
#include <gateway/TenantDirectory.h>

namespace papayaway::gateway {

/**
 * Selects the destination of each request of one rule by smooth weighted round
 * robin.
 *
 * The shares of the destinations stay as close to their weights as whole
 * requests allow, also over few requests, where random selection would deviate.
 */
class WeightedRoundRobin
{
public:
  explicit WeightedRoundRobin(const std::vector<Destination>& aDestinations);

  /** @return the index of the destination of the next request. */
  std::size_t Next();

private:
  std::vector<double> mWeights;
  /** One for each destination: its weight is added at each selection, the total
   *  weight is subtracted when it is selected. */
  std::vector<double> mCurrentWeights;
  double mTotalWeight = 0;
};

/** A rule with the state of its destination selection. */
struct ActiveRule
{
  RouteRule mRule;
  WeightedRoundRobin mRoundRobin;
};

/** Finds the rule for a request in one version of the desired state. */
class RoutingTable
{
public:
  explicit RoutingTable(DesiredState aState);

  /** @param aHost the value of the Host header; case and port are ignored.
   *  @param aPath the path without the query.
   *  @return the rule with the longest prefix of aPath, or nullptr if there is
   *    none. The pointer is valid during the lifetime of the table. */
  [[nodiscard]] ActiveRule* Find(std::string_view aHost,
                                 std::string_view aPath);

  [[nodiscard]] const DesiredState& State() const { return mState; }

  /** @return the allowed regions of the routes and tenants. */
  [[nodiscard]] const PlacementRules& Placements() const { return mPlacements; }
  /** @return the tenants of this version; never null. */
  [[nodiscard]] const std::shared_ptr<const TenantDirectory>& Tenants() const
  {
    return mTenants;
  }

private:
  struct StringHash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aText) const
    {
      return std::hash<std::string_view>()(aText);
    }
  };
  template<typename Value>
  using StringMap =
    std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

  DesiredState mState;
  PlacementRules mPlacements;
  std::shared_ptr<const TenantDirectory> mTenants;
  /** By host name, then by path prefix. */
  StringMap<StringMap<std::unique_ptr<ActiveRule>>> mHosts;
};

} // namespace papayaway::gateway
