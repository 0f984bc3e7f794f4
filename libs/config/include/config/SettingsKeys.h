#pragma once

#include <string>
#include <vector>

namespace papayaway {

/** A key of a settings file. */
struct SettingsKey
{
  std::string mSection;
  std::string mName;
  bool mRequired = false;

  bool operator==(const SettingsKey&) const = default;
};

/** @return all keys that ParseNodeSettings() accepts, in the order of the
 *    reference page. */
std::vector<SettingsKey> KnownNodeSettingsKeys();

} // namespace papayaway
