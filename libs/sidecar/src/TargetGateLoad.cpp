#include <sidecar/TargetGate.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace papayaway::sidecar {

using gateway::TargetLoad;

namespace {

/** A request that was sent less long ago may not have reached the target, so
 *  it can be missing in the target's report. */
constexpr Millis kSettled{ 50 };
/** A request whose answer is missing and that has taken this many of its mean
 *  run times is taken for lost. */
constexpr double kLostRuns = 1.5;
/** How fast the memory of slow and failed runs fades while nothing runs:
 *  halved in this time, so that a target that recovered is tried again. */
constexpr Millis kFadeHalf = Seconds(3);

} // namespace

void
TargetGate::OnReport(const TargetReport& aReport)
{
  const Millis now = SteadyNow();
  int settled = 0;
  std::vector<std::pair<double, CallId>> overdue;
  for (const auto& [id, serving] : mServing) {
    const Millis age = now - serving.mStarted;
    if (!serving.mAtTarget || age < kSettled) {
      continue;
    }
    ++settled;
    const double runs = age / mRunTimes.Mean(serving.mCall.mRoute);
    if (runs >= kLostRuns && serving.mCall.mIdempotent) {
      overdue.emplace_back(runs, id);
    }
  }
  const int lost = settled - aReport.mRunning - aReport.mWaiting;
  if (lost <= 0) {
    Apply(mQueue.SetLost(0, now));
    return;
  }
  // What may be repeated need not wait for its deadline. The longest open ones
  // are those that the target does not know any more.
  std::sort(overdue.rbegin(), overdue.rend());
  overdue.resize(std::min(overdue.size(), static_cast<std::size_t>(lost)));
  Apply(mQueue.SetLost(lost - static_cast<int>(overdue.size()), now));
  for (const auto& entry : overdue) {
    const auto found = mServing.find(entry.second);
    if (found == mServing.end()) {
      continue;
    }
    mClient.Cancel(found->second.mClientCall);
    mSuccess *= 1 - kSuccessWeight;
    mMetrics.OnRun("answer_lost", now - found->second.mStarted);
    Finish(entry.second,
           { .mOutcome = CallOutcome::Unknown,
             .mReason = "target_lost_the_answer",
             .mReachedTarget = true });
    FreeSlot();
  }
}

double
TargetGate::Slowdown() const
{
  const Millis now = SteadyNow();
  std::vector<gateway::OpenRun> runs;
  for (const auto& [id, serving] : mServing) {
    if (serving.mAtTarget) {
      runs.push_back(
        { .mRoute = serving.mCall.mRoute, .mAge = now - serving.mStarted });
    }
  }
  return mRunTimes.Slowdown(runs);
}

TargetLoad
TargetGate::Load() const
{
  const double fade = std::exp2((mLastRunEnd - SteadyNow()) / kFadeHalf);
  return { .mSlots = mQueue.Slots(),
           .mRunning = mQueue.Running(),
           .mWaiting = mQueue.Waiting(),
           .mMeanRun = mRunTimes.Overall() * (0.5 + 0.5 * fade) * Slowdown(),
           .mSuccess = 1 - (1 - mSuccess) * fade };
}

} // namespace papayaway::sidecar
