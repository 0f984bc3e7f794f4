#include <traffic/AdmissionQueue.h>

#include <algorithm>

namespace papayaway {

namespace {

constexpr Millis kOverloadedAfter{ 100 };

} // namespace

AdmissionQueue::AdmissionQueue(int aSlots, std::size_t aMaxQueued)
  : mLimit(aSlots)
  , mMaxQueued(aMaxQueued)
{
}

AdmissionActions
AdmissionQueue::Offer(std::uint64_t aCall, Millis aDeadline, Millis aNow)
{
  AdmissionActions actions;
  if (mWaiting.empty()) {
    mEmptyAt = aNow;
  }
  const bool overloaded = Overloaded(aNow);
  // The newest call runs first under overload, so none wait before it.
  const double before = overloaded ? 0 : static_cast<double>(mWaiting.size());
  const bool runsNow = mWaiting.empty() && mInFlight < mLimit.Limit();
  const Millis wait =
    runsNow ? Millis{}
            : mLimit.TypicalLatency() * ((before + 1) / mLimit.Limit());
  if (!CanMeet(aDeadline, aNow + wait)) {
    Refuse(aCall, actions);
    return actions;
  }
  if (runsNow) {
    ++mInFlight;
    actions.mStart.push_back(aCall);
    return actions;
  }
  if (mWaiting.size() >= mMaxQueued) {
    if (!overloaded || mWaiting.empty()) {
      Refuse(aCall, actions);
      return actions;
    }
    Refuse(mWaiting.front().mCall, actions);
    mWaiting.pop_front();
  }
  mWaiting.push_back({ aCall, aDeadline });
  StartWaiting(aNow, actions);
  return actions;
}

AdmissionActions
AdmissionQueue::OnFinished(CallEnd aEnd, Millis aLatency, Millis aNow)
{
  switch (aEnd) {
    case CallEnd::Answered:
      mLimit.OnAnswered(aLatency, mInFlight, aNow);
      break;
    case CallEnd::TimedOut:
      mLimit.OnTimedOut(aNow);
      break;
    case CallEnd::Other:
      break;
  }
  mInFlight = std::max(0, mInFlight - 1);
  return OnTick(aNow);
}

AdmissionActions
AdmissionQueue::OnTick(Millis aNow)
{
  AdmissionActions actions;
  std::erase_if(mWaiting, [&](const Waiting& aWaiting) {
    if (CanMeet(aWaiting.mDeadline, aNow)) {
      return false;
    }
    Refuse(aWaiting.mCall, actions);
    return true;
  });
  StartWaiting(aNow, actions);
  return actions;
}

bool
AdmissionQueue::Cancel(std::uint64_t aCall)
{
  return std::erase_if(mWaiting, [&](const Waiting& aWaiting) {
           return aWaiting.mCall == aCall;
         }) > 0;
}

bool
AdmissionQueue::Overloaded(Millis aNow) const
{
  return !mWaiting.empty() && aNow - mEmptyAt >= kOverloadedAfter;
}

bool
AdmissionQueue::CanMeet(Millis aDeadline, Millis aStart) const
{
  return aStart + mLimit.TypicalLatency() < aDeadline;
}

void
AdmissionQueue::Refuse(std::uint64_t aCall, AdmissionActions& aActions)
{
  ++mRefused;
  aActions.mRefuse.push_back(aCall);
}

void
AdmissionQueue::StartWaiting(Millis aNow, AdmissionActions& aActions)
{
  while (!mWaiting.empty() && mInFlight < mLimit.Limit()) {
    Waiting next = mWaiting.front();
    if (Overloaded(aNow)) {
      next = mWaiting.back();
      mWaiting.pop_back();
    } else {
      mWaiting.pop_front();
    }
    if (CanMeet(next.mDeadline, aNow)) {
      ++mInFlight;
      aActions.mStart.push_back(next.mCall);
    } else {
      Refuse(next.mCall, aActions);
    }
  }
  if (mWaiting.empty()) {
    mEmptyAt = aNow;
  }
}

} // namespace papayaway
