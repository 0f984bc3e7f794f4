#include <gateway/FollowerElection.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace papayaway::gateway {

bool
FollowerElection::Decide(std::string_view aOwn,
                         std::span<const FollowerCandidate> aNodes,
                         Millis aNow,
                         std::optional<Millis> aOverdueFor)
{
  std::size_t working = 0;
  std::vector<FollowerCandidate> others;
  for (const FollowerCandidate& node : aNodes) {
    if (node.mState != FollowState::Working) {
      others.push_back(node);
      continue;
    }
    if (node.mNode == aOwn) {
      mFailingSince.reset();
      return working < mOptions.mFollowers;
    }
    ++working;
  }
  if (working >= mOptions.mFollowers) {
    mFailingSince.reset();
    return false;
  }
  // The first nodes by name replace the missing followers, whether the store
  // answers them or not.
  const std::size_t missingFollowers =
    std::min(mOptions.mFollowers - working, others.size());
  const auto firstBegin = others.begin();
  const auto firstEnd =
    firstBegin + static_cast<std::ptrdiff_t>(missingFollowers);
  const auto isOwn = [&](const FollowerCandidate& aNode) {
    return aNode.mNode == aOwn;
  };
  const bool failing = std::any_of(firstBegin, firstEnd, [](const auto& aNode) {
    return aNode.mState == FollowState::Failing;
  });
  if (!failing) {
    mFailingSince.reset();
  } else if (!mFailingSince) {
    mFailingSince = aNow;
  }
  if (std::any_of(firstBegin, firstEnd, isOwn)) {
    return true;
  }
  const auto ownEntry = std::find_if(firstEnd, others.end(), isOwn);
  if ((!failing && !aOverdueFor) || ownEntry == others.end()) {
    return false;
  }
  // The other nodes probe the store in groups, one group in each interval.
  const auto position = static_cast<std::size_t>(ownEntry - firstEnd);
  const std::size_t group = position / mOptions.mProbingNodes;
  if (aOverdueFor && *aOverdueFor < mOptions.mTakeoverTime) {
    return *aOverdueFor >=
           mOptions.mTakeoverInterval * static_cast<double>(group);
  }
  if (!mFailingSince) {
    return false;
  }
  const auto groupCount =
    (others.size() - missingFollowers + mOptions.mProbingNodes - 1) /
    mOptions.mProbingNodes;
  const auto round = static_cast<std::size_t>(
    std::floor((aNow - *mFailingSince) / mOptions.mProbeInterval));
  return group == round % groupCount;
}

} // namespace papayaway::gateway
