#include <gateway/StoreConfirmations.h>

#include <algorithm>

namespace papayaway::gateway {

namespace {

/** The time that a change needs from the node that has read it until it is in
 *  force on all nodes, if another change has just preceded it. */
constexpr Millis kSpreadTime{ 500 };
constexpr Millis kMinWait{ 50 };
/** The fractions of the remaining time that a call waits at the store, and that
 *  its answer may be late. */
constexpr double kWaitFraction = 1.0 / 3;
constexpr double kLatenessFraction = 1.0 / 5;
/** Followers without a confirmation for this many times mMaxAge are removed. */
constexpr double kRetention = 20;

} // namespace

FollowSchedule
MakeFollowSchedule(Millis aPropagationLimit, Millis aBatchDelay)
{
  const Millis available = aPropagationLimit - kSpreadTime;
  const Millis wait = std::max(kMinWait, available * kWaitFraction);
  const Millis maxAge =
    wait + aBatchDelay + std::max(kMinWait, available * kLatenessFraction);
  return { .mWait = wait,
           .mMaxAge = maxAge,
           .mTakeoverTime = std::max(Millis{}, available - maxAge) };
}

bool
StoreConfirmations::OnConfirmed(const std::string& aNode,
                                Millis aAt,
                                Millis aNow)
{
  std::erase_if(mFollowers, [&](const auto& aEntry) {
    const Follower& follower = aEntry.second;
    return aNow - follower.mConfirmedAt.value_or(follower.mFirstSeen) >
           mSchedule.mMaxAge * kRetention;
  });
  Follower& follower =
    mFollowers.try_emplace(aNode, Follower{ .mFirstSeen = aNow }).first->second;
  if (follower.mConfirmedAt && *follower.mConfirmedAt >= aAt) {
    return false;
  }
  follower.mConfirmedAt = aAt;
  mNewest = std::max(mNewest.value_or(aAt), aAt);
  return true;
}

void
StoreConfirmations::OnFollower(const std::string& aNode, Millis aNow)
{
  mFollowers.try_emplace(aNode, Follower{ .mFirstSeen = aNow });
}

bool
StoreConfirmations::IsConfirmed(const std::string& aNode, Millis aNow) const
{
  const auto found = mFollowers.find(aNode);
  return found != mFollowers.end() &&
         aNow - found->second.mConfirmedAt.value_or(found->second.mFirstSeen) <=
           mSchedule.mMaxAge;
}

std::optional<Millis>
StoreConfirmations::OverdueFor(Millis aNow) const
{
  if (!mNewest || aNow - *mNewest <= mSchedule.mMaxAge) {
    return std::nullopt;
  }
  return aNow - *mNewest - mSchedule.mMaxAge;
}

} // namespace papayaway::gateway
