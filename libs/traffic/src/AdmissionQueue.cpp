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
  if (mQueue.empty()) {
    mLastEmptyAt = aNow;
  }
  const bool overloaded = Overloaded(aNow);
  // Under overload the newest call starts first, so no call is ahead of it.
  const double callsAhead = overloaded ? 0 : static_cast<double>(mQueue.size());
  const bool startsNow = mQueue.empty() && mInFlight < mLimit.Limit();
  const Millis wait =
    startsNow ? Millis{}
              : mLimit.SmoothedLatency() * ((callsAhead + 1) / mLimit.Limit());
  if (!CanMeetDeadline(aDeadline, aNow + wait)) {
    Refuse(aCall, actions);
    return actions;
  }
  if (startsNow) {
    ++mInFlight;
    actions.mStart.push_back(aCall);
    return actions;
  }
  if (mQueue.size() >= mMaxQueued) {
    if (!overloaded || mQueue.empty()) {
      Refuse(aCall, actions);
      return actions;
    }
    Refuse(mQueue.front().mCall, actions);
    mQueue.pop_front();
  }
  mQueue.push_back({ aCall, aDeadline });
  StartQueuedCalls(aNow, actions);
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
  std::erase_if(mQueue, [&](const QueuedCall& aQueued) {
    if (CanMeetDeadline(aQueued.mDeadline, aNow)) {
      return false;
    }
    Refuse(aQueued.mCall, actions);
    return true;
  });
  StartQueuedCalls(aNow, actions);
  return actions;
}

bool
AdmissionQueue::Cancel(std::uint64_t aCall)
{
  return std::erase_if(mQueue, [&](const QueuedCall& aQueued) {
           return aQueued.mCall == aCall;
         }) > 0;
}

bool
AdmissionQueue::Overloaded(Millis aNow) const
{
  return !mQueue.empty() && aNow - mLastEmptyAt >= kOverloadedAfter;
}

bool
AdmissionQueue::CanMeetDeadline(Millis aDeadline, Millis aStart) const
{
  return aStart + mLimit.SmoothedLatency() < aDeadline;
}

void
AdmissionQueue::Refuse(std::uint64_t aCall, AdmissionActions& aActions)
{
  ++mRefused;
  aActions.mRefuse.push_back(aCall);
}

void
AdmissionQueue::StartQueuedCalls(Millis aNow, AdmissionActions& aActions)
{
  while (!mQueue.empty() && mInFlight < mLimit.Limit()) {
    QueuedCall next = mQueue.front();
    if (Overloaded(aNow)) {
      next = mQueue.back();
      mQueue.pop_back();
    } else {
      mQueue.pop_front();
    }
    if (CanMeetDeadline(next.mDeadline, aNow)) {
      ++mInFlight;
      aActions.mStart.push_back(next.mCall);
    } else {
      Refuse(next.mCall, aActions);
    }
  }
  if (mQueue.empty()) {
    mLastEmptyAt = aNow;
  }
}

} // namespace papayaway
