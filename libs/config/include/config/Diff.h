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
  /** Elements are named, not counted: "services[hammer].versions[v1].share"
   *  or "routes[POST /bids].deadline_ms". */
  std::string mPath;
  /** The values as JSON text; empty for what did not or does not exist. */
  std::string mOld;
  std::string mNew;

  bool operator==(const Change&) const = default;
};

/**
 * Compares two documents. Services, versions and regions are matched by name
 * and routes by prefix and methods; the order of elements is no difference.
 *
 * @return the changes that lead from aOld to aNew, ordered by path.
 */
std::vector<Change> Diff(const Document& aOld, const Document& aNew);

/** @return one line per change, each ending with a newline. */
std::string ToString(const std::vector<Change>& aChanges);

/** @return an array of {"kind","path","old","new"}. */
nlohmann::json ToJson(const std::vector<Change>& aChanges);

} // namespace papayaway
