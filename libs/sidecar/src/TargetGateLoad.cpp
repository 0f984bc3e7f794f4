#include <sidecar/TargetGate.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace papayaway::sidecar {

using gateway::TargetLoad;

namespace {

/** A request that was sent less long ago may not have reached the target, so
 *  it can be missing in the target's report. */
constexpr Millis kSettled{ 50 };
/** How fast the memory of slow and failed runs fades while nothing runs:
 *  halved in this time, so that a target that recovered is tried again. */
constexpr Millis kFadeHalf = Seconds(3);

} // namespace

void
TargetGate::OnReport(const TargetReport& aReport)
{
  const Millis now = SteadyNow();
  const auto settled =
    std::count_if(mServing.begin(), mServing.end(), [&](const auto& aEntry) {
      const Serving& serving = aEntry.second;
      return serving.mAtTarget && now - serving.mStarted >= kSettled;
    });
  // Which of them are lost can't be told, so none of them ends before its
  // deadline: the target may be at work on it.
  const int lost =
    static_cast<int>(settled) - aReport.mRunning - aReport.mWaiting;
  Apply(mQueue.SetLost(lost, now));
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
