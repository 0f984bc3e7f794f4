#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include <base/Finding.h>
#include <base/Millis.h>
#include <config/SettingsKeys.h>

namespace papayaway {

/** The validated settings of papayaway-sidecar. Addresses are "IPv4:port". */
struct SidecarSettings
{
  // [node]
  std::string mName;
  std::string mDataCentre;
  std::string mRegion;
  /** Whether this is the first start of the whole system. */
  bool mFirstStart = false;

  // [listen]
  /** Listens for callers on this host and for calls from the local target. */
  std::string mCallerAddress;
  /** Listens for check-ins of the local target. */
  std::string mAdminAddress;
  /** Listens for readiness probes: whether this node accepts new callers. */
  std::string mReadinessAddress;
  /** Serves counters and histograms to the monitoring system. */
  std::string mMetricsAddress;
  /** Listens for links from other nodes. */
  std::string mPeerAddress;

  // [target]
  std::string mTargetAddress;
  std::string mService;
  /** The interval between check-ins of the target. */
  Millis mCheckInPeriod{ 1500 };

  // [store]
  std::string mStoreAddress;

  // [limits]
  /** The time within which a change of the operator rows must be in force on
   *  all nodes. */
  Millis mPropagationLimit = Seconds(2);
  /** The time between SIGTERM and SIGKILL. */
  Millis mGracePeriod = Seconds(6);
  /** The maximum fraction of the requests of a service, over all nodes, that
   *  are sent to a second target. */
  double mMaxRetryFraction = 0.2;
  /** In any second, a cold target may get its tolerated rate times this factor
   *  plus mColdSlack requests. */
  double mColdFactor = 1.5;
  double mColdSlack = 8;
  /** Whether starting targets that report their present speed are paced
   * although their service has no cold rate. */
  bool mPaceReportedSpeed = false;
  /** How long after the order to evacuate a data centre its targets may still
   *  get requests. */
  Millis mEvacuationLimit = Seconds(5);
  /** In any window of this length, a tenant may get what its usage cap allows,
   *  plus this fraction of it, plus mQuotaSlack requests. */
  Millis mQuotaWindow = Seconds(5);
  double mQuotaExcess = 0.1;
  double mQuotaSlack = 20;
  /** Whether a node refuses tenants when it has been unable to confirm for
   *  mRevocationLimit that its desired state is the newest. */
  bool mStrictRevocation = false;
  Millis mRevocationLimit = Seconds(5);

  bool operator==(const SidecarSettings&) const = default;
};

/**
 * Parses and validates settings in INI format.
 *
 * @return the settings, or all findings with file, line and "[section] key".
 */
tl::expected<SidecarSettings, Findings> ParseSidecarSettings(
  std::string_view aText,
  const std::string& aFile);

/** @return all keys that ParseSidecarSettings() accepts, for the test that
 *    checks the documentation. */
std::vector<SettingsKey> KnownSidecarSettingsKeys();

} // namespace papayaway
