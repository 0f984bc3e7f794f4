#include <gateway/StartupQueue.h>

#include <algorithm>

namespace papayaway::gateway {

StartupQueue::StartupQueue(StartupQueueOptions aOptions, Millis aStart)
  : mOptions(aOptions)
  , mWindowEnd(aStart + aOptions.mWindow)
{
}

bool
StartupQueue::TryHold(std::uint64_t aId,
                      std::optional<Millis> aPatience,
                      Millis aArrived,
                      Millis aNow)
{
  Millis wait = mOptions.mLongestWait;
  if (aPatience) {
    wait = std::min(wait, *aPatience * mOptions.mPatiencePart);
  }
  const Millis until = std::min(aArrived + wait, mWindowEnd);
  if (until <= aNow || mHeld.size() >= mOptions.mMost) {
    return false;
  }
  mHeld.push_back({ .mId = aId, .mUntil = until });
  return true;
}

void
StartupQueue::Remove(std::uint64_t aId)
{
  std::erase_if(mHeld, [&](const Held& aHeld) { return aHeld.mId == aId; });
}

std::vector<std::uint64_t>
StartupQueue::TakeExpired(Millis aNow)
{
  std::vector<std::uint64_t> expired;
  std::erase_if(mHeld, [&](const Held& aHeld) {
    if (aHeld.mUntil <= aNow) {
      expired.push_back(aHeld.mId);
      return true;
    }
    return false;
  });
  return expired;
}

std::vector<std::uint64_t>
StartupQueue::TakeAll()
{
  std::vector<std::uint64_t> all;
  all.reserve(mHeld.size());
  for (const Held& held : mHeld) {
    all.push_back(held.mId);
  }
  mHeld.clear();
  return all;
}

} // namespace papayaway::gateway
