#include <gateway/TenantDirectory.h>

#include <algorithm>
#include <utility>

namespace papayaway::gateway {

namespace {

/** Route priorities from this number on count as one less than it in the
 *  combined priority. */
constexpr int kRoutePriorities = 1000;
/** Tenant priorities above this number count as this number, so that the
 *  combined priority fits into an int. */
constexpr int kMaxTenantPriority = 1000000;

} // namespace

TenantDirectory::TenantDirectory(std::vector<Tenant> aTenants)
  : mTenants(std::move(aTenants))
{
  double rates = 0;
  int limited = 0;
  for (std::size_t i = 0; i < mTenants.size(); ++i) {
    rates += mTenants[i].mRequestsPerSecond;
    limited += mTenants[i].mRequestsPerSecond > 0 ? 1 : 0;
    mByName.emplace(mTenants[i].mName, i);
    for (const std::string& key : mTenants[i].mKeys) {
      mByKey.emplace(key, i);
    }
  }
  if (limited > 0) {
    mMeanRate = rates / limited;
  }
}

const Tenant*
TenantDirectory::Find(const Index& aIndex, std::string_view aText) const
{
  const auto found = aIndex.find(aText);
  return found == aIndex.end() ? nullptr : &mTenants[found->second];
}

CallerIdentity
TenantDirectory::Identify(std::span<const std::string_view> aKeys,
                          bool aPublic) const
{
  if (!IsActive()) {
    return {};
  }
  // Of two keys, one could be checked here and the other one elsewhere.
  const bool wellFormed = aKeys.size() == 1 && !aKeys.front().empty() &&
                          aKeys.front().size() <= kMaxKeyBytes;
  const Tenant* const tenant =
    wellFormed ? Find(mByKey, aKeys.front()) : nullptr;
  return { .mAccepted = aPublic || tenant != nullptr, .mTenant = tenant };
}

const Tenant*
TenantDirectory::FindByName(std::string_view aName) const
{
  return Find(mByName, aName);
}

double
TenantDirectory::Weight(std::string_view aName) const
{
  const Tenant* const tenant = FindByName(aName);
  return tenant != nullptr && tenant->mRequestsPerSecond > 0
           ? tenant->mRequestsPerSecond
           : mMeanRate;
}

int
TenantDirectory::Priority(const Tenant* aTenant, int aRoutePriority) const
{
  if (!IsActive()) {
    return aRoutePriority;
  }
  const int tenantPriority =
    aTenant == nullptr ? 0 : aTenant->mPriority.value_or(0);
  return std::clamp(tenantPriority, 0, kMaxTenantPriority) * kRoutePriorities +
         std::clamp(aRoutePriority, 0, kRoutePriorities - 1);
}

} // namespace papayaway::gateway
