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
                      std::optional<Millis> aCallerTimeout,
                      Millis aArrived,
                      Millis aNow)
{
  Millis wait = mOptions.mMaxWait;
  if (aCallerTimeout) {
    wait = std::min(wait, *aCallerTimeout * mOptions.mMaxWaitFraction);
  }
  const Millis expiry = std::min(aArrived + wait, mWindowEnd);
  if (expiry <= aNow || mHeld.size() >= mOptions.mMaxRequests) {
    return false;
  }
  mHeld.push_back({ .mId = aId, .mExpiry = expiry });
  return true;
}

void
StartupQueue::Remove(std::uint64_t aId)
{
  std::erase_if(mHeld,
                [&](const HeldRequest& aHeld) { return aHeld.mId == aId; });
}

std::vector<std::uint64_t>
StartupQueue::TakeExpired(Millis aNow)
{
  std::vector<std::uint64_t> expired;
  std::erase_if(mHeld, [&](const HeldRequest& aHeld) {
    if (aHeld.mExpiry <= aNow) {
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
  for (const HeldRequest& held : mHeld) {
    all.push_back(held.mId);
  }
  mHeld.clear();
  return all;
}

} // namespace papayaway::gateway
