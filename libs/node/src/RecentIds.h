#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace papayaway {

/** Remembers the most recent ids of broadcast messages, so that each message is
 *  handled and forwarded only once. */
class RecentIds
{
public:
  explicit RecentIds(std::size_t aMax)
    : mMax(aMax)
  {
  }

  /** Remembers aId, and forgets the oldest id if there are too many.
   *  @return whether aId is new. */
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
