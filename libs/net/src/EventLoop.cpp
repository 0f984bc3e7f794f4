#include <net/EventLoop.h>

#include <utility>
#include <vector>

#include <ev.h>

namespace papayaway {

struct EventLoop::Impl
{
  struct ev_loop* mLoop = ev_loop_new(EVFLAG_AUTO);
  ev_prepare mPrepare{};
  /** Active while deferred callbacks wait to run, so that the loop neither
   *  blocks nor returns before they have run. */
  ev_idle mIdle{};
  std::vector<Callback> mDeferred;

  void RunDeferred()
  {
    // A deferred callback may defer another one; all run before the loop
    // blocks.
    while (!mDeferred.empty()) {
      std::vector<Callback> batch = std::exchange(mDeferred, {});
      for (Callback& callback : batch) {
        callback();
      }
    }
    ev_idle_stop(mLoop, &mIdle);
  }
};

EventLoop::EventLoop()
  : mImpl(std::make_unique<Impl>())
{
  ev_prepare_init(&mImpl->mPrepare,
                  [](struct ev_loop*, ev_prepare* aWatcher, int) {
                    static_cast<Impl*>(aWatcher->data)->RunDeferred();
                  });
  mImpl->mPrepare.data = mImpl.get();
  ev_idle_init(&mImpl->mIdle, [](struct ev_loop*, ev_idle*, int) {});
  ev_prepare_start(mImpl->mLoop, &mImpl->mPrepare);
  // The prepare watcher alone must not keep Run() from returning.
  ev_unref(mImpl->mLoop);
}

EventLoop::~EventLoop()
{
  // Deferred callbacks may own watchers, whose destructors use the loop.
  mImpl->mDeferred.clear();
  ev_idle_stop(mImpl->mLoop, &mImpl->mIdle);
  ev_ref(mImpl->mLoop);
  ev_prepare_stop(mImpl->mLoop, &mImpl->mPrepare);
  ev_loop_destroy(mImpl->mLoop);
}

void
EventLoop::Run()
{
  ev_run(mImpl->mLoop, 0);
}

void
EventLoop::Stop()
{
  ev_break(mImpl->mLoop, EVBREAK_ALL);
}

void
EventLoop::Defer(Callback aCallback)
{
  mImpl->mDeferred.push_back(std::move(aCallback));
  ev_idle_start(mImpl->mLoop, &mImpl->mIdle);
}

struct ev_loop*
EventLoop::Raw() const
{
  return mImpl->mLoop;
}

struct Timer::Impl
{
  struct ev_loop* mLoop;
  EventLoop::Callback mCallback;
  ev_timer mTimer{};
};

Timer::Timer(EventLoop& aLoop, EventLoop::Callback aCallback)
  : mImpl(new Impl{ aLoop.Raw(), std::move(aCallback) })
{
  ev_timer_init(
    &mImpl->mTimer,
    [](struct ev_loop*, ev_timer* aWatcher, int) {
      static_cast<Impl*>(aWatcher->data)->mCallback();
    },
    0.,
    0.);
  mImpl->mTimer.data = mImpl.get();
}

Timer::~Timer()
{
  Stop();
}

void
Timer::StartOnce(Millis aDelay)
{
  Stop();
  // libev measures the delay from the time at which the iteration began, so a
  // long callback before this call would otherwise shorten it.
  ev_now_update(mImpl->mLoop);
  ev_timer_set(&mImpl->mTimer, aDelay.mCount / 1000, 0.);
  ev_timer_start(mImpl->mLoop, &mImpl->mTimer);
}

void
Timer::StartRepeating(Millis aPeriod)
{
  Stop();
  ev_now_update(mImpl->mLoop);
  ev_timer_set(&mImpl->mTimer, aPeriod.mCount / 1000, aPeriod.mCount / 1000);
  ev_timer_start(mImpl->mLoop, &mImpl->mTimer);
}

void
Timer::Stop()
{
  ev_timer_stop(mImpl->mLoop, &mImpl->mTimer);
}

struct IoWatcher::Impl
{
  struct ev_loop* mLoop;
  int mDescriptor;
  std::function<void(bool, bool)> mCallback;
  ev_io mIo{};
};

IoWatcher::IoWatcher(EventLoop& aLoop,
                     int aDescriptor,
                     std::function<void(bool, bool)> aCallback)
  : mImpl(new Impl{ aLoop.Raw(), aDescriptor, std::move(aCallback) })
{
  ev_io_init(
    &mImpl->mIo,
    [](struct ev_loop*, ev_io* aWatcher, int aEvents) {
      static_cast<Impl*>(aWatcher->data)
        ->mCallback((aEvents & EV_READ) != 0, (aEvents & EV_WRITE) != 0);
    },
    aDescriptor,
    EV_READ);
  mImpl->mIo.data = mImpl.get();
}

IoWatcher::~IoWatcher()
{
  ev_io_stop(mImpl->mLoop, &mImpl->mIo);
}

void
IoWatcher::Watch(bool aRead, bool aWrite)
{
  ev_io_stop(mImpl->mLoop, &mImpl->mIo);
  const int events = (aRead ? EV_READ : 0) | (aWrite ? EV_WRITE : 0);
  if (events != 0) {
    ev_io_set(&mImpl->mIo, mImpl->mDescriptor, events);
    ev_io_start(mImpl->mLoop, &mImpl->mIo);
  }
}

struct SignalWatcher::Impl
{
  struct ev_loop* mLoop;
  EventLoop::Callback mCallback;
  ev_signal mSignal{};
};

SignalWatcher::SignalWatcher(EventLoop& aLoop,
                             int aSignal,
                             EventLoop::Callback aCallback)
  : mImpl(new Impl{ aLoop.Raw(), std::move(aCallback) })
{
  ev_signal_init(
    &mImpl->mSignal,
    [](struct ev_loop*, ev_signal* aWatcher, int) {
      static_cast<Impl*>(aWatcher->data)->mCallback();
    },
    aSignal);
  mImpl->mSignal.data = mImpl.get();
  ev_signal_start(mImpl->mLoop, &mImpl->mSignal);
}

SignalWatcher::~SignalWatcher()
{
  ev_signal_stop(mImpl->mLoop, &mImpl->mSignal);
}

} // namespace papayaway
