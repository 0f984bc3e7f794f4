#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <base/Millis.h>
#include <base/Random.h>

namespace papayaway {

struct RelayElectionOptions
{
  /** The duration of the lease that is requested. */
  Millis mLeaseDuration = Seconds(6);
  /** The interval between lease requests of the holder, to renew the lease, and
   *  of the first member in rank order. */
  Millis mRequestInterval = Seconds(2);
  /** How long before the end of the lease the holder stops acting as relay,
   *  because its clock and that of the platform run at different rates. */
  Millis mExpiryMargin{ 500 };
  /** The number of members, from the start of the rank order
   *  (RelayRankOrder()), that request the lease. Requests of all 900 nodes
   *  would exceed what the platform handles. */
  std::size_t mMaxCandidates = 3;
};

/** The platform granted the lease or renewed it. */
struct LeaseGranted
{
  /** The fencing token; a renewal keeps it. */
  std::uint64_t mToken = 0;
  Millis mTtl;
};

/** Another node holds the lease. */
struct LeaseRefused
{
  std::string mHolder;
  /** The time until the lease of that node ends. */
  Millis mRemaining;
};

/** The request failed or timed out; the platform may still have granted it. */
struct LeaseRequestFailed
{};

using LeaseResult =
  std::variant<LeaseGranted, LeaseRefused, LeaseRequestFailed>;

/** Tells the caller to request the lease from the platform and to pass the
 *  result to OnResult(). */
struct RequestLease
{
  Millis mTtl;
  /** The token of the lease to renew; none for a new lease. */
  std::optional<std::uint64_t> mToken;
};

/** Tells the caller to publish the relay fact with this token and to open the
 *  links to other data centres. */
struct ActAsRelay
{
  std::uint64_t mToken = 0;
};

/** Tells the caller to open the links to other data centres without a lease and
 *  to publish the relay fact with the last known token. */
struct ActProvisionally
{};

/** Tells the caller to close the links to other data centres. */
struct StopRelay
{};

/** Tells the caller to release the lease at the platform. */
struct ReleaseLease
{
  std::uint64_t mToken = 0;
};

using RelayAction = std::
  variant<RequestLease, ActAsRelay, ActProvisionally, StopRelay, ReleaseLease>;
using RelayActions = std::vector<RelayAction>;

enum class RelayRole
{
  None,
  /** Holds the lease. */
  Relay,
  /** Acts as relay without a lease while the platform is unavailable. */
  Provisional,
};

/** Decides whether a node is the relay of its data centre: the node that
 *  exchanges messages with other data centres. The relay holds a lease that the
 *  platform grants to one node per data centre. While the platform is
 *  unavailable, the first live member in rank order acts as provisional relay.
 *  All times are those of the steady clock. */
class RelayElection
{
public:
  RelayElection(std::string aNode,
                std::string aDataCentre,
                RelayElectionOptions aOptions = {});

  /** Call it a few times a second.
   *  @param aLiveMembers the live members of the own data centre. */
  RelayActions Tick(Millis aNow,
                    const std::vector<std::string>& aLiveMembers,
                    Random& aRandom);

  /** Handles the result of the last RequestLease. The caller passes exactly one
   *  result for each request; after a timeout, that is LeaseRequestFailed. */
  RelayActions OnResult(Millis aNow,
                        const LeaseResult& aResult,
                        Random& aRandom);

  /** Releases the lease because the node stops. The election returns no
   *  RequestLease from then on. */
  RelayActions Leave(Millis aNow);

  [[nodiscard]] RelayRole Role() const { return mRole; }

  /** @return until when this node may act on its lease, by its own clock. */
  [[nodiscard]] Millis ValidUntil() const { return mValidUntil; }

private:
  void SetRole(RelayRole aRole, RelayActions& aActions);
  void ApplyGrant(Millis aNow,
                  const LeaseGranted& aLease,
                  RelayActions& aActions);
  [[nodiscard]] RelayRole RoleAt(Millis aNow) const;

  std::string mNode;
  std::string mDataCentre;
  RelayElectionOptions mOptions;

  RelayRole mRole = RelayRole::None;
  /** The index of this node in the rank order of the live members; none if it
   *  is not among them. */
  std::optional<std::size_t> mRank;
  std::uint64_t mToken = 0;
  Millis mValidUntil;
  Millis mNextRequest;
  Millis mRequestSent;
  bool mRequestPending = false;
  bool mStopped = false;
  /** When the first of the consecutive unanswered requests was sent. */
  std::optional<Millis> mUnansweredSince;
};

} // namespace papayaway
