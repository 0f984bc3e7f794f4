#include <gateway/SlotQueue.h>

#include <algorithm>
#include <utility>

namespace papayaway::gateway {

namespace {

/** @return a key by which waiting requests are started in ascending order. */
std::pair<int, bool>
OrderKey(int aPriority, bool aNestedCall)
{
  return { aPriority, !aNestedCall };
}

} // namespace

bool
SlotQueue::ShouldRefuse(const SlotRequest& aRequest,
                        Millis aStart,
                        bool aOthersWaiting) const
{
  if (aStart + aRequest.mRunTime > aRequest.mDeadline) {
    return true;
  }
  // A response after the objective has little value, so the request must not
  // take a slot that another request could use to meet its objective.
  return aOthersWaiting && aStart + aRequest.mRunTimeP75 > aRequest.mObjective;
}

Millis
SlotQueue::ExpectedWait(int aPriority, Millis aRunTime, bool aNestedCall) const
{
  if (Running() < mSlots && mWaiting.empty()) {
    return {};
  }
  Millis workAhead = aRunTime;
  for (const SlotRequest& waiting : mWaiting) {
    if (OrderKey(waiting.mPriority, waiting.mNestedCall) <=
        OrderKey(aPriority, aNestedCall)) {
      workAhead += waiting.mRunTime;
    }
  }
  return workAhead * (1.0 / std::max(1, mSlots));
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
  const Millis wait =
    ExpectedWait(aRequest.mPriority, aRequest.mRunTime, aRequest.mNestedCall);
  if (ShouldRefuse(aRequest, aNow + wait, true)) {
    actions.mRefuse.push_back(aRequest.mId);
    return actions;
  }
  const auto position =
    std::upper_bound(mWaiting.begin(),
                     mWaiting.end(),
                     aRequest,
                     [](const SlotRequest& aNew, const SlotRequest& aOther) {
                       return OrderKey(aNew.mPriority, aNew.mNestedCall) <
                              OrderKey(aOther.mPriority, aOther.mNestedCall);
                     });
  mWaiting.insert(position, aRequest);
  StartWaiting(aNow, actions);
  return actions;
}

void
SlotQueue::StartWaiting(Millis aNow, SlotActions& aActions)
{
  while (Running() < mSlots && !mWaiting.empty()) {
    const SlotRequest next = mWaiting.front();
    mWaiting.erase(mWaiting.begin());
    if (ShouldRefuse(next, aNow, !mWaiting.empty())) {
      aActions.mRefuse.push_back(next.mId);
      continue;
    }
    ++mStarted;
    aActions.mStart.push_back(next.mId);
  }
}

SlotActions
SlotQueue::SetLostResponses(int aCount, Millis aNow)
{
  SlotActions actions;
  mLostResponses = std::clamp(aCount, 0, std::min(mStarted, mSlots));
  StartWaiting(aNow, actions);
  return actions;
}

SlotActions
SlotQueue::OnFinished(Millis aNow)
{
  SlotActions actions;
  --mStarted;
  // The request may have been one whose response was lost; the next report of
  // the target corrects the count.
  mLostResponses = std::clamp(mLostResponses, 0, mStarted);
  StartWaiting(aNow, actions);
  return actions;
}

SlotActions
SlotQueue::OnTick(Millis aNow)
{
  SlotActions actions;
  Millis workAhead;
  std::erase_if(mWaiting, [&](const SlotRequest& aRequest) {
    const Millis wait = workAhead * (1.0 / std::max(1, mSlots));
    if (ShouldRefuse(aRequest, aNow + wait, true)) {
      actions.mRefuse.push_back(aRequest.mId);
      return true;
    }
    workAhead += aRequest.mRunTime;
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
