#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace papayaway {

/** Limits the requests that a target runs concurrently to its slots and
 *  queues a limited number of further requests, first in, first out. */
class SlotQueue
{
public:
  using Id = std::uint64_t;

  enum class Admission
  {
    Run,
    Queue,
    Shed,
  };

  explicit SlotQueue(std::size_t aSlots)
    : mSlots(aSlots)
    // The queue is short, so that overload leads to refused requests and not
    // to high latency.
    , mQueueLimit(std::max<std::size_t>(1, aSlots / 2))
  {
  }

  /** Assigns a slot or a place in the queue to aId.
   *  @return Shed if all slots and the queue are full. */
  Admission Admit(Id aId)
  {
    if (mRunning < mSlots) {
      Start();
      return Admission::Run;
    }
    if (mQueue.size() < mQueueLimit) {
      mQueue.push_back(aId);
      return Admission::Queue;
    }
    ++mShed;
    return Admission::Shed;
  }

  /** Frees a slot.
   *  @return the queued request that has been assigned the slot, if any. */
  std::optional<Id> Finish()
  {
    --mRunning;
    if (mQueue.empty()) {
      return std::nullopt;
    }
    const Id next = mQueue.front();
    mQueue.pop_front();
    Start();
    return next;
  }

  /** Removes aId from the queue. @return whether it was queued. */
  bool RemoveFromQueue(Id aId) { return std::erase(mQueue, aId) > 0; }

  [[nodiscard]] std::size_t Running() const { return mRunning; }
  [[nodiscard]] std::size_t MaxRunning() const { return mMaxRunning; }
  [[nodiscard]] std::size_t Queued() const { return mQueue.size(); }
  [[nodiscard]] std::uint64_t Shed() const { return mShed; }

private:
  void Start()
  {
    ++mRunning;
    mMaxRunning = std::max(mMaxRunning, mRunning);
  }

  std::size_t mSlots;
  std::size_t mQueueLimit;
  std::size_t mRunning = 0;
  std::size_t mMaxRunning = 0;
  std::uint64_t mShed = 0;
  std::deque<Id> mQueue;
};

} // namespace papayaway
