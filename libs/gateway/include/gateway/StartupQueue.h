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
  /** How long after the start of the process requests are held. When 76 nodes
   *  start at once, they receive the desired state from other nodes after
   *  0.15 s in the median and 0.95 s at most. A node that has not received it
   *  by then can't predict when it will. */
  Millis mWindow{ 1200 };
  /** The longest time that a request is held; after a longer wait most requests
   *  would miss their objectives. */
  Millis mMaxWait{ 500 };
  /** The longest wait as a fraction of the caller's timeout. The Retry-After
   *  time of a refused request is limited to the same fraction. */
  double mMaxWaitFraction = 0.3;
  /** The maximum number of held requests, which bounds their memory. */
  std::size_t mMaxRequests = 256;

  bool operator==(const StartupQueueOptions&) const = default;
};

/**
 * Holds requests that arrive before the process has received the desired state
 * and knows a target for them.
 *
 * Both usually arrive shortly after the start, so a short wait avoids refusing
 * requests whose callers would then all retry at the same time. After the
 * window, requests are no longer held, so that callers get a refusal at once.
 */
class StartupQueue
{
public:
  /** @param aStart when the process started. */
  StartupQueue(StartupQueueOptions aOptions, Millis aStart);

  /** @return whether the window in which requests are held is still open. */
  [[nodiscard]] bool IsOpen(Millis aNow) const { return aNow < mWindowEnd; }

  /** Holds a request unless its wait or the window is over or the queue is
   *  full.
   *  @param aCallerTimeout how long the caller waits for the response, or
   *    nullopt if the request does not state it.
   *  @param aArrived when the request first arrived. The wait is counted from
   *    then, also if the request has been held before.
   *  @return whether the request is held. */
  [[nodiscard]] bool TryHold(std::uint64_t aId,
                             std::optional<Millis> aCallerTimeout,
                             Millis aArrived,
                             Millis aNow);

  /** Removes a request whose caller has disconnected. */
  void Remove(std::uint64_t aId);

  /** Removes the requests whose wait is over.
   *  @return their ids in the order in which they were held. */
  [[nodiscard]] std::vector<std::uint64_t> TakeExpired(Millis aNow);

  /** Removes all requests.
   *  @return their ids in the order in which they were held. */
  [[nodiscard]] std::vector<std::uint64_t> TakeAll();

private:
  struct HeldRequest
  {
    std::uint64_t mId = 0;
    Millis mExpiry;
  };

  StartupQueueOptions mOptions;
  Millis mWindowEnd;
  /** In the order in which the requests were held. */
  std::deque<HeldRequest> mHeld;
};

} // namespace papayaway::gateway
