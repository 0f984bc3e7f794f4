#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <base/Millis.h>
#include <gateway/CapTerms.h>

namespace papayaway::gateway {

enum class CapOutcome
{
  /** The request may run; a token was taken for it. */
  Admitted,
  /** The request must be refused. */
  Refused,
  /** The request waits for a token. */
  Held,
};

struct CapDecision
{
  CapOutcome mOutcome = CapOutcome::Admitted;
  /** When the token of an admitted request expires. Never() if the tenant has
   *  no cap. */
  Millis mTokenExpiry;
  /** For a refused request: when a token is expected. */
  Millis mRetryAfter;
};

/** The decision about a request that was held. */
struct CapRelease
{
  std::uint64_t mId = 0;
  CapDecision mDecision;
};

/**
 * The tokens of one node for the requests of each tenant, and the requests that
 * wait for tokens.
 *
 * The node keeps a small stock for the demand that it expects. A request that
 * finds none is held while tokens are requested, unless the last request has
 * shown that the cap is used up.
 */
class UsageCap
{
public:
  /** Sets the terms of the tenants that have a cap. */
  void SetTerms(const std::map<std::string, CapTerms>& aTerms);

  /** Decides whether a request may run.
   *  @param aId identifies the request if it is held.
   *  @param aHoldUntil how long the request may be held. */
  CapDecision Admit(const std::string& aTenant,
                    std::uint64_t aId,
                    Millis aHoldUntil,
                    Millis aNow);

  /** Returns the token of a request that did not run.
   *  @param aTokenExpiry the expiry from the decision. */
  void Credit(const std::string& aTenant, Millis aTokenExpiry, Millis aNow);

  /** @return how many tokens to request now, by tenant. */
  std::map<std::string, std::uint32_t> Wanted(Millis aNow);

  /** Records the answer to a request for tokens.
   *  @param aExpiry when the granted tokens expire.
   *  @param aWait if fewer were granted than requested: the expected time until
   *    more can be granted. */
  void OnGrant(const std::string& aTenant,
               std::uint32_t aRequested,
               std::uint32_t aGranted,
               Millis aExpiry,
               Millis aWait,
               Millis aNow);

  /** @return the held requests that are now admitted or have to be refused. */
  std::vector<CapRelease> TakeReleases(Millis aNow);

  [[nodiscard]] std::size_t HeldRequests() const { return mHeldRequests; }

private:
  struct Tokens
  {
    Millis mExpiry;
    std::uint32_t mCount = 0;
  };
  struct HeldRequest
  {
    std::uint64_t mId = 0;
    Millis mUntil;
  };
  struct TenantState
  {
    CapTerms mTerms;
    /** In the order of expiry. */
    std::vector<Tokens> mStock;
    std::uint32_t mStockCount = 0;
    std::vector<HeldRequest> mHeld;
    /** The arrivals, decayed with time. */
    double mArrivals = 0;
    Millis mArrivedAt;
    /** Until then no tokens are requested, because the cap was used up. */
    Millis mUsedUpUntil;
    /** When more tokens are expected, according to the coordinator. */
    Millis mExpectedAt;
    /** The time up to which the tokens expected later are promised to refused
     *  callers. */
    Millis mPromisedUntil;
  };

  void DropExpired(TenantState& aTenant, Millis aNow) const;
  /** Admits the tenant's held requests for which there are tokens now, and
   *  refuses those for which none can arrive in time. */
  void ReleaseHeld(TenantState& aTenant,
                   std::vector<CapRelease>& aReleases,
                   Millis aNow);
  /** @return the expiry of the token, or 0 if there is none. */
  Millis Take(TenantState& aTenant, Millis aNow) const;
  void AddTokens(TenantState& aTenant, Tokens aTokens) const;
  CapDecision Refuse(TenantState& aTenant, Millis aNow) const;

  std::unordered_map<std::string, TenantState> mTenants;
  std::size_t mHeldRequests = 0;
  /** Decisions about held requests of tenants whose cap was removed. */
  std::vector<CapRelease> mReleases;
};

} // namespace papayaway::gateway
