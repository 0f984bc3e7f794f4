#include <sidecar/LocalTargetProxy.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace papayaway::sidecar {

using gateway::TargetLoad;

namespace {

/** A request sent less than this long ago may not have reached the target when
 *  it reported its load, so the report may not include it. */
constexpr Millis kReportSettleTime{ 50 };
/** The half-life with which past slow and failed runs lose their influence on
 *  the load while the target is idle, so that a recovered target is tried
 *  again. */
constexpr Millis kDecayHalfLife = Seconds(3);

} // namespace

void
LocalTargetProxy::OnLoadReport(const TargetReport& aReport)
{
  const Millis now = SteadyNow();
  if (aReport.mSlowdown) {
    const bool isFirst = !mPresentSpeed.IsReported();
    mPresentSpeed.OnReport(*aReport.mSlowdown, now);
    if (isFirst) {
      DecidePace();
    }
  }
  const auto expected = std::count_if(
    mActiveCalls.begin(), mActiveCalls.end(), [&](const auto& aEntry) {
      const ActiveCall& active = aEntry.second;
      return active.mSentToTarget &&
             now - active.mStartedAt >= kReportSettleTime;
    });
  // It is unknown which of the requests are lost, so none is ended before its
  // deadline: the target may still be running it.
  const int lost =
    static_cast<int>(expected) - aReport.mRunning - aReport.mWaiting;
  Apply(mQueue.SetLostResponses(lost, now));
}

std::optional<gateway::RunningParent>
LocalTargetProxy::ParentOf(const std::string& aRoute,
                           std::optional<Millis> aTimeLeft,
                           Millis aArrivedAt)
{
  if (!LoadControlActive()) {
    return std::nullopt;
  }
  auto parent = mCallParents.Match(aRoute, aTimeLeft, aArrivedAt);
  if (parent) {
    mMetrics.mNestedCalls.Increment();
  }
  return parent;
}

void
LocalTargetProxy::OnNestedCallEnded(const std::string& aParentRoute,
                                    gateway::NestedCallEnd aEnd,
                                    Millis aArrivedAt)
{
  mCallAdmission.OnCallEnded(aParentRoute, aEnd, aArrivedAt, SteadyNow());
}

Millis
LocalTargetProxy::RetryAfterOf(const ActiveCall& aActive)
{
  const CallMessage& call = aActive.mCall;
  const Millis wait = mQueue.ExpectedWait(
    call.mPriority, mRunTimes.Mean(call.mRoute), call.mNestedCall);
  if (!LoadControlActive()) {
    return wait;
  }
  const Millis now = SteadyNow();
  return std::max(
    mPromises.Promise(mQueue.Waiting(), wait, aActive.mDeadline - now, now),
    mCallAdmission.UntilNext(call.mRoute));
}

double
LocalTargetProxy::Slowdown() const
{
  const Millis now = SteadyNow();
  std::vector<gateway::RunInProgress> runs;
  for (const auto& [id, active] : mActiveCalls) {
    if (active.mSentToTarget) {
      runs.push_back(
        { .mRoute = active.mCall.mRoute, .mAge = now - active.mStartedAt });
    }
  }
  return mRunTimes.Slowdown(runs);
}

TargetLoad
LocalTargetProxy::Load() const
{
  const double decay = std::exp2((mLastRunEnd - SteadyNow()) / kDecayHalfLife);
  return { .mSlots = mQueue.Slots(),
           .mRunning = mQueue.Running(),
           .mWaiting = mQueue.Waiting(),
           .mMeanRunTime =
             mRunTimes.OverallMean() * (0.5 + 0.5 * decay) * Slowdown(),
           .mSuccessRate = 1 - (1 - mSuccessRate) * decay,
           .mAdmissionRate = AdmissionRate(),
           .mSlowdown = mPresentSpeed.Slowdown(SteadyNow()) };
}

} // namespace papayaway::sidecar
