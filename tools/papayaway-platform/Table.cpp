#include "Table.h"

#include <algorithm>

namespace papayaway {

const Table::Row*
Table::Read(std::string_view aKey) const
{
  const auto found = mRows.find(aKey);
  return found == mRows.end() ? nullptr : &found->second;
}

std::vector<std::pair<std::string, Table::Row>>
Table::Scan(std::string_view aPrefix) const
{
  std::vector<std::pair<std::string, Row>> rows;
  for (auto row = mRows.lower_bound(aPrefix);
       row != mRows.end() && row->first.starts_with(aPrefix);
       ++row) {
    rows.emplace_back(*row);
  }
  return rows;
}

std::vector<Table::Condition>
Table::FailedConditions(const std::vector<Condition>& aConditions) const
{
  std::vector<Condition> failed;
  for (const Condition& condition : aConditions) {
    const Row* const row = Read(condition.mKey);
    const Version version = row == nullptr ? 0 : row->mVersion;
    if (version != condition.mVersion) {
      failed.push_back({ condition.mKey, version });
    }
  }
  return failed;
}

Table::Version
Table::Write(const std::string& aKey, nlohmann::json aValue)
{
  const auto [row, added] = mRows.try_emplace(aKey);
  row->second.mVersion = (added ? mDeletedVersion : row->second.mVersion) + 1;
  row->second.mValue = std::move(aValue);
  return row->second.mVersion;
}

void
Table::Delete(std::string_view aKey)
{
  const auto found = mRows.find(aKey);
  if (found != mRows.end()) {
    mDeletedVersion = std::max(mDeletedVersion, found->second.mVersion);
    mRows.erase(found);
  }
}

} // namespace papayaway
