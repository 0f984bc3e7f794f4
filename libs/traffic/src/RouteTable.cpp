#include <traffic/RouteTable.h>

#include <algorithm>
#include <functional>
#include <unordered_set>

#include <base/Hash.h>

#include "MoveShares.h"

namespace papayaway {

namespace {

std::string_view
WithoutTrailingSlashes(std::string_view aPath)
{
  while (!aPath.empty() && aPath.back() == '/') {
    aPath.remove_suffix(1);
  }
  return aPath;
}

bool
NamesMethod(const Route& aRoute, std::string_view aMethod)
{
  return std::find(aRoute.mMethods.begin(), aRoute.mMethods.end(), aMethod) !=
         aRoute.mMethods.end();
}

/** @return whether both routes, given the same prefix, apply to the same method
 *    with the same precedence. */
bool
Overlap(const Route& aLeft, const Route& aRight)
{
  if (aLeft.mMethods.empty() || aRight.mMethods.empty()) {
    return aLeft.mMethods.empty() && aRight.mMethods.empty();
  }
  return std::any_of(
    aLeft.mMethods.begin(),
    aLeft.mMethods.end(),
    [&](const std::string& aName) { return NamesMethod(aRight, aName); });
}

void
CheckService(const Service& aService,
             const std::string& aPath,
             Findings& aFindings)
{
  std::unordered_set<std::string_view> names;
  std::int64_t sum = 0;
  bool negative = false;
  for (std::size_t i = 0; i < aService.mVersions.size(); ++i) {
    const VersionShare& version = aService.mVersions[i];
    sum += version.mShare;
    negative = negative || version.mShare < 0;
    if (!names.insert(version.mName).second) {
      aFindings.push_back(
        { .mPath = aPath + "/versions/" + std::to_string(i),
          .mMessage = "version \"" + version.mName + "\" occurs twice" });
    }
  }
  if (negative || sum != kTotalShare) {
    aFindings.push_back({ .mPath = aPath + "/versions",
                          .mMessage = "the shares do not sum to " +
                                      std::to_string(kTotalShare) });
  }
  if (aService.mMove && !names.contains(aService.mMove->mTo)) {
    aFindings.push_back(
      { .mPath = aPath + "/move/to",
        .mMessage = "unknown version \"" + aService.mMove->mTo + "\"" });
  }
}

} // namespace

std::size_t
RouteTable::StringHash::operator()(std::string_view aText) const
{
  return Hash64(aText);
}

RouteTable::RouteTable(Passkey /*aPasskey*/,
                       const Document& aDocument,
                       std::uint64_t aVersion)
  : mDocument(aDocument)
  , mVersion(aVersion)
{
}

tl::expected<std::shared_ptr<const RouteTable>, Findings>
RouteTable::Build(const Document& aDocument,
                  std::uint64_t aVersion,
                  const std::vector<EndpointFact>& aEndpoints,
                  const std::vector<MoveFact>& aMoves)
{
  auto table = std::make_shared<RouteTable>(Passkey(), aDocument, aVersion);
  Findings findings;
  table->AddServices(findings);
  table->AddRoutes(findings);
  if (!findings.empty()) {
    return tl::unexpected<Findings>(std::move(findings));
  }
  table->AddEndpoints(aEndpoints);
  table->ApplyMoves(aMoves);
  return table;
}

void
RouteTable::AddServices(Findings& aFindings)
{
  mServices.reserve(mDocument.mServices.size());
  for (std::size_t i = 0; i < mDocument.mServices.size(); ++i) {
    const Service& service = mDocument.mServices[i];
    const std::string path = "/services/" + std::to_string(i);
    const auto [position, added] = mServices.try_emplace(service.mName);
    if (!added) {
      aFindings.push_back(
        { .mPath = path,
          .mMessage = "service \"" + service.mName + "\" occurs twice" });
      continue;
    }
    position->second.mService = &service;
    position->second.mEndpoints.resize(service.mVersions.size());
    CheckService(service, path, aFindings);
  }
}

void
RouteTable::AddRoutes(Findings& aFindings)
{
  for (std::size_t i = 0; i < mDocument.mRoutes.size(); ++i) {
    const Route& route = mDocument.mRoutes[i];
    const std::string path = "/routes/" + std::to_string(i);
    if (!mServices.contains(route.mService)) {
      aFindings.push_back(
        { .mPath = path + "/service",
          .mMessage = "unknown service \"" + route.mService + "\"" });
    }
    if (route.mPrefix.empty() || route.mPrefix.front() != '/') {
      aFindings.push_back({ .mPath = path + "/prefix",
                            .mMessage = "the prefix does not start with /" });
    }
    const std::string_view prefix = WithoutTrailingSlashes(route.mPrefix);
    std::vector<const Route*>& sharingPrefix = mRoutes[prefix];
    if (std::any_of(
          sharingPrefix.begin(), sharingPrefix.end(), [&](const Route* aRoute) {
            return Overlap(*aRoute, route);
          })) {
      aFindings.push_back(
        { .mPath = path,
          .mMessage = "the route repeats prefix and method of another" });
    }
    sharingPrefix.push_back(&route);
    mLongestPrefix = std::max(mLongestPrefix, prefix.size());
  }
}

void
RouteTable::AddEndpoints(const std::vector<EndpointFact>& aFacts)
{
  for (const EndpointFact& fact : aFacts) {
    const auto entry = mServices.find(fact.mService);
    if (fact.mState != EndpointState::Ready || entry == mServices.end()) {
      continue;
    }
    const Service& service = *entry->second.mService;
    for (std::size_t i = 0; i < service.mVersions.size(); ++i) {
      if (service.mVersions[i].mName == fact.mVersion) {
        const int slots = fact.mSlots > 0 ? fact.mSlots : service.mSlots;
        entry->second.mEndpoints[i].push_back(
          { fact.mNode, fact.mDataCentre, fact.mRegion, std::max(1, slots) });
      }
    }
  }
  for (auto& [name, entry] : mServices) {
    for (std::vector<Endpoint>& endpoints : entry.mEndpoints) {
      std::sort(endpoints.begin(),
                endpoints.end(),
                [](const Endpoint& aLeft, const Endpoint& aRight) {
                  return aLeft.mNode < aRight.mNode;
                });
    }
  }
}

void
RouteTable::ApplyMoves(const std::vector<MoveFact>& aMoves)
{
  ByName<const MoveFact*> current;
  for (const MoveFact& fact : aMoves) {
    const auto entry = mServices.find(fact.mService);
    if (entry != mServices.end() &&
        IsCurrentMove(*entry->second.mService, fact)) {
      current[entry->first] = &fact;
    }
  }
  for (auto& [name, entry] : mServices) {
    const auto found = current.find(name);
    const MoveFact* move = found == current.end() ? nullptr : found->second;
    const Service& service = *entry.mService;
    std::vector<int> shares = SharesAfterMove(service, move);
    int total = kTotalShare;
    bool otherVersionReady = false;
    for (std::size_t i = 0; i < shares.size(); ++i) {
      if (entry.mEndpoints[i].empty()) {
        shares[i] = 0;
      }
      otherVersionReady =
        otherVersionReady || (shares[i] > 0 && move != nullptr &&
                              service.mVersions[i].mName != move->mTo);
    }
    if (move != nullptr && move->mState == MoveState::Running &&
        !otherVersionReady) {
      total = std::clamp(move->mShare, 0, kTotalShare);
    }
    shares = Apportion(shares, total);
    for (std::size_t i = 0; i < shares.size(); ++i) {
      if (shares[i] > 0) {
        entry.mShares.push_back({ service.mVersions[i].mName, shares[i] });
      }
    }
  }
}

RouteMatch
RouteTable::FindRoute(std::string_view aMethod, std::string_view aPath) const
{
  std::string_view prefix = aPath;
  if (prefix.size() > mLongestPrefix) {
    // No route has a longer prefix. This saves a lookup for each further
    // segment of a long path.
    if (prefix[mLongestPrefix] == '/') {
      prefix = prefix.substr(0, mLongestPrefix);
    } else {
      const std::size_t slash = prefix.rfind('/', mLongestPrefix);
      prefix = prefix.substr(0, slash == std::string_view::npos ? 0 : slash);
    }
  }
  while (true) {
    const auto found = mRoutes.find(prefix);
    if (found != mRoutes.end()) {
      const Route* anyMethodRoute = nullptr;
      for (const Route* route : found->second) {
        if (NamesMethod(*route, aMethod)) {
          return { route, false };
        }
        if (route->mMethods.empty()) {
          anyMethodRoute = route;
        }
      }
      return { anyMethodRoute, anyMethodRoute == nullptr };
    }
    const std::size_t slash = prefix.rfind('/');
    if (slash == std::string_view::npos) {
      return {};
    }
    prefix = prefix.substr(0, slash);
  }
}

std::span<const VersionShare>
RouteTable::Shares(std::string_view aService) const
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return {};
  }
  return found->second.mShares;
}

std::span<const Endpoint>
RouteTable::Endpoints(std::string_view aService,
                      std::string_view aVersion) const
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return {};
  }
  const std::vector<VersionShare>& versions = found->second.mService->mVersions;
  for (std::size_t i = 0; i < versions.size(); ++i) {
    if (versions[i].mName == aVersion) {
      return found->second.mEndpoints[i];
    }
  }
  return {};
}

std::string_view
RouteTable::DrawVersion(std::string_view aService, Random& aRandom) const
{
  const std::span<const VersionShare> shares = Shares(aService);
  if (shares.empty()) {
    return {};
  }
  if (shares.front().mShare == kTotalShare) {
    return shares.front().mName;
  }
  auto draw = static_cast<int>(UniformBelow(aRandom, kTotalShare));
  for (const VersionShare& share : shares) {
    if (draw < share.mShare) {
      return share.mName;
    }
    draw -= share.mShare;
  }
  return {};
}

} // namespace papayaway
