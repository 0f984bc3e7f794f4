#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace papayaway {

/** Remembers the last ids of flooded messages, so that each is handled and
 *  passed on once. */
class RecentIds
{
public:
  explicit RecentIds(std::size_t aMax)
    : mMax(aMax)
  {
  }

  /** @return whether aId is new; it is then remembered in place of the oldest
   *    if there are too many. */
  bool Insert(const std::string& aId)
  {
    if (!mIds.insert(aId).second) {
      return false;
    }
    mOrder.push_back(aId);
    if (mOrder.size() > mMax) {
      mIds.erase(mOrder.front());
      mOrder.pop_front();
    }
    return true;
  }

private:
  std::size_t mMax;
  std::unordered_set<std::string> mIds;
  std::deque<std::string> mOrder;
};

} // namespace papayaway
