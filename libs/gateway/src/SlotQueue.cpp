#include <gateway/SlotQueue.h>

#include <algorithm>

namespace papayaway::gateway {

bool
SlotQueue::Hopeless(const SlotRequest& aRequest,
                    Millis aStart,
                    bool aOthersWait) const
{
  if (aStart + aRequest.mRunTime > aRequest.mDeadline) {
    return true;
  }
  // An answer after the objective is worth little, so it must not take a slot
  // that another request could use in time.
  return aOthersWait && aStart + aRequest.mMostRunTime > aRequest.mObjective;
}

Millis
SlotQueue::ExpectedWait(int aPriority, Millis aRunTime) const
{
  if (Running() < mSlots && mWaiting.empty()) {
    return {};
  }
  Millis ahead = aRunTime;
  for (const SlotRequest& waiting : mWaiting) {
    if (waiting.mPriority <= aPriority) {
      ahead += waiting.mRunTime;
    }
  }
  return ahead * (1.0 / std::max(1, mSlots));
}

SlotActions
SlotQueue::Offer(const SlotRequest& aRequest, Millis aNow)
{
  SlotActions actions;
  if (Running() < mSlots && mWaiting.empty()) {
    if (aNow + aRequest.mRunTime > aRequest.mDeadline) {
      actions.mRefuse.push_back(aRequest.mId);
    } else {
      ++mStarted;
      actions.mStart.push_back(aRequest.mId);
    }
    return actions;
  }
  const Millis wait = ExpectedWait(aRequest.mPriority, aRequest.mRunTime);
  if (Hopeless(aRequest, aNow + wait, true)) {
    actions.mRefuse.push_back(aRequest.mId);
    return actions;
  }
  const auto place =
    std::upper_bound(mWaiting.begin(),
                     mWaiting.end(),
                     aRequest,
                     [](const SlotRequest& aNew, const SlotRequest& aOther) {
                       return aNew.mPriority < aOther.mPriority;
                     });
  mWaiting.insert(place, aRequest);
  Fill(aNow, actions);
  return actions;
}

void
SlotQueue::Fill(Millis aNow, SlotActions& aActions)
{
  while (Running() < mSlots && !mWaiting.empty()) {
    const SlotRequest next = mWaiting.front();
    mWaiting.erase(mWaiting.begin());
    if (Hopeless(next, aNow, !mWaiting.empty())) {
      aActions.mRefuse.push_back(next.mId);
      continue;
    }
    ++mStarted;
    aActions.mStart.push_back(next.mId);
  }
}

SlotActions
SlotQueue::SetLost(int aCount, Millis aNow)
{
  SlotActions actions;
  mLost = std::clamp(aCount, 0, std::min(mStarted, mSlots));
  Fill(aNow, actions);
  return actions;
}

SlotActions
SlotQueue::OnFinished(Millis aNow)
{
  SlotActions actions;
  --mStarted;
  // It may have been one of the lost ones; the target's next report tells.
  mLost = std::clamp(mLost, 0, mStarted);
  Fill(aNow, actions);
  return actions;
}

SlotActions
SlotQueue::OnTick(Millis aNow)
{
  SlotActions actions;
  Millis ahead;
  std::erase_if(mWaiting, [&](const SlotRequest& aRequest) {
    const Millis wait = ahead * (1.0 / std::max(1, mSlots));
    if (Hopeless(aRequest, aNow + wait, true)) {
      actions.mRefuse.push_back(aRequest.mId);
      return true;
    }
    ahead += aRequest.mRunTime;
    return false;
  });
  return actions;
}

bool
SlotQueue::Cancel(std::uint64_t aId)
{
  return std::erase_if(mWaiting, [&](const SlotRequest& aRequest) {
           return aRequest.mId == aId;
         }) > 0;
}

std::vector<std::uint64_t>
SlotQueue::TakeWaiting()
{
  std::vector<std::uint64_t> ids;
  ids.reserve(mWaiting.size());
  for (const SlotRequest& waiting : mWaiting) {
    ids.push_back(waiting.mId);
  }
  mWaiting.clear();
  return ids;
}

} // namespace papayaway::gateway
