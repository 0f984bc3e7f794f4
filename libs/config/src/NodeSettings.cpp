#include <config/NodeSettings.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>

#include <arpa/inet.h>

#include <config/Names.h>
#include <config/SettingsKeys.h>

#include "IniReader.h"
#include "SortFindings.h"

namespace papayaway {
namespace {

// Shorter secrets can be found by trying them out.
constexpr std::size_t kMinSecretLength = 16;
constexpr std::size_t kMaxSecretLength = 128;
constexpr std::size_t kMaxSeeds = 64;

constexpr std::uint64_t kKiB = 1024;
constexpr std::uint64_t kMiB = 1024 * kKiB;
// A body and its headers must fit into one peer frame of 4 MiB.
constexpr std::uint64_t kMostBody = 3 * kMiB;

// Stores a value. @return what is wrong with it, or "".
using Setter = std::function<std::string(NodeSettings&, const std::string&)>;

struct KeyRule
{
  SettingsKey mKey;
  Setter mSet;
  /** Whether the key may appear again to add to its list. */
  bool mRepeats = false;
};

bool
IsAddress(std::string_view aText, bool aAnyPort)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string host(aText.substr(0, colon));
  const std::string_view digits = aText.substr(colon + 1);
  const char* const end = digits.data() + digits.size();
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(digits.data(), end, port);
  in_addr address{};
  return parsed.ec == std::errc() && parsed.ptr == end &&
         (aAnyPort || port != 0) &&
         inet_pton(AF_INET, host.c_str(), &address) == 1;
}

Setter
Name(std::string NodeSettings::*aMember)
{
  return [aMember](NodeSettings& aSettings, const std::string& aValue) {
    aSettings.*aMember = aValue;
    return IsValidName(aValue) ? "" : "the name " + std::string(kNameRule);
  };
}

// Port 0 is accepted for listeners only: the system then chooses the port.
Setter
Address(std::string NodeSettings::*aMember, bool aAnyPort)
{
  return [=](NodeSettings& aSettings, const std::string& aValue) {
    aSettings.*aMember = aValue;
    return IsAddress(aValue, aAnyPort)
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
      std::all_of(aValue.begin(), aValue.end(), [](char aLetter) {
        return aLetter > ' ' && aLetter <= '~';
      });
    return fits ? ""
                : "must be " + std::to_string(kMinSecretLength) + " to " +
                    std::to_string(kMaxSecretLength) +
                    " printable characters without spaces";
  };
}

Setter
Number(const std::function<void(NodeSettings&, std::uint64_t)>& aStore,
       std::uint64_t aLeast,
       std::uint64_t aMost)
{
  return [=](NodeSettings& aSettings, const std::string& aValue) {
    const char* const end = aValue.data() + aValue.size();
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(aValue.data(), end, number);
    if (parsed.ptr != end || parsed.ec == std::errc::invalid_argument) {
      return "\"" + aValue + "\" is not a whole number";
    }
    if (parsed.ec != std::errc() || number < aLeast || number > aMost) {
      return "must be from " + std::to_string(aLeast) + " to " +
             std::to_string(aMost);
    }
    aStore(aSettings, number);
    return std::string();
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

const std::vector<KeyRule>&
Rules()
{
  using S = NodeSettings;
  static const std::vector<KeyRule> rules = {
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
                std::uint64_t aNumber) { aSettings.mMaxBody = aNumber; },
             kKiB,
             kMostBody) },
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

std::string
PathOf(const std::string& aSection, const std::string& aKey)
{
  return "[" + aSection + "]" + (aKey.empty() ? "" : " " + aKey);
}

// Applies the entries to settings and collects what is wrong.
class SettingsReader
{
public:
  SettingsReader(const std::string& aFile, Findings& aFindings)
    : mFile(aFile)
    , mFindings(aFindings)
  {
  }

  NodeSettings Read(const IniContent& aContent)
  {
    for (const IniEntry& section : aContent.mSections) {
      if (!IsKnownSection(section.mSection)) {
        Report(section, "unknown section");
      }
    }
    for (const IniEntry& entry : aContent.mEntries) {
      Apply(entry);
    }
    for (const KeyRule& rule : Rules()) {
      const std::string path = PathOf(rule.mKey.mSection, rule.mKey.mName);
      if (rule.mKey.mRequired && mLineOf.count(path) == 0) {
        mFindings.push_back({ mFile, 0, path, "the key is missing" });
      }
    }
    return std::move(mSettings);
  }

private:
  static bool IsKnownSection(const std::string& aName)
  {
    return std::any_of(
      Rules().begin(), Rules().end(), [&](const KeyRule& aRule) {
        return aRule.mKey.mSection == aName;
      });
  }

  void Apply(const IniEntry& aEntry)
  {
    const auto rule =
      std::find_if(Rules().begin(), Rules().end(), [&](const KeyRule& aRule) {
        return aRule.mKey.mSection == aEntry.mSection &&
               aRule.mKey.mName == aEntry.mKey;
      });
    if (rule == Rules().end()) {
      // The keys of an unknown section are covered by its own finding.
      if (aEntry.mSection.empty() || IsKnownSection(aEntry.mSection)) {
        Report(aEntry, "unknown key");
      }
      return;
    }
    const auto [at, first] =
      mLineOf.emplace(PathOf(aEntry.mSection, aEntry.mKey), aEntry.mLine);
    if (!first && !rule->mRepeats) {
      Report(aEntry,
             "the key appears again; it is also on line " +
               std::to_string(at->second));
      return;
    }
    std::string fault = rule->mSet(mSettings, aEntry.mValue);
    if (!fault.empty()) {
      Report(aEntry, std::move(fault));
    }
  }

  void Report(const IniEntry& aEntry, std::string aMessage)
  {
    mFindings.push_back({ mFile,
                          aEntry.mLine,
                          PathOf(aEntry.mSection, aEntry.mKey),
                          std::move(aMessage) });
  }

  const std::string& mFile;
  Findings& mFindings;
  NodeSettings mSettings;
  std::map<std::string, int> mLineOf;
};

} // namespace

std::vector<SettingsKey>
KnownSettingsKeys()
{
  std::vector<SettingsKey> keys;
  for (const KeyRule& rule : Rules()) {
    keys.push_back(rule.mKey);
  }
  return keys;
}

tl::expected<NodeSettings, Findings>
ParseNodeSettings(std::string_view aText, const std::string& aFile)
{
  Findings findings;
  const IniContent content = ReadIni(aText, aFile, findings);
  NodeSettings settings = SettingsReader(aFile, findings).Read(content);
  if (!findings.empty()) {
    SortByLine(findings);
    return tl::unexpected(std::move(findings));
  }
  return settings;
}

} // namespace papayaway
