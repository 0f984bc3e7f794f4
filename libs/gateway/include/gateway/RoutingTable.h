#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <gateway/DesiredState.h>

namespace papayaway::gateway {

/**
 * Hands out the destinations of one rule by their weights.
 *
 * Smooth weighted round robin: any run of requests is as close to the weights
 * as whole requests allow, which a random draw is only in the long run.
 */
class WeightedTurns
{
public:
  explicit WeightedTurns(const std::vector<Destination>& aDestinations);

  /** @return the index of the next destination. */
  std::size_t Next();

private:
  std::vector<double> mWeights;
  std::vector<double> mCredit;
  double mTotal = 0;
};

/** A rule with its state for handing out destinations. */
struct ActiveRule
{
  RouteRule mRule;
  WeightedTurns mTurns;
};

/** Finds the rule of a request in one desired state. */
class RoutingTable
{
public:
  explicit RoutingTable(DesiredState aState);

  /** @param aHost the Host field; a port in it is ignored.
   *  @param aPath the path without the query.
   *  @return the rule with the longest prefix that begins aPath, or nullptr.
   *    Valid as long as the table. */
  [[nodiscard]] ActiveRule* Find(std::string_view aHost,
                                 std::string_view aPath);

  [[nodiscard]] const DesiredState& State() const { return mState; }

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
  using ByName =
    std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

  DesiredState mState;
  ByName<ByName<std::unique_ptr<ActiveRule>>> mHosts;
};

} // namespace papayaway::gateway
