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
  /** The duration of the lease. */
  Millis mLease = Seconds(6);
  /** Between the requests of the holder and of the first member in rank. */
  Millis mInterval = Seconds(2);
  /** The holder stops this long before the lease ends, for clocks that run
   *  at different rates. */
  Millis mMargin{ 500 };
  /** Members that try for the lease, in rank order. Writes of all 900 nodes
   *  would exceed what the platform handles. */
  std::size_t mCandidates = 3;
};

/** The platform granted the lease or renewed it. */
struct LeaseGranted
{
  std::uint64_t mToken = 0;
  Millis mTtl;
};

/** Another node holds the lease. */
struct LeaseRefused
{
  std::string mHolder;
  Millis mRemaining;
};

/** The request failed or timed out; it may still have taken effect. */
struct LeaseUnanswered
{};

using LeaseResult = std::variant<LeaseGranted, LeaseRefused, LeaseUnanswered>;

/** Asks the platform for the lease; its result goes to OnResult(). */
struct RequestLease
{
  Millis mTtl;
  /** The token of a lease that is renewed. */
  std::optional<std::uint64_t> mToken;
};

/** Publishes the relay fact with the token and opens the relay's links. */
struct ActAsRelay
{
  std::uint64_t mToken = 0;
};

/** Opens the relay's links without a lease. The relay fact is published with
 *  the last known token. */
struct ActProvisionally
{};

/** Closes the relay's links. */
struct StopRelay
{};

/** Gives the lease back. */
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
  Relay,
  Provisional,
};

/** Decides whether a node is the relay of its data centre. Times are those
 *  of the steady clock. */
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

  /** Takes the result of the last RequestLease. Each request has exactly one
   *  result; the caller makes a timeout an unanswered one. */
  RelayActions OnResult(Millis aNow,
                        const LeaseResult& aResult,
                        Random& aRandom);

  /** Stops for good. */
  RelayActions Leave(Millis aNow);

  [[nodiscard]] RelayRole Role() const { return mRole; }

  /** @return until when the lease is valid by the own clock. */
  [[nodiscard]] Millis ValidUntil() const { return mValidUntil; }

private:
  void Become(RelayRole aRole, RelayActions& aActions);
  void Granted(Millis aNow, const LeaseGranted& aLease, RelayActions& aActions);
  [[nodiscard]] RelayRole RoleAt(Millis aNow) const;

  std::string mNode;
  std::string mDataCentre;
  RelayElectionOptions mOptions;

  RelayRole mRole = RelayRole::None;
  /** The place in rank order among the live members, or none. */
  std::optional<std::size_t> mRank;
  std::uint64_t mToken = 0;
  Millis mValidUntil;
  Millis mNextRequest;
  Millis mSent;
  bool mWaiting = false;
  bool mLeft = false;
  /** When the first request was sent that was followed by no answer. */
  std::optional<Millis> mUnansweredSince;
};

} // namespace papayaway
