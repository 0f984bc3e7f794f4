#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <base/Millis.h>

namespace papayaway::gateway {

/** A request that asks for a slot of the target. */
struct SlotRequest
{
  std::uint64_t mId = 0;
  /** 0 is the most urgent. */
  int mPriority = 0;
  /** When the caller stops waiting. */
  Millis mDeadline;
  /** Until when an answer is worth most. */
  Millis mObjective;
  /** The mean time that a request of its route runs. */
  Millis mRunTime;
  /** The time within which most requests of its route end. */
  Millis mMostRunTime;

  bool operator==(const SlotRequest&) const = default;
};

/** What the caller of SlotQueue has to do. */
struct SlotActions
{
  std::vector<std::uint64_t> mStart;
  /** Requests to refuse; they have not run. */
  std::vector<std::uint64_t> mRefuse;

  bool operator==(const SlotActions&) const = default;
};

/**
 * Admits, queues or refuses the requests for the slots of one target.
 *
 * The most urgent request runs first, requests of one priority in order of
 * arrival. A request that would not be answered within its objective is
 * refused at once, because its caller gains more from going elsewhere or from
 * coming back. It also is refused later, when more urgent requests took its
 * place.
 */
class SlotQueue
{
public:
  explicit SlotQueue(int aSlots)
    : mSlots(aSlots)
  {
  }

  void SetSlots(int aSlots) { mSlots = aSlots; }

  /** Takes in a request. */
  [[nodiscard]] SlotActions Offer(const SlotRequest& aRequest, Millis aNow);

  /** Tells how many of the started requests hold no slot any more: the target
   *  has ended them and their answers were lost. Their slots are given to
   *  others. */
  [[nodiscard]] SlotActions SetLost(int aCount, Millis aNow);

  /** Tells that a started request ended, which frees its slot. */
  [[nodiscard]] SlotActions OnFinished(Millis aNow);

  /** Refuses the waiting requests that can no longer be answered in time. */
  [[nodiscard]] SlotActions OnTick(Millis aNow);

  /** Forgets a waiting request.
   *  @return false if it is not waiting. */
  bool Cancel(std::uint64_t aId);

  /** @return all waiting requests, which are forgotten. */
  [[nodiscard]] std::vector<std::uint64_t> TakeWaiting();

  /** @return how long a request of this priority would wait for a slot. */
  [[nodiscard]] Millis ExpectedWait(int aPriority, Millis aRunTime) const;

  /** @return the started requests that hold a slot. */
  [[nodiscard]] int Running() const { return mStarted - mLost; }
  [[nodiscard]] int Waiting() const
  {
    return static_cast<int>(mWaiting.size());
  }
  [[nodiscard]] int Slots() const { return mSlots; }

private:
  [[nodiscard]] bool Hopeless(const SlotRequest& aRequest,
                              Millis aStart,
                              bool aOthersWait) const;
  void Fill(Millis aNow, SlotActions& aActions);

  int mSlots;
  int mStarted = 0;
  int mLost = 0;
  /** By priority, then by arrival. */
  std::vector<SlotRequest> mWaiting;
};

} // namespace papayaway::gateway
