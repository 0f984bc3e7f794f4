#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace papayaway {

/** The rows of the stand-in and their versions. */
class Table
{
public:
  using Version = std::uint64_t;

  struct Row
  {
    Version mVersion = 0;
    nlohmann::json mValue;
  };

  /** A row that must have a version; 0 means that it must not exist. */
  struct Condition
  {
    std::string mKey;
    Version mVersion = 0;
  };

  using Rows = std::map<std::string, Row, std::less<>>;

  /** @return the row, or nullptr. It is valid until the next change. */
  [[nodiscard]] const Row* Read(std::string_view aKey) const;

  /** @return the rows whose keys start with aPrefix, ordered by key. */
  [[nodiscard]] std::vector<std::pair<std::string, Row>> Scan(
    std::string_view aPrefix) const;

  /** @return the keys of aConditions that do not hold, with the versions the
   *    rows have now. */
  [[nodiscard]] std::vector<Condition> Failed(
    const std::vector<Condition>& aConditions) const;

  /** Writes a row. @return its new version. */
  Version Write(const std::string& aKey, nlohmann::json aValue);

  void Delete(std::string_view aKey);

  [[nodiscard]] std::size_t Size() const { return mRows.size(); }

private:
  Rows mRows;
  // The highest version of any deleted row. A row that is created again
  // starts above it, so that a key never repeats a version and an old
  // condition can't hold by accident.
  Version mDeletedVersion = 0;
};

} // namespace papayaway
