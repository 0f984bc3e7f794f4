#include <net/DelayedCalls.h>

#include <algorithm>
#include <cmath>
#include <map>

#include <sys/timerfd.h>
#include <unistd.h>

namespace papayaway {

struct DelayedCalls::Impl
{
  int mDescriptor = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  std::multimap<Millis, EventLoop::Callback> mCalls;
  EventLoop& mLoop;
  IoWatcher mWatcher;
  bool mRunning = false;
  bool mClosed = false;

  explicit Impl(EventLoop& aLoop)
    : mLoop(aLoop)
    , mWatcher(aLoop, mDescriptor, [this](bool, bool) { RunDue(); })
  {
    mWatcher.Watch(true, false);
  }

  void ArmTimer() const
  {
    if (mCalls.empty()) {
      return;
    }
    // A value of zero would disarm the timerfd.
    const double delay =
      std::max(0.001, (mCalls.begin()->first - SteadyNow()).mCount);
    const double seconds = std::floor(delay / 1000);
    itimerspec time{};
    time.it_value.tv_sec = static_cast<time_t>(seconds);
    time.it_value.tv_nsec =
      static_cast<long>((delay - seconds * 1000) * 1'000'000);
    timerfd_settime(mDescriptor, 0, &time, nullptr);
  }

  void RunDue()
  {
    std::uint64_t expirations = 0;
    [[maybe_unused]] const ssize_t length =
      read(mDescriptor, &expirations, sizeof(expirations));
    const Millis now = SteadyNow();
    mRunning = true;
    while (!mClosed && !mCalls.empty() && mCalls.begin()->first <= now) {
      const EventLoop::Callback callback = std::move(mCalls.begin()->second);
      mCalls.erase(mCalls.begin());
      callback();
    }
    mRunning = false;
    if (!mClosed) {
      ArmTimer();
    }
  }
};

DelayedCalls::DelayedCalls(EventLoop& aLoop)
  : mImpl(std::make_shared<Impl>(aLoop))
{
}

DelayedCalls::~DelayedCalls()
{
  mImpl->mWatcher.Watch(false, false);
  close(mImpl->mDescriptor);
  mImpl->mClosed = true;
  if (mImpl->mRunning) {
    // One of the callbacks is destroying this object; mImpl must outlive it.
    mImpl->mLoop.Defer([impl = mImpl] {});
  }
}

void
DelayedCalls::RunAfter(Millis aDelay, EventLoop::Callback aCallback)
{
  RunAt(SteadyNow() + aDelay, std::move(aCallback));
}

void
DelayedCalls::RunAt(Millis aTime, EventLoop::Callback aCallback)
{
  const auto added = mImpl->mCalls.emplace(aTime, std::move(aCallback));
  if (added == mImpl->mCalls.begin()) {
    mImpl->ArmTimer();
  }
}

std::size_t
DelayedCalls::Pending() const
{
  return mImpl->mCalls.size();
}

} // namespace papayaway
