#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

#include <base/Millis.h>

namespace papayaway::gateway {

/**
 * Orders the requests of tenants so that each tenant gets slot time in
 * proportion to its weight (start-time fair queueing).
 *
 * Each request gets a tag, and requests are started in the order of their tags.
 * The tag of a tenant's next request is the tag of its last one plus the slot
 * time of that one divided by the weight, but at most kSavedRequests requests
 * less than the greatest tag started so far. So a tenant that uses less than
 * its share goes first, one that sends more waits behind its own requests, and
 * unused shares are saved up for a few requests only.
 */
class FairShares
{
public:
  /** For how many requests a tenant may save up its unused share. With 0,
   *  tenants with few requests lose their shares in the gaps between these: in
   *  FairSharesTest the worst tenth was served 0.43 of its requests, the
   * largest tenant 0.57. With 8, these are 0.52 and 0.53, and the mean of the
   * tenants 0.58, at the cost of the largest. */
  static constexpr double kSavedRequests = 2;

  /** Adds a request.
   *  @param aTenant empty if it has no tenant; it then gets the tag of the
   *    requests whose turn it is.
   *  @param aWeight greater than 0; compared with those of other tenants.
   *  @return the tag of the request. */
  [[nodiscard]] double Add(const std::string& aTenant,
                           double aWeight,
                           Millis aRunTime);

  /** @return the tag that Add() would return. */
  [[nodiscard]] double NextTag(const std::string& aTenant,
                               double aWeight,
                               Millis aRunTime) const;

  /** Handles the start of a request that Add() has returned the tag of. */
  void OnStarted(double aTag);

  /** Handles the end of a request that was not started; has the arguments of
   *  its Add(). */
  void OnRemoved(const std::string& aTenant, double aWeight, Millis aRunTime);

  /** @return the number of tenants whose use is stored. */
  [[nodiscard]] std::size_t StoredTenants() const { return mUses.size(); }

private:
  struct Use
  {
    double mNextTag = 0;
    /** How far mNextTag may be below mStartedTag. */
    double mSaved = 0;
  };

  /** The greatest tag of a started request. */
  double mStartedTag = 0;
  /** The tenants that have not saved up all they may. */
  std::unordered_map<std::string, Use> mUses;
  /** The size of mUses at which it is cleaned up next. */
  std::size_t mCleanUpSize = 128;
};

} // namespace papayaway::gateway
