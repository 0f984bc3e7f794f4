#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include <base/Millis.h>
#include <traffic/ConcurrencyLimit.h>

namespace papayaway {

/** The calls that the user of AdmissionQueue starts and refuses now. */
struct AdmissionActions
{
  /** Calls to send to the target. Each one counts as in flight until
   *  OnFinished(). */
  std::vector<std::uint64_t> mStart;
  /** Calls to refuse with Outcome::NotRun. */
  std::vector<std::uint64_t> mRefuse;

  bool operator==(const AdmissionActions&) const = default;
};

/** How a started call ended. */
enum class CallEnd
{
  Answered,
  TimedOut,
  /** Cancelled, or the connection was lost. The duration of the call is no
   *  measure of the target's latency. */
  Other,
};

/**
 * Admits, queues or refuses the calls to one target.
 *
 * A call whose deadline cannot be met is refused, on arrival or while queued.
 * Calls start in order of arrival (FIFO). If the queue has not been empty for
 * 100 ms, the target counts as overloaded and the newest call starts first
 * (LIFO): in FIFO order every call would then wait until shortly before its
 * deadline, while the newest call has the most time left. The older calls have
 * not run, so it is safe to refuse them when they can no longer meet their
 * deadlines.
 */
class AdmissionQueue
{
public:
  /** @param aSlots calls that the target runs at a time, at least 1.
   *  @param aMaxQueued the maximum number of queued calls. */
  AdmissionQueue(int aSlots, std::size_t aMaxQueued);

  /** Starts, queues or refuses a new call.
   *  @param aDeadline the point in time by which the call must be answered. */
  [[nodiscard]] AdmissionActions Offer(std::uint64_t aCall,
                                       Millis aDeadline,
                                       Millis aNow);

  /** Records that a started call ended, and starts queued calls in its
   *  place. */
  [[nodiscard]] AdmissionActions OnFinished(CallEnd aEnd,
                                            Millis aLatency,
                                            Millis aNow);

  /** Refuses queued calls whose deadline can no longer be met. Must be called
   *  every few milliseconds while Queued() is not 0. */
  [[nodiscard]] AdmissionActions OnTick(Millis aNow);

  /** Removes a queued call.
   *  @return false if aCall is not queued. */
  bool Cancel(std::uint64_t aCall);

  void SetSlots(int aSlots) { mLimit.SetSlots(aSlots); }

  [[nodiscard]] const ConcurrencyLimit& Limit() const { return mLimit; }
  [[nodiscard]] int InFlight() const { return mInFlight; }
  [[nodiscard]] std::size_t Queued() const { return mQueue.size(); }
  [[nodiscard]] std::uint64_t Refused() const { return mRefused; }

private:
  struct QueuedCall
  {
    std::uint64_t mCall;
    Millis mDeadline;
  };

  [[nodiscard]] bool Overloaded(Millis aNow) const;
  [[nodiscard]] bool CanMeetDeadline(Millis aDeadline, Millis aStart) const;
  void Refuse(std::uint64_t aCall, AdmissionActions& aActions);
  void StartQueuedCalls(Millis aNow, AdmissionActions& aActions);

  ConcurrencyLimit mLimit;
  std::size_t mMaxQueued;
  int mInFlight = 0;
  std::deque<QueuedCall> mQueue;
  /** When the queue was last empty. */
  Millis mLastEmptyAt;
  std::uint64_t mRefused = 0;
};

} // namespace papayaway
