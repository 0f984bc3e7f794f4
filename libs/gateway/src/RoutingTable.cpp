#include <gateway/RoutingTable.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace papayaway::gateway {

namespace {

std::string
HostName(std::string_view aHost)
{
  std::string name(aHost.substr(0, aHost.find(':')));
  std::transform(
    name.begin(), name.end(), name.begin(), [](unsigned char aLetter) {
      return static_cast<char>(std::tolower(aLetter));
    });
  return name;
}

} // namespace

WeightedTurns::WeightedTurns(const std::vector<Destination>& aDestinations)
  : mCredit(aDestinations.size(), 0)
{
  for (const Destination& destination : aDestinations) {
    mWeights.push_back(destination.mWeight);
    mTotal += destination.mWeight;
  }
}

std::size_t
WeightedTurns::Next()
{
  std::size_t best = 0;
  for (std::size_t i = 0; i < mWeights.size(); ++i) {
    mCredit[i] += mWeights[i];
    if (mCredit[i] > mCredit[best]) {
      best = i;
    }
  }
  if (!mCredit.empty()) {
    mCredit[best] -= mTotal;
  }
  return best;
}

RoutingTable::RoutingTable(DesiredState aState)
  : mState(std::move(aState))
{
  for (const auto& [host, rules] : mState.mHosts) {
    auto& prefixes = mHosts[HostName(host)];
    for (const RouteRule& rule : rules) {
      prefixes.insert_or_assign(
        rule.mPrefix,
        std::make_unique<ActiveRule>(ActiveRule{
          .mRule = rule, .mTurns = WeightedTurns(rule.mDestinations) }));
    }
  }
}

ActiveRule*
RoutingTable::Find(std::string_view aHost, std::string_view aPath)
{
  const auto host = mHosts.find(HostName(aHost));
  if (host == mHosts.end()) {
    return nullptr;
  }
  // Every prefix ends with a slash, so only these ends need a look-up.
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
