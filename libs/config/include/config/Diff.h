#pragma once

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include <config/Document.h>

namespace papayaway {

enum class ChangeKind
{
  Added,
  Removed,
  Changed,
};

/** One difference between two documents. */
struct Change
{
  ChangeKind mKind = ChangeKind::Changed;
  /** The path of the value. Array elements are given by name instead of by
   *  index: "services[hammer].versions[v1].share" or
   *  "routes[POST /bids].deadline_ms". */
  std::string mPath;
  /** The values as JSON text; mOld is empty for an added value, mNew for a
   *  removed one. */
  std::string mOld;
  std::string mNew;

  bool operator==(const Change&) const = default;
};

/**
 * Compares two documents. Services, versions and regions are matched by name
 * and routes by prefix and methods; the order of elements is ignored.
 *
 * @return the changes from aOld to aNew, sorted by path.
 */
std::vector<Change> Diff(const Document& aOld, const Document& aNew);

/** @return one line per change, each ending with a newline. */
std::string ToString(const std::vector<Change>& aChanges);

/** @return an array of {"kind","path","old","new"}; "old" is left out for an
 *    added value and "new" for a removed one. */
nlohmann::json ToJson(const std::vector<Change>& aChanges);

} // namespace papayaway
