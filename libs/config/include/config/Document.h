#pragma once

#include <optional>
#include <string>
#include <vector>

#include <base/Millis.h>

namespace papayaway {

/** The sum of the shares of a service's versions. A share is given in
 *  thousandths of the calls of the service. */
constexpr int kTotalShare = 1000;

/** A version of a service and its share of the calls in thousandths. */
struct VersionShare
{
  std::string mName;
  int mShare = 0;

  // clang-tidy 14 reports the 0 that the compiler puts into "(a <=> b) < 0".
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const VersionShare&) const = default;
};

/** A request to move all calls of a service to one version. */
struct VersionMove
{
  std::string mTo;
  /** The maximum duration of the move, counted from its start. */
  Millis mDeadline = Seconds(600);
  /** Increased by the operator to start the move again after it was taken
   *  back. */
  int mAttempt = 1;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const VersionMove&) const = default;
};

struct Service
{
  std::string mName;
  std::vector<VersionShare> mVersions;
  std::optional<VersionMove> mMove;
  /** The maximum number of calls that one endpoint runs concurrently. */
  int mSlots = 1;
  /** The maximum number of connections that one endpoint accepts. */
  int mConnections = 1;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Service&) const = default;
};

struct Route
{
  std::string mPrefix;
  /** The HTTP methods that the route matches; empty for all methods. */
  std::vector<std::string> mMethods;
  std::string mService;
  bool mIdempotent = false;
  Millis mDeadline = Seconds(1);

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Route&) const = default;
};

struct RegionLayout
{
  std::string mName;
  std::vector<std::string> mDataCentres;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const RegionLayout&) const = default;
};

/** The configuration of one environment, which operators put in force by a
 *  promotion. */
struct Document
{
  std::string mCustomerHeader = "Papayaway-Customer";
  std::vector<RegionLayout> mRegions;
  std::vector<Service> mServices;
  std::vector<Route> mRoutes;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Document&) const = default;

  /** @return the service named aName, or nullptr. */
  [[nodiscard]] const Service* FindService(const std::string& aName) const;
};

} // namespace papayaway
