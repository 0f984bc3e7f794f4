#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include <base/Millis.h>
#include <traffic/ConcurrencyLimit.h>

namespace papayaway {

/** What the caller of AdmissionQueue has to do now. */
struct AdmissionActions
{
  /** Calls to send to the target. Each occupies a slot until OnFinished(). */
  std::vector<std::uint64_t> mStart;
  /** Calls to refuse as not run. */
  std::vector<std::uint64_t> mRefuse;

  bool operator==(const AdmissionActions&) const = default;
};

/** How a call that was started ended. */
enum class CallEnd
{
  Answered,
  TimedOut,
  /** Cancelled, or the connection was lost: says nothing about latency. */
  Other,
};

/**
 * Admits, queues or refuses the calls to one target.
 *
 * A call whose deadline cannot be met is refused, also while it waits. Calls
 * run in order of arrival. When the queue has not been empty for 100 ms the
 * target is overloaded and the newest runs first: in order of arrival every
 * call would then wait until its caller is about to give up, while the newest
 * has the most time left. The calls left behind have not run, so refusing
 * them is safe.
 */
class AdmissionQueue
{
public:
  /** @param aMaxQueued the largest number of waiting calls. */
  AdmissionQueue(int aSlots, std::size_t aMaxQueued);

  /** Offers a call. aDeadline is a point in time. */
  [[nodiscard]] AdmissionActions Offer(std::uint64_t aCall,
                                       Millis aDeadline,
                                       Millis aNow);

  /** Tells that a started call ended, which frees its slot. */
  [[nodiscard]] AdmissionActions OnFinished(CallEnd aEnd,
                                            Millis aLatency,
                                            Millis aNow);

  /** Refuses waiting calls whose deadline can no longer be met. To be called
   *  every few milliseconds while Queued() is not 0. */
  [[nodiscard]] AdmissionActions OnTick(Millis aNow);

  /** Forgets a waiting call.
   *  @return false if aCall is not waiting. */
  bool Cancel(std::uint64_t aCall);

  void SetSlots(int aSlots) { mLimit.SetSlots(aSlots); }

  [[nodiscard]] const ConcurrencyLimit& Limit() const { return mLimit; }
  [[nodiscard]] int InFlight() const { return mInFlight; }
  [[nodiscard]] std::size_t Queued() const { return mWaiting.size(); }
  [[nodiscard]] std::uint64_t Refused() const { return mRefused; }

private:
  struct Waiting
  {
    std::uint64_t mCall;
    Millis mDeadline;
  };

  [[nodiscard]] bool Overloaded(Millis aNow) const;
  [[nodiscard]] bool CanMeet(Millis aDeadline, Millis aStart) const;
  void Refuse(std::uint64_t aCall, AdmissionActions& aActions);
  void StartWaiting(Millis aNow, AdmissionActions& aActions);

  ConcurrencyLimit mLimit;
  std::size_t mMaxQueued;
  int mInFlight = 0;
  std::deque<Waiting> mWaiting;
  /** When the queue was last empty. */
  Millis mEmptyAt;
  std::uint64_t mRefused = 0;
};

} // namespace papayaway
