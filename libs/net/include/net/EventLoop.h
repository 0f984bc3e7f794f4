#pragma once

#include <functional>
#include <memory>

#include <base/Millis.h>

struct ev_loop;

namespace papayaway {

/**
 * The event loop of a process. All callbacks run on the thread that calls
 * Run(); no member may be called from another thread.
 */
class EventLoop
{
public:
  using Callback = std::function<void()>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Runs until Stop() is called. */
  void Run();

  /** Makes Run() return after the current iteration. */
  void Stop();

  /** Runs aCallback once, after the current callback has returned and before
   *  the loop blocks. */
  void Defer(Callback aCallback);

  /** @return the libev loop, for the watchers of this library only. */
  [[nodiscard]] struct ev_loop* Raw() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** A one-shot or repeating timer. The destructor stops it. */
class Timer
{
public:
  Timer(EventLoop& aLoop, EventLoop::Callback aCallback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /** Runs the callback once after aDelay; replaces an earlier start. */
  void StartOnce(Millis aDelay);

  /** Runs the callback after aPeriod and then every aPeriod. */
  void StartRepeating(Millis aPeriod);

  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Watches a file descriptor, which it does not own. */
class IoWatcher
{
public:
  /** @param aCallback receives whether the descriptor is readable and
   *    whether it is writable. */
  IoWatcher(EventLoop& aLoop,
            int aDescriptor,
            std::function<void(bool, bool)> aCallback);
  ~IoWatcher();
  IoWatcher(const IoWatcher&) = delete;
  IoWatcher& operator=(const IoWatcher&) = delete;

  /** Sets which events are watched; the watcher stops if both are false. */
  void Watch(bool aRead, bool aWrite);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Runs a callback on the loop when the process receives a signal. */
class SignalWatcher
{
public:
  SignalWatcher(EventLoop& aLoop, int aSignal, EventLoop::Callback aCallback);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace papayaway
