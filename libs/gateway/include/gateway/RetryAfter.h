#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include <base/Millis.h>
#include <base/Random.h>

namespace papayaway::gateway {

struct CapacityPromisesOptions
{
  /** The time after which a served request counts half in the measured rate.
   *  Longer than a slow period of a target (0.6 s), shorter than the changes of
   *  demand (15 s). */
  Millis mHalfLife{ 1000 };
  /** The fraction of the free capacity that is promised to returning callers;
   *  the rest is left for first attempts. */
  double mPromisedFraction = 0.5;
  /** The longest time to the next promise, relative to the time that the
   *  refused caller has left. Callers obey a Retry-After of up to a third. */
  double mMaxFractionOfTimeLeft = 0.3;

  bool operator==(const CapacityPromisesOptions&) const = default;
};

/**
 * Estimates when a target will have free slots for the callers that it refuses.
 *
 * It measures how many requests a second the target serves, and promises a part
 * of that rate to refused callers one after the other, so that they don't all
 * return for the same slot. A caller that can't be served in the time that it
 * has left gets no promise, because its slot would be left unused.
 */
class CapacityPromises
{
public:
  CapacityPromises() = default;
  explicit CapacityPromises(CapacityPromisesOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /** Counts a request that the target has served, which freed its slot. Failed
   *  requests don't count: their slots are free sooner than those of others. */
  void OnServed(Millis aNow);

  /** @param aAhead how many requests wait for a slot.
   *  @param aExpectedWait the expected wait for a slot, used while nothing has
   *    been served.
   *  @param aTimeLeft how long the refused caller still waits for a response.
   *  @return when the caller should return, counted from now. */
  [[nodiscard]] Millis Promise(int aAhead,
                               Millis aExpectedWait,
                               Millis aTimeLeft,
                               Millis aNow);

  /** @return the requests served a second, lately. */
  [[nodiscard]] double ServedPerSecond(Millis aNow) const;

private:
  CapacityPromisesOptions mOptions;
  /** The decayed number of served requests at mCountedAt. */
  double mServed = 0;
  Millis mCountedAt;
  /** When the next refused caller may return. */
  Millis mNextPromise;
};

struct RetryAfterOptions
{
  /** A caller that returns sooner would probably be refused again. */
  Millis mMin{ 100 };
  /** See CapacityPromisesOptions::mMaxFractionOfTimeLeft. */
  double mMaxFractionOfTimeLeft = 0.3;
  /** The value is lowered by a random part of this fraction, so that callers
   *  refused together don't return together. It is not raised, because it may
   *  be at its maximum. */
  double mSpread = 0.25;

  bool operator==(const RetryAfterOptions&) const = default;
};

/** @param aPromise when the caller should return, counted from now.
 *  @param aTimeLeft how long the caller still waits for a response.
 *  @return the Retry-After value, at least 1 ms. */
Millis RetryAfter(Millis aPromise,
                  Millis aTimeLeft,
                  Random& aRandom,
                  const RetryAfterOptions& aOptions = {});

/**
 * Recognises callers that return before the time that they were told.
 *
 * They would otherwise take the slots of first attempts and of callers that
 * wait as told. The oldest entries are forgotten when there are too many.
 */
class EarlyReturns
{
public:
  explicit EarlyReturns(std::size_t aMaxEntries = 2000)
    : mMaxEntries(aMaxEntries)
  {
  }

  /** Records the refusal of a request.
   *  @param aReturnAt when its caller may return. */
  void OnRefused(const std::string& aRequestId, Millis aReturnAt);

  /** @return how long the caller of the request should still have waited; 0 if
   *    it was not refused here or may return. */
  [[nodiscard]] Millis EarlyBy(const std::string& aRequestId,
                               Millis aNow) const;

  [[nodiscard]] std::size_t Entries() const { return mReturnAt.size(); }

private:
  std::size_t mMaxEntries;
  std::unordered_map<std::string, Millis> mReturnAt;
  /** The ids in the order of their first refusal. */
  std::deque<std::string> mOrder;
};

} // namespace papayaway::gateway
