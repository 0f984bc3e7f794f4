// Dispatcher: holds requests that arrive before this node knows the desired
// state and a target for them.

#include <sidecar/Dispatcher.h>

namespace papayaway::sidecar {

namespace {

/** How often a node that has just started tries to route its held requests. */
constexpr Millis kHeldRequestCheckPeriod{ 20 };

} // namespace

bool
Dispatcher::TryHold(const std::shared_ptr<CallerExchange>& aExchange,
                    Millis aArrivedAt)
{
  const std::uint64_t id = mNextId++;
  if (!mStartupQueue.TryHold(
        id, CallerTimeout(aExchange->Request()), aArrivedAt, SteadyNow())) {
    return false;
  }
  if (mHeldRequests.empty()) {
    mHoldTimer.StartRepeating(kHeldRequestCheckPeriod);
  }
  mHeldRequests[id] = { .mExchange = aExchange, .mArrivedAt = aArrivedAt };
  aExchange->OnAbandoned([this, id] {
    mDependencies.mMetrics.OnAbandoned("held");
    mStartupQueue.Remove(id);
    mHeldRequests.erase(id);
  });
  return true;
}

void
Dispatcher::ReleaseHeld()
{
  for (const std::uint64_t id : mStartupQueue.TakeAll()) {
    // Answering one request may close the connection that others came on, which
    // removes those from mHeldRequests.
    if (const auto held = mHeldRequests.extract(id); !held.empty()) {
      Route(held.mapped().mExchange, held.mapped().mArrivedAt);
    }
  }
}

void
Dispatcher::OnHoldTimer()
{
  for (const std::uint64_t id : mStartupQueue.TakeExpired(SteadyNow())) {
    if (const auto held = mHeldRequests.extract(id); !held.empty()) {
      RefuseUnroutable(*held.mapped().mExchange);
    }
  }
  if (mTable) {
    ReleaseHeld();
  }
  if (mHeldRequests.empty()) {
    mHoldTimer.Stop();
  }
}

void
Dispatcher::RefuseUnroutable(CallerExchange& aExchange)
{
  const std::string_view id = aExchange.Request().mHeaders.Value(
    mDependencies.mProtocol.Headers().mRequestId);
  Refuse(aExchange,
         std::string(id),
         503,
         mTable ? "no_target" : "no_desired_state",
         kDefaultRetryAfter);
}

bool
Dispatcher::MayAwaitTarget(const std::string& aService,
                           const gateway::Placement& aPlacement) const
{
  const TargetDirectory& targets = mDependencies.mTargets;
  const bool hasTarget = !targets
                            .Candidates({ .mService = aService,
                                          .mVersion = {},
                                          .mExcluded = {},
                                          .mPlacement = aPlacement })
                            .empty();
  const gateway::Placement anyRegion{ .mEvacuations = aPlacement.mEvacuations };
  const bool isImpossible =
    aPlacement.mRegions.AllowsNothing() ||
    (anyRegion.IsRestricted() && !targets.HasAllowedPlace(anyRegion));
  return !hasTarget && !isImpossible;
}

} // namespace papayaway::sidecar
