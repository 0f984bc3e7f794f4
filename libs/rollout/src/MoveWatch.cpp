#include <rollout/MoveWatch.h>

#include <algorithm>

namespace papayaway {
namespace {

/** More than the moves of all services in progress at one time. */
constexpr std::size_t kMaxWatches = 1024;

} // namespace

MoveWatch
MoveWatches::Observe(const MoveFact& aFact, Millis aNow)
{
  const MoveKey key{ aFact.mService, aFact.mTo, aFact.mAttempt };
  auto it = mWatches.find(key);
  if (it == mWatches.end()) {
    if (mWatches.size() >= kMaxWatches) {
      mWatches.erase(std::min_element(
        mWatches.begin(), mWatches.end(), [](const auto& aL, const auto& aR) {
          return aL.second.mStageSince < aR.second.mStageSince;
        }));
    }
    it = mWatches
           .emplace(key,
                    MoveWatch{ .mSince = aNow,
                               .mStage = aFact.mStage,
                               .mStageSince = aNow })
           .first;
  }
  MoveWatch& watch = it->second;
  if (watch.mStage != aFact.mStage) {
    watch.mStage = aFact.mStage;
    watch.mStageSince = aNow;
  }
  if (aFact.mState == MoveState::Finished) {
    watch.mFinishedSince = std::min(watch.mFinishedSince, aNow);
  }
  return watch;
}

} // namespace papayaway
