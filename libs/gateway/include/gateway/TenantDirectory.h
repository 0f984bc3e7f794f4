#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <gateway/DesiredState.h>

namespace papayaway::gateway {

/** The greatest length of a key in bytes. Longer keys are never accepted, so
 *  that a long header costs no more than a short one. */
constexpr std::size_t kMaxKeyBytes = 1024;

/** Who sent a request. */
struct CallerIdentity
{
  /** Whether the request may be served; if not, it is answered with 401. */
  bool mAccepted = true;
  /** The tenant, or nullptr if there is none. Valid as long as the directory.
   */
  const Tenant* mTenant = nullptr;

  bool operator==(const CallerIdentity&) const = default;
};

/**
 * Finds the tenants of one version of the desired state by key or by name, in
 * constant time.
 *
 * A lookup compares hashes first and the whole key only if they are equal, so
 * its time does not tell how much of a guessed key is right.
 */
class TenantDirectory
{
public:
  /** @param aTenants tenants with unique names that share no key. */
  explicit TenantDirectory(std::vector<Tenant> aTenants);
  TenantDirectory(const TenantDirectory&) = delete;
  TenantDirectory& operator=(const TenantDirectory&) = delete;

  /** @return whether there are tenants; if not, requests need no key. */
  [[nodiscard]] bool IsActive() const { return !mTenants.empty(); }

  [[nodiscard]] const std::vector<Tenant>& Tenants() const { return mTenants; }

  /** @param aKeys all values of the header that holds the key.
   *  @param aPublic whether the route is public. A request of such a route is
   *    accepted without a key; a key that is not accepted counts as none. */
  [[nodiscard]] CallerIdentity Identify(std::span<const std::string_view> aKeys,
                                        bool aPublic) const;

  /** @return the tenant, or nullptr if there is none with this name. */
  [[nodiscard]] const Tenant* FindByName(std::string_view aName) const;

  /** @return the share of the tenant in scarce capacity, relative to those of
   *    others: its usage cap, or the mean cap if it has none. Callers of a
   * tenant with a greater cap usually send more. */
  [[nodiscard]] double Weight(std::string_view aName) const;

  /** Combines the priorities of tenant and route into one number. That of the
   *  tenant takes precedence; between equal ones, that of the route decides.
   *  Without tenants it is that of the route.
   *  @param aTenant nullptr for a request without tenant, which counts as one
   *    of a tenant of priority 0: most such requests are calls by targets,
   *    which a started request waits for.
   *  @param aRoutePriority at least 0.
   *  @return 0 for the most urgent. */
  [[nodiscard]] int Priority(const Tenant* aTenant, int aRoutePriority) const;

private:
  /** The texts are parts of mTenants. */
  using Index = std::unordered_map<std::string_view, std::size_t>;

  [[nodiscard]] const Tenant* Find(const Index& aIndex,
                                   std::string_view aText) const;

  std::vector<Tenant> mTenants;
  Index mByKey;
  Index mByName;
  /** The mean usage cap of the tenants that have one. */
  double mMeanRate = 1;
};

} // namespace papayaway::gateway
