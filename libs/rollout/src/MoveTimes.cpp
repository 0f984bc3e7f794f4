#include <rollout/MoveTimes.h>

#include <algorithm>

namespace papayaway {
namespace {

/** Exceeds the number of moves that all services have in progress at once. */
constexpr std::size_t kMaxMoves = 1024;

} // namespace

MoveTimes
MoveTimesTracker::Observe(const MoveFact& aFact, Millis aNow)
{
  const MoveKey key{ aFact.mService, aFact.mTo, aFact.mAttempt };
  auto it = mMoveTimes.find(key);
  if (it == mMoveTimes.end()) {
    if (mMoveTimes.size() >= kMaxMoves) {
      mMoveTimes.erase(std::min_element(
        mMoveTimes.begin(),
        mMoveTimes.end(),
        [](const auto& aLeft, const auto& aRight) {
          return aLeft.second.mStageFirstSeen < aRight.second.mStageFirstSeen;
        }));
    }
    it = mMoveTimes
           .emplace(key,
                    MoveTimes{ .mMoveFirstSeen = aNow,
                               .mStage = aFact.mStage,
                               .mStageFirstSeen = aNow })
           .first;
  }
  MoveTimes& times = it->second;
  if (times.mStage != aFact.mStage) {
    times.mStage = aFact.mStage;
    times.mStageFirstSeen = aNow;
  }
  if (aFact.mState == MoveState::Finished) {
    times.mFinishFirstSeen = std::min(times.mFinishFirstSeen, aNow);
  }
  return times;
}

} // namespace papayaway
