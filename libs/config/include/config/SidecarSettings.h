#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include <base/Finding.h>
#include <base/Millis.h>
#include <config/SettingsKeys.h>

namespace papayaway {

/** The checked settings of papayaway-sidecar. Addresses are "IPv4:port". */
struct SidecarSettings
{
  // [node]
  std::string mName;
  std::string mDataCentre;
  std::string mRegion;
  /** Whether the whole system starts for the first time. */
  bool mFirstStart = false;

  // [listen]
  /** Callers on this host and the calls of the local target. */
  std::string mCallerAddress;
  /** Check-ins of the local target. */
  std::string mAdminAddress;
  /** Questions whether this node takes new callers. */
  std::string mReadinessAddress;
  /** Counters and histograms for monitoring. */
  std::string mMetricsAddress;
  /** Links of other nodes. */
  std::string mPeerAddress;

  // [target]
  std::string mTargetAddress;
  std::string mService;
  /** How often the target checks in. */
  Millis mCheckInPeriod{ 1500 };

  // [store]
  std::string mStoreAddress;

  // [limits]
  /** From SIGTERM to SIGKILL. */
  Millis mGrace = Seconds(6);
  /** Sent to a second target at most, as a part of the requests of a service
   *  over all nodes. */
  double mRepeatShare = 0.2;

  bool operator==(const SidecarSettings&) const = default;
};

/**
 * Reads and checks settings in INI form as a whole.
 *
 * @return the settings, or every finding with file, line and "[section] key".
 */
tl::expected<SidecarSettings, Findings> ParseSidecarSettings(
  std::string_view aText,
  const std::string& aFile);

/** @return all keys of the settings, for documentation and its test. */
std::vector<SettingsKey> KnownSidecarKeys();

} // namespace papayaway
