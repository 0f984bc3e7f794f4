#include <gateway/Placement.h>

#include <algorithm>
#include <iterator>

#include <base/Hash.h>

namespace papayaway::gateway {

AllowedRegions::AllowedRegions(const std::vector<std::string>& aRegions)
{
  if (!aRegions.empty()) {
    mRegions.emplace(aRegions.begin(), aRegions.end());
  }
}

bool
AllowedRegions::Allows(std::string_view aRegion) const
{
  return !mRegions || mRegions->contains(aRegion);
}

AllowedRegions
Intersect(const AllowedRegions& aRoute, const AllowedRegions& aTenant)
{
  if (!aRoute.mRegions) {
    return aTenant;
  }
  if (!aTenant.mRegions) {
    return aRoute;
  }
  AllowedRegions both;
  both.mRegions.emplace();
  std::set_intersection(aRoute.mRegions->begin(),
                        aRoute.mRegions->end(),
                        aTenant.mRegions->begin(),
                        aTenant.mRegions->end(),
                        std::inserter(*both.mRegions, both.mRegions->end()));
  return both;
}

AllowedRegions
Unite(const AllowedRegions& aLeft, const AllowedRegions& aRight)
{
  if (!aLeft.mRegions || !aRight.mRegions) {
    return {};
  }
  AllowedRegions either = aLeft;
  either.mRegions->insert(aRight.mRegions->begin(), aRight.mRegions->end());
  return either;
}

PlacementRules::PlacementRules(const DesiredState& aState)
{
  for (const auto& [host, rules] : aState.mHosts) {
    for (const RouteRule& rule : rules) {
      const AllowedRegions regions(rule.mAllowedRegions);
      const auto [known, added] = mRoutes.try_emplace(rule.mName, regions);
      if (!added) {
        known->second = Unite(known->second, regions);
      }
    }
  }
  std::erase_if(
    mRoutes, [](const auto& aEntry) { return !aEntry.second.IsRestricted(); });
  for (const Tenant& tenant : aState.mTenants) {
    if (!tenant.mAllowedRegions.empty()) {
      mTenants.insert_or_assign(tenant.mName,
                                AllowedRegions(tenant.mAllowedRegions));
    }
  }
}

AllowedRegions
PlacementRules::For(const RouteRule& aRoute, std::string_view aTenant) const
{
  const AllowedRegions route(aRoute.mAllowedRegions);
  const auto tenant = mTenants.find(aTenant);
  return tenant == mTenants.end() ? route : Intersect(route, tenant->second);
}

AllowedRegions
PlacementRules::For(std::string_view aRoute, std::string_view aTenant) const
{
  const auto regions = [](const RegionsByName& aRegions,
                          std::string_view aName) {
    const auto found = aRegions.find(aName);
    return found == aRegions.end() ? AllowedRegions() : found->second;
  };
  return Intersect(regions(mRoutes, aRoute), regions(mTenants, aTenant));
}

bool
EvacuationSet::ApplyChanges(StoreVersion aVersion,
                            std::vector<EvacuationChange> aChanges)
{
  std::stable_sort(
    aChanges.begin(),
    aChanges.end(),
    [](const EvacuationChange& aLeft, const EvacuationChange& aRight) {
      return aLeft.mVersion < aRight.mVersion;
    });
  const auto before = mCurrent.mDataCentres;
  for (const EvacuationChange& change : aChanges) {
    if (change.mVersion <= mCurrent.mVersion) {
      continue;
    }
    if (change.mDeleted) {
      mCurrent.mDataCentres.erase(change.mDataCentre);
    } else if (!change.mDataCentre.empty() &&
               change.mDataCentre.size() <= kMaxDataCentreName &&
               mCurrent.mDataCentres.size() < kMaxEvacuations) {
      mCurrent.mDataCentres.insert(change.mDataCentre);
    }
  }
  if (!aChanges.empty()) {
    aVersion = std::max(aVersion, aChanges.back().mVersion);
  }
  mCurrent.mVersion = std::max(mCurrent.mVersion, aVersion);
  UpdateDigest();
  return mCurrent.mDataCentres != before;
}

bool
EvacuationSet::Replace(Evacuations aEvacuations)
{
  if (aEvacuations.mVersion <= mCurrent.mVersion) {
    return false;
  }
  const bool changed = aEvacuations.mDataCentres != mCurrent.mDataCentres;
  mCurrent = std::move(aEvacuations);
  UpdateDigest();
  return changed;
}

void
EvacuationSet::UpdateDigest()
{
  if (mCurrent.mDataCentres.empty()) {
    mDigest = 0;
    return;
  }
  std::string names;
  for (const std::string& name : mCurrent.mDataCentres) {
    names += name;
    names += '\0';
  }
  mDigest = std::max<std::uint64_t>(Hash64(names), 1);
}

} // namespace papayaway::gateway
