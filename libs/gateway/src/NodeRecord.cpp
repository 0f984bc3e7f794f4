#include <gateway/NodeRecord.h>

#include <algorithm>
#include <tuple>

namespace papayaway::gateway {

bool
MergeLeftTargets(std::vector<LeftTarget>& aKnown,
                 const std::vector<LeftTarget>& aMore)
{
  const std::vector<LeftTarget> before = aKnown;
  for (const LeftTarget& target : aMore) {
    const auto same =
      std::find_if(aKnown.begin(), aKnown.end(), [&](const auto& aOther) {
        return aOther.mId == target.mId;
      });
    if (same == aKnown.end()) {
      aKnown.push_back(target);
    } else {
      same->mStartedUntil = std::max(same->mStartedUntil, target.mStartedUntil);
    }
  }
  std::sort(
    aKnown.begin(), aKnown.end(), [](const auto& aOne, const auto& aTwo) {
      return std::tie(aOne.mStartedUntil, aOne.mId) <
             std::tie(aTwo.mStartedUntil, aTwo.mId);
    });
  if (aKnown.size() > kMaxLeftTargets) {
    aKnown.erase(aKnown.begin(), aKnown.end() - kMaxLeftTargets);
  }
  return aKnown != before;
}

} // namespace papayaway::gateway
