#include <config/SidecarSettings.h>

#include <charconv>

#include <config/Names.h>

#include "SettingsReader.h"
#include "SettingsValues.h"
#include "SortFindings.h"

namespace papayaway {

namespace {

using S = SidecarSettings;
using Setter = KeyRule<S>::Setter;

Setter
Name(std::string S::*aMember)
{
  return [aMember](S& aSettings, const std::string& aValue) {
    aSettings.*aMember = aValue;
    return IsValidName(aValue) ? "" : "the name " + std::string(kNameRule);
  };
}

Setter
Address(std::string S::*aMember, bool aAllowPortZero)
{
  return [=](S& aSettings, const std::string& aValue) {
    aSettings.*aMember = aValue;
    return IsAddress(aValue, aAllowPortZero)
             ? ""
             : "\"" + aValue + "\" is not an address IPv4:port";
  };
}

Setter
Duration(Millis S::*aMember, std::uint64_t aMin, std::uint64_t aMax)
{
  return [=](S& aSettings, const std::string& aValue) {
    std::uint64_t number = 0;
    std::string message = ParseUnsigned(aValue, aMin, aMax, number);
    aSettings.*aMember = Millis{ static_cast<double>(number) };
    return message;
  };
}

Setter
NumberUpTo(double S::*aMember, int aMax)
{
  return [=](S& aSettings, const std::string& aValue) {
    const char* const end = aValue.data() + aValue.size();
    double& number = aSettings.*aMember;
    const auto parsed = std::from_chars(aValue.data(), end, number);
    return parsed.ec == std::errc() && parsed.ptr == end && number >= 0 &&
               number <= aMax
             ? ""
             : "\"" + aValue + "\" is not a number from 0 to " +
                 std::to_string(aMax);
  };
}

Setter
Boolean(bool S::*aMember)
{
  return [=](S& aSettings, const std::string& aValue) {
    aSettings.*aMember = aValue == "true";
    return aValue == "true" || aValue == "false"
             ? ""
             : "\"" + aValue + "\" is neither true nor false";
  };
}

const std::vector<KeyRule<S>>&
Rules()
{
  static const std::vector<KeyRule<S>> rules = {
    { { "node", "name", true }, Name(&S::mName) },
    { { "node", "data_centre", true }, Name(&S::mDataCentre) },
    { { "node", "region", true }, Name(&S::mRegion) },
    { { "node", "first_start" }, Boolean(&S::mFirstStart) },
    { { "listen", "caller", true }, Address(&S::mCallerAddress, true) },
    { { "listen", "admin", true }, Address(&S::mAdminAddress, true) },
    { { "listen", "readiness", true }, Address(&S::mReadinessAddress, true) },
    { { "listen", "metrics", true }, Address(&S::mMetricsAddress, true) },
    { { "listen", "peer", true }, Address(&S::mPeerAddress, true) },
    { { "target", "address", true }, Address(&S::mTargetAddress, false) },
    { { "target", "service", true }, Name(&S::mService) },
    { { "target", "check_in_ms" }, Duration(&S::mCheckInPeriod, 10, 600'000) },
    { { "store", "address", true }, Address(&S::mStoreAddress, false) },
    { { "limits", "propagation_ms" },
      Duration(&S::mPropagationLimit, 1, 600'000) },
    { { "limits", "grace_ms" }, Duration(&S::mGracePeriod, 0, 600'000) },
    { { "limits", "repeat_share" }, NumberUpTo(&S::mMaxRetryFraction, 1) },
    { { "limits", "cold_factor" }, NumberUpTo(&S::mColdFactor, 100) },
    { { "limits", "cold_slack" }, NumberUpTo(&S::mColdSlack, 100'000) },
    { { "limits", "pace_reported_speed" }, Boolean(&S::mPaceReportedSpeed) },
    { { "limits", "evacuation_ms" },
      Duration(&S::mEvacuationLimit, 0, 600'000) },
    { { "limits", "quota_window_ms" },
      Duration(&S::mQuotaWindow, 100, 600'000) },
    { { "limits", "quota_excess" }, NumberUpTo(&S::mQuotaExcess, 10) },
    { { "limits", "quota_slack" }, NumberUpTo(&S::mQuotaSlack, 100'000) },
    { { "limits", "strict_revocation" }, Boolean(&S::mStrictRevocation) },
    { { "limits", "revocation_ms" },
      Duration(&S::mRevocationLimit, 0, 600'000) },
  };
  return rules;
}

} // namespace

std::vector<SettingsKey>
KnownSidecarSettingsKeys()
{
  std::vector<SettingsKey> keys;
  for (const KeyRule<S>& rule : Rules()) {
    keys.push_back(rule.mKey);
  }
  return keys;
}

tl::expected<SidecarSettings, Findings>
ParseSidecarSettings(std::string_view aText, const std::string& aFile)
{
  Findings findings;
  const IniContent content = ReadIni(aText, aFile, findings);
  SidecarSettings settings =
    SettingsReader<S>(Rules(), aFile, findings).Read(content);
  if (!findings.empty()) {
    SortByLine(findings);
    return tl::unexpected(std::move(findings));
  }
  return settings;
}

} // namespace papayaway
