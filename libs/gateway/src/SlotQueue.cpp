#include <gateway/SlotQueue.h>

#include <algorithm>
#include <limits>
#include <tuple>

namespace papayaway::gateway {

namespace {

/** @return a key by which waiting requests are started in ascending order. */
std::tuple<int, bool, double>
OrderKey(int aPriority, bool aNestedCall, double aTag)
{
  return { aPriority, !aNestedCall, aTag };
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
  return ExpectedWait(
    aPriority, aNestedCall, std::numeric_limits<double>::infinity(), aRunTime);
}

Millis
SlotQueue::ExpectedWait(int aPriority,
                        bool aNestedCall,
                        double aTag,
                        Millis aRunTime) const
{
  if (Running() < mSlots && mWaiting.empty()) {
    return {};
  }
  Millis workAhead = aRunTime;
  for (const SlotRequest& waiting : mWaiting) {
    if (OrderKey(waiting.mPriority, waiting.mNestedCall, waiting.mTag) <=
        OrderKey(aPriority, aNestedCall, aTag)) {
      workAhead += waiting.mRunTime;
    }
  }
  return workAhead * (1.0 / std::max(1, mSlots));
}

void
SlotQueue::StartAtOnce(const SlotRequest& aRequest, SlotActions& aActions)
{
  mShares.OnStarted(
    mShares.Add(aRequest.mTenant, aRequest.mWeight, aRequest.mRunTime));
  ++mStarted;
  aActions.mStart.push_back(aRequest.mId);
}

void
SlotQueue::OnNotStarted(const SlotRequest& aRequest)
{
  mShares.OnRemoved(aRequest.mTenant, aRequest.mWeight, aRequest.mRunTime);
}

SlotActions
SlotQueue::Offer(const SlotRequest& aRequest, Millis aNow)
{
  SlotActions actions;
  if (Running() < mSlots && mWaiting.empty()) {
    if (aNow + aRequest.mRunTime > aRequest.mDeadline) {
      actions.mRefuse.push_back(aRequest.mId);
    } else {
      StartAtOnce(aRequest, actions);
    }
    return actions;
  }
  const Millis wait = ExpectedWait(
    aRequest.mPriority,
    aRequest.mNestedCall,
    mShares.NextTag(aRequest.mTenant, aRequest.mWeight, aRequest.mRunTime),
    aRequest.mRunTime);
  if (ShouldRefuse(aRequest, aNow + wait, true)) {
    actions.mRefuse.push_back(aRequest.mId);
    return actions;
  }
  SlotRequest request = aRequest;
  request.mTag =
    mShares.Add(aRequest.mTenant, aRequest.mWeight, aRequest.mRunTime);
  const auto position = std::upper_bound(
    mWaiting.begin(),
    mWaiting.end(),
    request,
    [](const SlotRequest& aNew, const SlotRequest& aOther) {
      return OrderKey(aNew.mPriority, aNew.mNestedCall, aNew.mTag) <
             OrderKey(aOther.mPriority, aOther.mNestedCall, aOther.mTag);
    });
  mWaiting.insert(position, std::move(request));
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
      OnNotStarted(next);
      aActions.mRefuse.push_back(next.mId);
      continue;
    }
    mShares.OnStarted(next.mTag);
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
      OnNotStarted(aRequest);
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
  const auto found = std::find_if(
    mWaiting.begin(), mWaiting.end(), [&](const SlotRequest& aRequest) {
      return aRequest.mId == aId;
    });
  if (found == mWaiting.end()) {
    return false;
  }
  OnNotStarted(*found);
  mWaiting.erase(found);
  return true;
}

std::vector<std::uint64_t>
SlotQueue::TakeWaiting()
{
  std::vector<std::uint64_t> ids;
  ids.reserve(mWaiting.size());
  for (const SlotRequest& waiting : mWaiting) {
    OnNotStarted(waiting);
    ids.push_back(waiting.mId);
  }
  mWaiting.clear();
  return ids;
}

} // namespace papayaway::gateway
