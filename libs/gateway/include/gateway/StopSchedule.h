#pragma once

#include <algorithm>

#include <base/Millis.h>

namespace papayaway::gateway {

struct StopScheduleOptions
{
  /** The platform kills the process this long after the stop signal. */
  Millis mGracePeriod = Seconds(6);
  /** For how long callers are still accepted, but not after half of the grace
   *  period. The platform sends callers elsewhere after two failed readiness
   *  checks, a second apart. */
  Millis mAcceptCallers{ 3000 };
  /** For how long calls from other nodes are still accepted, which may have
   *  sent them before they learned of the stop. */
  Millis mAcceptCalls{ 400 };
  /** Unfinished requests are abandoned this long before the end of the grace
   *  period. */
  Millis mReserve{ 400 };
  /** How long after its deadline a request is answered at the latest. */
  Millis mAnswerDelay{ 100 };

  bool operator==(const StopScheduleOptions&) const = default;
};

/**
 * Decides what a process takes on between its stop signal and its end. It takes
 * nothing that may outlast it: a request that is taken ends with its answer or
 * at its deadline.
 */
class StopSchedule
{
public:
  StopSchedule(StopScheduleOptions aOptions, Millis aStarted)
    : mOptions(aOptions)
    , mStarted(aStarted)
  {
  }

  /** @return when requests that have not ended are abandoned. */
  [[nodiscard]] Millis End() const
  {
    return mStarted + mOptions.mGracePeriod - mOptions.mReserve;
  }

  /** @return whether connections of callers are accepted. */
  [[nodiscard]] bool AcceptsCallers(Millis aNow) const
  {
    return aNow < mStarted + std::min(mOptions.mAcceptCallers,
                                      mOptions.mGracePeriod * 0.5);
  }

  /** @return whether a request with this deadline ends before the process
   *    does. */
  [[nodiscard]] bool MayTakeRequest(Millis aDeadline) const
  {
    return aDeadline + mOptions.mAnswerDelay <= End();
  }

  /** @return whether a call of another node with this deadline is taken. */
  [[nodiscard]] bool MayTakeCall(Millis aDeadline, Millis aNow) const
  {
    return aNow <= mStarted + mOptions.mAcceptCalls &&
           MayTakeRequest(aDeadline);
  }

  /** @return the time until the platform sends callers to other nodes. */
  [[nodiscard]] Millis UntilCallersAreRedirected(Millis aNow) const
  {
    return std::max(Millis{}, mStarted + mOptions.mAcceptCallers - aNow);
  }

private:
  StopScheduleOptions mOptions;
  Millis mStarted;
};

} // namespace papayaway::gateway
