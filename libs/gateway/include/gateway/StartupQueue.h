#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include <base/Millis.h>

namespace papayaway::gateway {

struct StartupQueueOptions
{
  /** Nodes get the desired state from their neighbours 0.15 s after their
   *  start in the middle, and 0.95 s at the latest when all start at once (one
   *  run of lusikakoda-grown, 76 nodes). Later nobody knows when it comes. */
  Millis mWindow{ 1200 };
  /** A request that waits longer misses most objectives. */
  Millis mLongestWait{ 500 };
  /** The part of the caller's own time that it may wait, as for the pause that
   *  a refused caller is asked to make. */
  double mPatiencePart = 0.3;
  /** Bounds the memory of waiting requests. */
  std::size_t mMost = 256;

  bool operator==(const StartupQueueOptions&) const = default;
};

/**
 * Holds the requests that reach a process before it knows the desired state
 * and a target for them.
 *
 * Both are on their way, so a short wait serves callers that would otherwise
 * be refused and come back all at once. When they stay away, requests are
 * refused at once.
 */
class StartupQueue
{
public:
  /** @param aStart when the process started. */
  StartupQueue(StartupQueueOptions aOptions, Millis aStart);

  /** @return whether requests may be held at all now. */
  [[nodiscard]] bool IsOpen(Millis aNow) const { return aNow < mWindowEnd; }

  /** @param aPatience how long the caller waits; nothing if it did not say.
   *  @param aArrived when the request came, which may have been held before.
   *  @return whether the request is held from now on. */
  [[nodiscard]] bool TryHold(std::uint64_t aId,
                             std::optional<Millis> aPatience,
                             Millis aArrived,
                             Millis aNow);

  /** Forgets a request whose caller has left. */
  void Remove(std::uint64_t aId);

  /** @return the requests whose time is over, which are forgotten. */
  [[nodiscard]] std::vector<std::uint64_t> TakeExpired(Millis aNow);

  /** @return all requests in the order of their arrival; none is held any
   *    more. */
  [[nodiscard]] std::vector<std::uint64_t> TakeAll();

private:
  struct Held
  {
    std::uint64_t mId = 0;
    Millis mUntil;
  };

  StartupQueueOptions mOptions;
  Millis mWindowEnd;
  /** In the order of arrival. */
  std::deque<Held> mHeld;
};

} // namespace papayaway::gateway
