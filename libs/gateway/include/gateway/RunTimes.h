#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include <base/Millis.h>

namespace papayaway::gateway {

/** A run in progress: a request that the target has not answered yet. */
struct RunInProgress
{
  std::string_view mRoute;
  /** The time since the run started. */
  Millis mAge;
};

/** Estimates how long the requests of each route run at one target. */
class RunTimes
{
public:
  /** Assumed before the first request of any route has run. */
  static constexpr Millis kInitialMean{ 150 };
  /** The weight of a new run in the moving averages, which then cover about the
   *  last 10 runs. */
  static constexpr double kSampleWeight = 0.1;
  /** About 3 in 4 runs end within the mean plus this many mean deviations. */
  static constexpr double kPercentile75Deviations = 0.8;

  /** A run in progress is overdue if it has taken more than this many times the
   *  mean. One run in a hundred takes several times the mean, but at a healthy
   *  target this never applies to half of the runs in progress at once. */
  static constexpr double kOverdueFactor = 2;

  /** Adds the run time of a request that has ended. */
  void OnRun(std::string_view aRoute, Millis aTime);

  /** Detects that a target has become slow or silent before its runs end, which
   *  may be as late as their deadlines.
   *  @return the multiple of the mean run time that more than half of the runs
   *    in progress have taken, or 1 if these are not overdue or there are fewer
   *    than two runs. */
  [[nodiscard]] double Slowdown(std::span<const RunInProgress> aRuns) const;

  /** @return the mean run time of the route, or of all routes if none of its
   *    requests has run. */
  [[nodiscard]] Millis Mean(std::string_view aRoute) const;

  /** @return whether a request of the route has run. */
  [[nodiscard]] bool Knows(std::string_view aRoute) const
  {
    return mRoutes.find(aRoute) != mRoutes.end();
  }

  /** @return the time within which about 3 in 4 runs of the route end. */
  [[nodiscard]] Millis Percentile75(std::string_view aRoute) const;

  /** @return the mean run time of the requests of all routes. */
  [[nodiscard]] Millis OverallMean() const { return mOverallMean; }

private:
  struct Estimate
  {
    Millis mMean;
    /** The mean absolute deviation from the mean. */
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
  Millis mOverallMean = kInitialMean;
};

} // namespace papayaway::gateway
