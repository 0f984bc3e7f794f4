#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <gateway/CapPool.h>
#include <gateway/CapTerms.h>

namespace papayaway::gateway {

/** One round of a coordinator, which asks all nodes to lend their parts of the
 *  caps. */
struct CapRound
{
  CapCoordinator mCoordinator;
  std::uint64_t mNumber = 0;

  bool operator==(const CapRound&) const = default;
};

/** The part that a node lends in answer to a round; from a relay, the sum of
 * the parts of the nodes that it has forwarded the round to. */
struct CapLoan
{
  CapRound mRound;
  /** A fraction of all caps. */
  double mShare = 0;

  bool operator==(const CapLoan&) const = default;
};

/** From a node to its relay, and from a relay to the coordinator. */
struct CapReport
{
  std::optional<CapLoan> mLoan;
  /** Identifies the request for tokens; repeated in the answer. */
  std::uint64_t mRequest = 0;
  /** How many tokens are requested, by tenant. */
  std::map<std::string, std::uint32_t> mWanted;

  bool operator==(const CapReport&) const = default;
};

/** What was granted for one tenant. */
struct CapTenantGrant
{
  std::string mTenant;
  CapGrant mGrant;
  /** How long the tokens are valid, counted from when the receiver sent its
   *  request. */
  Millis mValidFor;

  bool operator==(const CapTenantGrant&) const = default;
};

/** From a coordinator to the relays and from these to their nodes: a round, or
 *  the answer to a request for tokens. */
struct CapAnswer
{
  std::optional<CapRound> mRound;
  std::uint64_t mRequest = 0;
  std::vector<CapTenantGrant> mGrants;

  bool operator==(const CapAnswer&) const = default;
};

} // namespace papayaway::gateway
