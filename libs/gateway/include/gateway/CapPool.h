#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <base/Millis.h>
#include <gateway/CapTerms.h>

namespace papayaway::gateway {

/** The answer to a request for tokens. */
struct CapGrant
{
  std::uint32_t mTokens = 0;
  /** If fewer tokens were granted than requested: the expected time until the
   *  rest could be granted. */
  Millis mWait;

  bool operator==(const CapGrant&) const = default;
};

/**
 * Issues the tokens of all tenants at a coordinator, from one bucket for each.
 *
 * The coordinator controls a share of all caps, between 0 and 1, which other
 * nodes have lent to it. Its buckets gain that share of the rate and hold at
 * most that share of the depth. Buckets start empty, so a restart or a change
 * of coordinator adds no tokens.
 */
class CapPool
{
public:
  /** Sets the terms by tenant. Buckets of new tenants are empty. */
  void SetTerms(const std::map<std::string, CapTerms>& aTerms, Millis aNow);

  /** Sets the share. Must also be called when the share has decreased for a
   *  time, before it increases again. */
  void SetShare(double aShare, Millis aNow);

  /** Takes up to aRequested tokens of the tenant.
   *  @return none for an unknown tenant. */
  CapGrant Take(const std::string& aTenant,
                std::uint32_t aRequested,
                Millis aNow);

private:
  struct Bucket
  {
    CapTerms mTerms;
    double mTokens = 0;
    /** The value of mShareTime when mTokens was last updated. */
    double mShareTime = 0;
    /** Requested tokens that could not be granted; decays with time. */
    double mBacklog = 0;
    Millis mBacklogAt;
  };

  /** Adds the time since the last call to mShareTime.
   *  @param aShare the share during that time. */
  void Advance(double aShare, Millis aNow);
  void Refill(Bucket& aBucket) const;

  std::map<std::string, Bucket> mBuckets;
  double mShare = 0;
  /** The integral of the share over time, in seconds. */
  double mShareTime = 0;
  Millis mAdvancedAt;
};

} // namespace papayaway::gateway
