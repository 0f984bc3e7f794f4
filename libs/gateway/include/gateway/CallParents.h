#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <base/Millis.h>

namespace papayaway::gateway {

/** A request that runs at the local target and may make calls. */
struct RunningParent
{
  std::string mRoute;
  /** 0 is the most urgent. */
  int mPriority = 0;
  /** The deadline that the target was told, on the clock of the node. */
  Millis mDeadline;
  /** The time until then that the target was told, in whole milliseconds. */
  Millis mTimeLeft;
  /** When its calls must have ended so that it meets its objective. */
  Millis mCallObjective;

  bool operator==(const RunningParent&) const = default;
};

struct CallParentsOptions
{
  /** How much earlier than its parent's deadline the deadline of a call may
   *  be. The target rounds the remaining time down to a millisecond. */
  Millis mMaxEarlier{ 5 };
  /** How much later than its parent's deadline the deadline of a call may
   *  appear: the node reads the call, and the target read its parent, later
   *  than they were sent. On a host with 0.1 core that takes tens of
   *  milliseconds. */
  Millis mMaxLater{ 40 };
  /** A route is called by targets if more than this fraction of its requests
   *  at this node match a running request. Requests of callers match by
   *  chance: with 18 running requests, whose deadlines spread over 2.5 s,
   *  about 3 in 10. */
  double mMinMatchFraction = 0.6;
  /** The maximum number of running requests that are remembered. */
  std::size_t mMaxParents = 1000;
  /** The maximum number of routes whose matches are counted. */
  std::size_t mMaxRoutes = 1000;

  bool operator==(const CallParentsOptions&) const = default;
};

/**
 * Recognises the calls that the local target makes while it serves requests,
 * and the request that each belongs to.
 *
 * A call does not name its parent, but carries the time that remains until the
 * parent's deadline, which is at most the time that the target was told. A
 * caller that states the same time as a request that it sent shortly before
 * states more than that, because its request took time to reach the target.
 * A request of a caller may match a deadline by chance, so
 * a match counts only for routes whose requests usually match. Of several
 * matching requests, one of the route that most often makes calls of this route
 * is chosen, then the one with the nearest deadline.
 */
class CallParents
{
public:
  CallParents() = default;
  explicit CallParents(CallParentsOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /** Adds a request that was sent to the local target. It is ignored if too
   *  many are running. */
  void OnStarted(std::uint64_t aId, RunningParent aParent);

  /** Removes a request that has ended; unknown ids are ignored. */
  void OnEnded(std::uint64_t aId);

  /** Finds the running request that a request belongs to, and counts whether
   *  there is one.
   *  @param aRoute the route of the request.
   *  @param aTimeLeft how long its sender waits, if it states it.
   *  @param aNow when the request was read.
   *  @return the running request, or nullopt if the request is not a call of
   *    the local target. */
  [[nodiscard]] std::optional<RunningParent> Match(
    const std::string& aRoute,
    std::optional<Millis> aTimeLeft,
    Millis aNow);

  /** @return the number of running requests that are remembered. */
  [[nodiscard]] std::size_t Running() const { return mRunning.size(); }

private:
  /** The requests of one route that arrived at this node. Older requests count
   *  less. */
  struct RouteCounts
  {
    double mRequests = 0;
    double mMatches = 0;
    /** Matches with running requests of one route only, by that route. */
    std::map<std::string, double> mParentRoutes;
  };

  RouteCounts& CountsOf(const std::string& aRoute);

  CallParentsOptions mOptions;
  std::map<std::uint64_t, RunningParent> mRunning;
  std::map<std::string, RouteCounts> mRoutes;
};

} // namespace papayaway::gateway
