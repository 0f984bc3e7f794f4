#pragma once

#include <optional>
#include <string>
#include <vector>

#include <base/Millis.h>

namespace papayaway {

/** Shares are counted in thousandths of a service's calls. */
constexpr int kWholeShare = 1000;

/** A version of a service and its share of the calls. */
struct VersionShare
{
  std::string mName;
  int mShare = 0;

  // clang-tidy 14 reports the 0 that the compiler puts into "(a <=> b) < 0".
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const VersionShare&) const = default;
};

/** The order to move all calls of a service to one version. */
struct VersionMove
{
  std::string mTo;
  /** The time the move may take from its start. */
  Millis mDeadline = Seconds(600);
  /** Raised by the operator to try a version again that was taken back. */
  int mAttempt = 1;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const VersionMove&) const = default;
};

struct Service
{
  std::string mName;
  std::vector<VersionShare> mVersions;
  std::optional<VersionMove> mMove;
  /** Calls that one endpoint runs at a time. */
  int mSlots = 1;
  /** Connections that one endpoint accepts. */
  int mConnections = 1;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Service&) const = default;
};

struct Route
{
  std::string mPrefix;
  /** Empty for every method. */
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

/** What operators promote: the configuration of one environment. */
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
