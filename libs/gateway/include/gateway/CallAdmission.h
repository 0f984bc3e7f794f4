#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include <base/Millis.h>

namespace papayaway::gateway {

/** How a call that a running request made has ended. */
enum class NestedCallEnd
{
  /** A target has answered it in time. */
  Answered,
  /** It was refused, or not answered before its deadline. */
  RefusedOrLate,
};

struct CallAdmissionOptions
{
  /** How often the rate of a route is adapted. */
  Millis mWindow{ 300 };
  /** A window lasts until this many calls have ended in it. */
  int mMinCalls = 8;
  /** A window lasts at most this long; a route without calls recovers. */
  Millis mMaxWindow{ 1000 };
  /** The weight of the newest window in the average fraction of lost calls. One
   *  window of a node has few calls, of which one or two are lost by chance. */
  double mWindowWeight = 0.5;
  /** The rate is lowered if more than this fraction of the calls is lost. Some
   *  are refused also when the called service is nearly full. */
  double mMaxLostFraction = 0.05;
  /** The factor by which the rate rises in each other window. */
  double mIncreaseFactor = 1.06;
  /** After this many windows in a row without any lost call, the called service
   *  has room, and the rate rises by this factor instead. By 6 % in windows of
   *  1 s a rate of 1 would take a minute to reach 30. */
  int mFastIncreaseWindows = 3;
  double mFastIncreaseFactor = 1.5;
  /** The rate is never lowered below this many requests a second, so that some
   *  calls show when the called service has room again. */
  double mMinRate = 1;
  /** How many requests may start at once after a pause, in seconds of the
   *  rate; at least one. */
  double mBurstSeconds = 0.1;
  /** The limit is removed once it is this many times the rate of arrivals. */
  double mRemoveFactor = 1.5;
  /** The maximum number of routes; others are not limited. */
  std::size_t mMaxRoutes = 1000;

  bool operator==(const CallAdmissionOptions&) const = default;
};

/**
 * Limits how many requests of a route start at one target while the calls that
 * they make are refused or late.
 *
 * A run whose call is refused fails, and the work of that run and of its other
 * calls is lost. So when calls are refused, fewer runs are started: the rate of
 * starts is multiplied by the fraction of calls that succeeded, and rises
 * slowly while calls succeed, so that about as many runs start as get their
 * calls. Requests beyond the rate are refused before they
 * take a slot. Calls that began before the rate was lowered don't lower it
 * again.
 */
class CallAdmission
{
public:
  CallAdmission() = default;
  explicit CallAdmission(CallAdmissionOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /** Decides whether a request may be started or queued.
   *  @return whether the rate of its route allows it. */
  [[nodiscard]] bool TryAdmit(const std::string& aRoute, Millis aNow);

  /** Takes back the admission of a request that was not started after all. */
  void OnNotStarted(const std::string& aRoute);

  /** Records the end of a call.
   *  @param aParentRoute the route of the request that made it.
   *  @param aBegan when the call was made. */
  void OnCallEnded(const std::string& aParentRoute,
                   NestedCallEnd aEnd,
                   Millis aBegan,
                   Millis aNow);

  /** @return how many requests of the route may start a second; nullopt if they
   *    are not limited. */
  [[nodiscard]] std::optional<double> Rate(const std::string& aRoute) const;

  /** @return how many routes are limited. */
  [[nodiscard]] std::size_t LimitedRoutes() const;

  /** @return how long until the rate of the route allows another request. */
  [[nodiscard]] Millis UntilNext(const std::string& aRoute) const;

private:
  struct RouteState
  {
    /** Requests a second; not limited if empty. */
    std::optional<double> mRate;
    double mTokens = 0;
    Millis mRefilledAt;
    Millis mLoweredAt{ -1 };
    Millis mWindowStart;
    int mArrivals = 0;
    int mAdmitted = 0;
    int mCalls = 0;
    int mLostCalls = 0;
    /** The average fraction of calls that were refused or late. */
    double mLostFraction = 0;
    /** The number of windows since the last lost call. */
    int mCleanWindows = 0;
  };

  /** @return the number of requests that may start at once. */
  [[nodiscard]] double Burst(double aRate) const;
  /** Ends the window of the route if it has lasted long enough, and adapts the
   *  rate. */
  void Adapt(RouteState& aState, Millis aNow) const;

  CallAdmissionOptions mOptions;
  /** The routes that made calls. */
  std::map<std::string, RouteState> mRoutes;
};

} // namespace papayaway::gateway
