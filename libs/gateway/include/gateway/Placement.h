#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <gateway/DesiredState.h>
#include <gateway/StoreVersion.h>

namespace papayaway::gateway {

/** The regions in which a request may run. */
class AllowedRegions
{
public:
  /** All regions. */
  AllowedRegions() = default;

  /** @param aRegions the list of a route or tenant. An empty list restricts
   *    nothing. */
  explicit AllowedRegions(const std::vector<std::string>& aRegions);

  [[nodiscard]] bool Allows(std::string_view aRegion) const;

  /** @return whether there can be a region that is not allowed. */
  [[nodiscard]] bool IsRestricted() const { return mRegions.has_value(); }

  /** @return whether no region is allowed. */
  [[nodiscard]] bool AllowsNothing() const
  {
    return mRegions && mRegions->empty();
  }

  /** @return the regions allowed by both. They may be none, which differs from
   *    an empty list of a route: it allows nothing. */
  friend AllowedRegions Intersect(const AllowedRegions& aRoute,
                                  const AllowedRegions& aTenant);
  /** @return the regions allowed by either of them. */
  friend AllowedRegions Unite(const AllowedRegions& aLeft,
                              const AllowedRegions& aRight);

  bool operator==(const AllowedRegions&) const = default;

private:
  /** nullopt: all regions. */
  std::optional<std::set<std::string, std::less<>>> mRegions;
};

AllowedRegions Intersect(const AllowedRegions& aRoute,
                         const AllowedRegions& aTenant);
AllowedRegions Unite(const AllowedRegions& aLeft, const AllowedRegions& aRight);

/** The allowed regions of the routes and tenants of one desired state. */
class PlacementRules
{
public:
  PlacementRules() = default;
  explicit PlacementRules(const DesiredState& aState);

  /** @param aTenant the name of the tenant; "" or an unknown name adds no
   *    restriction.
   *  @return where requests of the tenant may run on this route. */
  [[nodiscard]] AllowedRegions For(const RouteRule& aRoute,
                                   std::string_view aTenant) const;

  /** As above, for a request whose route is known by name only. If several
   *  routes share the name, the regions of each of them are allowed. An unknown
   *  route adds no restriction. */
  [[nodiscard]] AllowedRegions For(std::string_view aRoute,
                                   std::string_view aTenant) const;

private:
  using RegionsByName = std::map<std::string, AllowedRegions, std::less<>>;

  /** Only the routes and tenants with a restriction. */
  RegionsByName mRoutes;
  RegionsByName mTenants;
};

/** A change of one evacuation row. */
struct EvacuationChange
{
  std::string mDataCentre;
  /** The store version of the change. */
  StoreVersion mVersion;
  bool mDeleted = false;

  bool operator==(const EvacuationChange&) const = default;
};

/** All evacuations that were in force at one version of the store. */
struct Evacuations
{
  StoreVersion mVersion;
  std::set<std::string, std::less<>> mDataCentres;

  bool operator==(const Evacuations&) const = default;
};

/** Bounds for the evacuations that a node keeps and sends. */
constexpr std::size_t kMaxEvacuations = 256;
constexpr std::size_t kMaxDataCentreName = 255;

/**
 * The data centres whose targets get no requests.
 *
 * It is always the set at one version of the store. Of two sets, the one of the
 * higher version replaces the other as a whole, so the end of an evacuation
 * needs no record of the deletion, and nodes that exchange their sets in any
 * order, repeatedly and with losses, arrive at the same one.
 */
class EvacuationSet
{
public:
  /** Applies the changes of the store up to a version. Changes that the set
   *  already includes are skipped.
   *  @param aVersion the version of the store that the set then reflects.
   *  @return whether the set changed. */
  bool ApplyChanges(StoreVersion aVersion,
                    std::vector<EvacuationChange> aChanges);

  /** Replaces the set by a later one, read from the store or received from
   *  another node.
   *  @return whether the set changed. */
  bool Replace(Evacuations aEvacuations);

  [[nodiscard]] bool Contains(std::string_view aDataCentre) const
  {
    return mCurrent.mDataCentres.contains(aDataCentre);
  }

  [[nodiscard]] const Evacuations& Current() const { return mCurrent; }

  /** @return a hash of the names, 0 for the empty set. Two nodes whose hashes
   *    differ have different sets. */
  [[nodiscard]] std::uint64_t Digest() const { return mDigest; }

private:
  void UpdateDigest();

  Evacuations mCurrent;
  std::uint64_t mDigest = 0;
};

/** The restrictions for the target of one request. */
struct Placement
{
  AllowedRegions mRegions;
  /** The evacuated data centres, or nullptr if there are none. */
  const EvacuationSet* mEvacuations = nullptr;

  /** @return whether the target may be in this place. */
  [[nodiscard]] bool Allows(std::string_view aRegion,
                            std::string_view aDataCentre) const
  {
    return mRegions.Allows(aRegion) &&
           (mEvacuations == nullptr || !mEvacuations->Contains(aDataCentre));
  }

  /** @return whether there can be a place that is not allowed. */
  [[nodiscard]] bool IsRestricted() const
  {
    return mRegions.IsRestricted() ||
           (mEvacuations != nullptr && mEvacuations->Digest() != 0);
  }
};

} // namespace papayaway::gateway
