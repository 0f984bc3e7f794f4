#include <gateway/RoutingTable.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace papayaway::gateway {

namespace {

/** @return the host name in lower case, without the port. */
std::string
NormalizedHostName(std::string_view aHost)
{
  std::string name(aHost.substr(0, aHost.find(':')));
  std::transform(
    name.begin(), name.end(), name.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
  return name;
}

} // namespace

WeightedRoundRobin::WeightedRoundRobin(
  const std::vector<Destination>& aDestinations)
  : mCurrentWeights(aDestinations.size(), 0)
{
  for (const Destination& destination : aDestinations) {
    mWeights.push_back(destination.mWeight);
    mTotalWeight += destination.mWeight;
  }
}

std::size_t
WeightedRoundRobin::Next()
{
  std::size_t selected = 0;
  for (std::size_t i = 0; i < mWeights.size(); ++i) {
    mCurrentWeights[i] += mWeights[i];
    if (mCurrentWeights[i] > mCurrentWeights[selected]) {
      selected = i;
    }
  }
  if (!mCurrentWeights.empty()) {
    mCurrentWeights[selected] -= mTotalWeight;
  }
  return selected;
}

RoutingTable::RoutingTable(DesiredState aState)
  : mState(std::move(aState))
  , mPlacements(mState)
  , mTenants(std::make_shared<const TenantDirectory>(mState.mTenants))
{
  for (const auto& [host, rules] : mState.mHosts) {
    auto& rulesByPrefix = mHosts[NormalizedHostName(host)];
    for (const RouteRule& rule : rules) {
      rulesByPrefix.insert_or_assign(
        rule.mPrefix,
        std::make_unique<ActiveRule>(
          ActiveRule{ .mRule = rule,
                      .mRoundRobin = WeightedRoundRobin(rule.mDestinations) }));
    }
  }
}

ActiveRule*
RoutingTable::Find(std::string_view aHost, std::string_view aPath)
{
  const auto host = mHosts.find(NormalizedHostName(aHost));
  if (host == mHosts.end()) {
    return nullptr;
  }
  // Every prefix ends with a slash, so only the parts of the path that end with
  // one are looked up, from the longest to the shortest.
  for (std::size_t slash = aPath.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos
                          : aPath.rfind('/', slash - 1)) {
    const auto found = host->second.find(aPath.substr(0, slash + 1));
    if (found != host->second.end()) {
      return found->second.get();
    }
  }
  return nullptr;
}

} // namespace papayaway::gateway
