#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <base/Finding.h>
#include <config/SettingsKeys.h>

#include "IniReader.h"

namespace papayaway {

/** A key of an INI file and the function that stores its value. */
template<typename Settings>
struct KeyRule
{
  /** Validates and stores a value. @return an error message, or "". */
  using Setter = std::function<std::string(Settings&, const std::string&)>;

  SettingsKey mKey;
  Setter mSet;
  /** Whether the key may appear several times, each adding to a list. */
  bool mRepeatable = false;
};

/** @return "[section] key", or "[section]" if aKey is empty. */
inline std::string
SettingsPath(const std::string& aSection, const std::string& aKey)
{
  return "[" + aSection + "]" + (aKey.empty() ? "" : " " + aKey);
}

/** Applies the entries of an INI file to settings and collects findings. */
template<typename Settings>
class SettingsReader
{
public:
  using Rules = std::vector<KeyRule<Settings>>;

  SettingsReader(const Rules& aRules,
                 const std::string& aFile,
                 Findings& aFindings)
    : mRules(aRules)
    , mFile(aFile)
    , mFindings(aFindings)
  {
  }

  Settings Read(const IniContent& aContent)
  {
    for (const IniEntry& section : aContent.mSections) {
      if (!IsKnownSection(section.mSection)) {
        Report(section, "unknown section");
      }
    }
    for (const IniEntry& entry : aContent.mEntries) {
      Apply(entry);
    }
    for (const KeyRule<Settings>& rule : mRules) {
      const std::string path =
        SettingsPath(rule.mKey.mSection, rule.mKey.mName);
      if (rule.mKey.mRequired && mFirstLineByPath.count(path) == 0) {
        mFindings.push_back({ mFile, 0, path, "the key is missing" });
      }
    }
    return std::move(mSettings);
  }

private:
  [[nodiscard]] bool IsKnownSection(const std::string& aName) const
  {
    return std::any_of(
      mRules.begin(), mRules.end(), [&](const KeyRule<Settings>& aRule) {
        return aRule.mKey.mSection == aName;
      });
  }

  void Apply(const IniEntry& aEntry)
  {
    const auto rule = std::find_if(
      mRules.begin(), mRules.end(), [&](const KeyRule<Settings>& aRule) {
        return aRule.mKey.mSection == aEntry.mSection &&
               aRule.mKey.mName == aEntry.mKey;
      });
    if (rule == mRules.end()) {
      // The keys of an unknown section get no findings, since the section has
      // one already.
      if (aEntry.mSection.empty() || IsKnownSection(aEntry.mSection)) {
        Report(aEntry, "unknown key");
      }
      return;
    }
    const auto [at, first] = mFirstLineByPath.emplace(
      SettingsPath(aEntry.mSection, aEntry.mKey), aEntry.mLine);
    if (!first && !rule->mRepeatable) {
      Report(aEntry,
             "duplicate key; it is first set on line " +
               std::to_string(at->second));
      return;
    }
    std::string message = rule->mSet(mSettings, aEntry.mValue);
    if (!message.empty()) {
      Report(aEntry, std::move(message));
    }
  }

  void Report(const IniEntry& aEntry, std::string aMessage)
  {
    mFindings.push_back({ mFile,
                          aEntry.mLine,
                          SettingsPath(aEntry.mSection, aEntry.mKey),
                          std::move(aMessage) });
  }

  const Rules& mRules;
  const std::string& mFile;
  Findings& mFindings;
  Settings mSettings;
  std::map<std::string, int> mFirstLineByPath;
};

} // namespace papayaway
