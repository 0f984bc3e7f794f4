#include <gateway/FollowerElection.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace papayaway::gateway {

bool
FollowerElection::Decide(std::string_view aOwn,
                         std::span<const FollowerCandidate> aNodes,
                         Millis aNow)
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
  const std::size_t missing =
    std::min(mOptions.mFollowers - working, others.size());
  const auto first = others.begin();
  const auto rest = first + static_cast<std::ptrdiff_t>(missing);
  const auto isOwn = [&](const FollowerCandidate& aNode) {
    return aNode.mNode == aOwn;
  };
  const bool failing = std::any_of(first, rest, [](const auto& aNode) {
    return aNode.mState == FollowState::Failing;
  });
  if (!failing) {
    mFailingSince.reset();
  } else if (!mFailingSince) {
    mFailingSince = aNow;
  }
  if (std::any_of(first, rest, isOwn)) {
    return true;
  }
  const auto own = std::find_if(rest, others.end(), isOwn);
  if (!failing || own == others.end()) {
    return false;
  }
  const auto place = static_cast<std::size_t>(own - rest);
  const auto groups =
    (others.size() - missing + mOptions.mExplorers - 1) / mOptions.mExplorers;
  const auto turn = static_cast<std::size_t>(
    std::floor((aNow - *mFailingSince) / mOptions.mTurn));
  return place / mOptions.mExplorers == turn % groups;
}

} // namespace papayaway::gateway
