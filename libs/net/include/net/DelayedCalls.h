#pragma once

#include <cstddef>
#include <memory>

#include <base/Millis.h>
#include <net/EventLoop.h>

namespace papayaway {

/**
 * Many one-shot timers on one file descriptor.
 *
 * Timer has the resolution of epoll_wait(), one millisecond. This class uses a
 * timerfd, because simulated work times and the intervals between generated
 * requests can be shorter than that.
 */
class DelayedCalls
{
public:
  explicit DelayedCalls(EventLoop& aLoop);
  ~DelayedCalls();
  DelayedCalls(const DelayedCalls&) = delete;
  DelayedCalls& operator=(const DelayedCalls&) = delete;

  /** Runs aCallback once after aDelay, never inside this call. Callbacks
   *  that are pending when this object is destroyed do not run. */
  void RunAfter(Millis aDelay, EventLoop::Callback aCallback);

  /** Runs aCallback once when SteadyNow() reaches aTime. */
  void RunAt(Millis aTime, EventLoop::Callback aCallback);

  /** @return the number of callbacks that have not run. */
  [[nodiscard]] std::size_t Pending() const;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace papayaway
