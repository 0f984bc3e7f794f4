#pragma once

#include <string>
#include <vector>

namespace papayaway {

/** A key of the settings that ParseNodeSettings() knows. */
struct SettingsKey
{
  std::string mSection;
  std::string mName;
  bool mRequired = false;

  bool operator==(const SettingsKey&) const = default;
};

/** @return every known key, in the order of the reference page. */
std::vector<SettingsKey> KnownSettingsKeys();

} // namespace papayaway
