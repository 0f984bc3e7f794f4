#include <config/NodeSettings.h>

#include <algorithm>
#include <functional>

#include <config/Names.h>
#include <config/SettingsKeys.h>

#include "IniReader.h"
#include "SettingsReader.h"
#include "SettingsValues.h"
#include "SortFindings.h"

namespace papayaway {
namespace {

// Shorter secrets are open to brute-force attacks.
constexpr std::size_t kMinSecretLength = 16;
constexpr std::size_t kMaxSecretLength = 128;
constexpr std::size_t kMaxSeeds = 64;

constexpr std::uint64_t kKiB = 1024;
constexpr std::uint64_t kMiB = 1024 * kKiB;
// A body and its headers must fit into one peer frame, which is limited to
// 4 MiB.
constexpr std::uint64_t kMaxBodyBytes = 3 * kMiB;

using Setter = KeyRule<NodeSettings>::Setter;

Setter
Name(std::string NodeSettings::*aMember)
{
  return [aMember](NodeSettings& aSettings, const std::string& aValue) {
    aSettings.*aMember = aValue;
    return IsValidName(aValue) ? "" : "the name " + std::string(kNameRule);
  };
}

// Port 0 is accepted for listeners only; the operating system then chooses the
// port.
Setter
Address(std::string NodeSettings::*aMember, bool aAllowPortZero)
{
  return [=](NodeSettings& aSettings, const std::string& aValue) {
    aSettings.*aMember = aValue;
    return IsAddress(aValue, aAllowPortZero)
             ? ""
             : "\"" + aValue + "\" is not an address IPv4:port";
  };
}

Setter
Secret(std::string NodeSettings::*aMember)
{
  return [aMember](NodeSettings& aSettings, const std::string& aValue) {
    aSettings.*aMember = aValue;
    const bool fits =
      aValue.size() >= kMinSecretLength && aValue.size() <= kMaxSecretLength &&
      std::all_of(aValue.begin(), aValue.end(), [](char aCharacter) {
        return aCharacter > ' ' && aCharacter <= '~';
      });
    return fits ? ""
                : "must be " + std::to_string(kMinSecretLength) + " to " +
                    std::to_string(kMaxSecretLength) +
                    " printable characters without spaces";
  };
}

Setter
Number(const std::function<void(NodeSettings&, std::uint64_t)>& aStore,
       std::uint64_t aMin,
       std::uint64_t aMax)
{
  return [=](NodeSettings& aSettings, const std::string& aValue) {
    std::uint64_t number = 0;
    std::string message = ParseUnsigned(aValue, aMin, aMax, number);
    if (message.empty()) {
      aStore(aSettings, number);
    }
    return message;
  };
}

std::string
AddSeeds(NodeSettings& aSettings, const std::string& aValue)
{
  constexpr std::string_view kSeparators = ", \t";
  std::string_view rest = aValue;
  while (true) {
    rest.remove_prefix(
      std::min(rest.find_first_not_of(kSeparators), rest.size()));
    if (rest.empty()) {
      return "";
    }
    const std::string seed(rest.substr(0, rest.find_first_of(kSeparators)));
    rest.remove_prefix(seed.size());
    if (!IsAddress(seed, false)) {
      return "\"" + seed + "\" is not an address IPv4:port";
    }
    if (aSettings.mSeeds.size() == kMaxSeeds) {
      return "there are more than " + std::to_string(kMaxSeeds) + " seeds";
    }
    aSettings.mSeeds.push_back(seed);
  }
}

const std::vector<KeyRule<NodeSettings>>&
Rules()
{
  using S = NodeSettings;
  static const std::vector<KeyRule<NodeSettings>> rules = {
    { { "node", "name", true }, Name(&S::mName) },
    { { "node", "data_centre", true }, Name(&S::mDataCentre) },
    { { "node", "region", true }, Name(&S::mRegion) },
    { { "node", "environment" }, Name(&S::mEnvironment) },
    { { "listen", "caller", true }, Address(&S::mCallerAddress, true) },
    { { "listen", "admin", true }, Address(&S::mAdminAddress, true) },
    { { "listen", "peer", true }, Address(&S::mPeerAddress, true) },
    { { "platform", "address", true }, Address(&S::mPlatformAddress, false) },
    { { "peers", "seeds" }, AddSeeds, true },
    { { "peers", "key", true }, Secret(&S::mPeerKey) },
    { { "operator", "token", true }, Secret(&S::mOperatorToken) },
    { { "limits", "max_body" },
      Number([](S& aSettings,
                std::uint64_t aNumber) { aSettings.mMaxBodyBytes = aNumber; },
             kKiB,
             kMaxBodyBytes) },
    { { "limits", "drain_timeout_ms" },
      Number(
        [](S& aSettings, std::uint64_t aNumber) {
          aSettings.mDrainTimeout = { static_cast<double>(aNumber) };
        },
        0,
        600'000) },
    { { "limits", "max_record_bytes" },
      Number([](S& aSettings,
                std::uint64_t aNumber) { aSettings.mMaxRecordBytes = aNumber; },
             64 * kKiB,
             1024 * kMiB) },
  };
  return rules;
}

} // namespace

std::vector<SettingsKey>
KnownNodeSettingsKeys()
{
  std::vector<SettingsKey> keys;
  for (const KeyRule<NodeSettings>& rule : Rules()) {
    keys.push_back(rule.mKey);
  }
  return keys;
}

tl::expected<NodeSettings, Findings>
ParseNodeSettings(std::string_view aText, const std::string& aFile)
{
  Findings findings;
  const IniContent content = ReadIni(aText, aFile, findings);
  NodeSettings settings =
    SettingsReader<NodeSettings>(Rules(), aFile, findings).Read(content);
  if (!findings.empty()) {
    SortByLine(findings);
    return tl::unexpected(std::move(findings));
  }
  return settings;
}

} // namespace papayaway
