#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include <base/Millis.h>

namespace papayaway::gateway {

/** A run that has not ended yet. */
struct OpenRun
{
  std::string_view mRoute;
  Millis mAge;
};

/** Learns how long the requests of each route run at one target. */
class RunTimes
{
public:
  /** Assumed before the first request of any route has run. */
  static constexpr Millis kInitial{ 150 };
  /** The weight of a new run, so that about the last 10 count. */
  static constexpr double kNewWeight = 0.1;
  /** Mean deviations above the mean within which about 3 in 4 runs end. */
  static constexpr double kMostDeviations = 0.8;

  /** Open runs this many times older than the mean count as overdue. One run
   *  in a hundred takes several means; half of all runs never do at a sound
   *  target. */
  static constexpr double kOverdue = 2;

  void OnRun(std::string_view aRoute, Millis aTime);

  /** Shows that a target has become slow or silent before its runs end, which
   *  may be only at their deadlines.
   *  @return how many times more than the mean more than half of the open runs
   *    have taken, or 1 if they are not overdue or fewer than two. */
  [[nodiscard]] double Slowdown(std::span<const OpenRun> aRuns) const;

  /** @return the mean time of the route, or of all routes if it has none. */
  [[nodiscard]] Millis Mean(std::string_view aRoute) const;

  /** @return the time within which about 3 in 4 runs of the route end. */
  [[nodiscard]] Millis Most(std::string_view aRoute) const;

  /** @return the mean over the runs of all routes. */
  [[nodiscard]] Millis Overall() const { return mOverall; }

private:
  struct Estimate
  {
    Millis mMean;
    Millis mDeviation;
  };
  struct StringHash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aText) const
    {
      return std::hash<std::string_view>()(aText);
    }
  };

  std::unordered_map<std::string, Estimate, StringHash, std::equal_to<>>
    mRoutes;
  Millis mOverall = kInitial;
};

} // namespace papayaway::gateway
