#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace papayaway {

/** The versioned rows of the platform stand-in. */
class Table
{
public:
  using Version = std::uint64_t;

  struct Row
  {
    Version mVersion = 0;
    nlohmann::json mValue;
  };

  /** The version that a row must have; 0 means that it must not exist. */
  struct Condition
  {
    std::string mKey;
    Version mVersion = 0;
  };

  using Rows = std::map<std::string, Row, std::less<>>;

  /** @return the row, or nullptr if it does not exist. The pointer is valid
   *    until the next change of the table. */
  [[nodiscard]] const Row* Read(std::string_view aKey) const;

  /** @return the rows whose keys start with aPrefix, ordered by key. */
  [[nodiscard]] std::vector<std::pair<std::string, Row>> Scan(
    std::string_view aPrefix) const;

  /** @return the keys of the conditions that do not hold, with the current
   *    versions of the rows. */
  [[nodiscard]] std::vector<Condition> FailedConditions(
    const std::vector<Condition>& aConditions) const;

  /** Writes a row. @return its new version. */
  Version Write(const std::string& aKey, nlohmann::json aValue);

  void Delete(std::string_view aKey);

  [[nodiscard]] std::size_t Size() const { return mRows.size(); }

private:
  Rows mRows;
  // The highest version of any deleted row. The versions of a new row start
  // above it, so that a version is never reused for a key and a condition on a
  // deleted row can't hold for its successor.
  Version mDeletedVersion = 0;
};

} // namespace papayaway
