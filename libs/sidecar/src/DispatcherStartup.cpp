// Requests that reach a node before it knows the desired state and a target.

#include <sidecar/Dispatcher.h>

namespace papayaway::sidecar {

namespace {

/** How often a node that has just started looks for a target for the requests
 *  that wait for one. */
constexpr Millis kHoldPeriod{ 20 };

} // namespace

bool
Dispatcher::TryHold(const std::shared_ptr<CallerExchange>& aExchange,
                    Millis aArrived)
{
  const std::uint64_t id = mNextId++;
  if (!mStartup.TryHold(
        id, PatienceOf(aExchange->Request()), aArrived, SteadyNow())) {
    return false;
  }
  if (mHeld.empty()) {
    mHoldTimer.StartRepeating(kHoldPeriod);
  }
  mHeld[id] = { .mExchange = aExchange, .mArrived = aArrived };
  aExchange->OnAbandoned([this, id] {
    mStartup.Remove(id);
    mHeld.erase(id);
  });
  return true;
}

void
Dispatcher::ReleaseHeld()
{
  for (const std::uint64_t id : mStartup.TakeAll()) {
    // Answering one request may end the connection of others.
    if (const auto held = mHeld.extract(id); !held.empty()) {
      Route(held.mapped().mExchange, held.mapped().mArrived);
    }
  }
}

void
Dispatcher::OnHoldTimer()
{
  for (const std::uint64_t id : mStartup.TakeExpired(SteadyNow())) {
    if (const auto held = mHeld.extract(id); !held.empty()) {
      RefuseEarly(*held.mapped().mExchange);
    }
  }
  if (mTable) {
    ReleaseHeld();
  }
  if (mHeld.empty()) {
    mHoldTimer.Stop();
  }
}

void
Dispatcher::RefuseEarly(CallerExchange& aExchange)
{
  const std::string_view id =
    aExchange.Request().mHeaders.Value(mParts.mPort.Headers().mRequestId);
  Refuse(aExchange,
         std::string(id),
         503,
         mTable ? "no_target" : "no_desired_state",
         kUnknownPause);
}

bool
Dispatcher::HasTarget(const std::string& aService) const
{
  return !mParts.mTargets
            .Candidates(
              { .mService = aService, .mVersion = {}, .mExcluded = {} })
            .empty();
}

} // namespace papayaway::sidecar
