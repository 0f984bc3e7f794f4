#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <base/Millis.h>
#include <base/Random.h>
#include <mesh/FactStore.h>

namespace papayaway {

/** Times of the failure detector. */
struct MembershipOptions
{
  Millis mHeartbeatPeriod{ 500 };
  /** A peer from which no message arrived for this long is suspected. */
  Millis mSuspectTimeout = Seconds(2);
  /** A member whose suspicion is not refuted for this long is declared dead. */
  Millis mRefutationTimeout = Seconds(3);
  /** The additional delay after which members that did not raise the suspicion
   *  declare the member dead, in case the node that raised it has failed too.
   *  The actual delay is random between once and twice this value. */
  Millis mBackupDelay = Seconds(2);
  /** The additional time that a newly chosen peer has for the first
   *  connection. */
  Millis mConnectTimeout = Seconds(3);
  /** After a longer gap between two ticks, this process is taken to have been
   *  paused. */
  Millis mMaxTickGap = Seconds(1);
  /** How long a peer that refuted a suspicion is not suspected again. It
   *  doubles with each refutation up to the maximum. Otherwise a peer behind a
   *  one-way partition would raise its incarnation every few seconds. */
  Millis mFirstSuspectBackoff = Seconds(5);
  Millis mMaxSuspectBackoff = Seconds(300);
  /** The minimum time between refutations, which limits their rate if two
   *  nodes with the same id refute each other. */
  Millis mMinRefutationInterval{ 200 };
};

/** Tells the caller to send a heartbeat on the link to a peer. */
struct SendHeartbeat
{
  std::string mPeer;
  /** The sequence number of the heartbeat. */
  std::uint64_t mCount = 0;
  bool operator==(const SendHeartbeat&) const = default;
};

/** Tells the caller to merge the fact into the store and to send it on every
 *  link. */
struct PublishMember
{
  MemberFact mFact;
  bool operator==(const PublishMember&) const = default;
};

/** Tells the caller to close the link to a silent peer, so that a new
 *  connection is opened. */
struct DropLink
{
  std::string mPeer;
  bool operator==(const DropLink&) const = default;
};

using MembershipAction = std::variant<SendHeartbeat, PublishMember, DropLink>;
using MembershipActions = std::vector<MembershipAction>;

/**
 * Detects failed members and refutes false suspicions of this node, as in SWIM.
 *
 * A peer from which no message arrives is suspected. If the suspicion is not
 * refuted by a higher incarnation in time, the member is declared dead. All
 * times are those of the steady clock.
 */
class Membership
{
public:
  /** @param aSelf the fact of this node; its incarnation is the wall clock at
   *    the start of the node in whole milliseconds. */
  explicit Membership(MemberFact aSelf, MembershipOptions aOptions = {});

  /** @return the fact of this node as last published. */
  [[nodiscard]] const MemberFact& Self() const { return mSelf; }

  /** @return the action that announces this node. */
  MembershipActions Start();

  /** Sets the peers that the overlay chose. They are monitored even without a
   *  link, because no link can be opened to a failed peer. */
  void SetChosenPeers(Millis aNow, const std::vector<std::string>& aPeers);

  void OnLinkUp(Millis aNow, const std::string& aPeer);
  void OnLinkDown(const std::string& aPeer);

  /** Records that a message of any type arrived on the link to aPeer. */
  void OnMessage(Millis aNow, const std::string& aPeer);

  /** Handles that aFact, from a peer or from this node, was merged into the
   *  store. */
  MembershipActions OnFactMerged(Millis aNow,
                                 const Fact& aFact,
                                 Random& aRandom);

  /** Sends heartbeats and checks all timeouts. Call it at least twice per
   *  heartbeat period. */
  MembershipActions Tick(Millis aNow, const FactStore& aFacts);

  /** @return the action that announces that this node stops. It refutes no
   *    suspicions from then on. */
  MembershipActions Leave();

  /** @return how often a late tick restarted the timeouts. */
  [[nodiscard]] std::uint64_t LateTicks() const { return mLateTicks; }

private:
  struct MonitoredPeer
  {
    /** The start of the current period without a message; in the future while
     *  the first connection is opened. */
    Millis mSilentSince;
    /** Whether the overlay of this node chose the peer. */
    bool mChosen = false;
    bool mLinked = false;
  };
  /** A suspicion, raised by any node, that is neither refuted nor confirmed. */
  struct Suspicion
  {
    std::uint64_t mIncarnation = 0;
    Millis mRaised;
    /** The time after mRaised when this node declares the member dead. */
    Millis mTimeout;
  };
  /** The last suspicion of one peer that this node raised. */
  struct RaisedSuspicion
  {
    std::uint64_t mIncarnation = 0;
    /** Whether it is neither refuted nor confirmed. */
    bool mPending = false;
    /** The last backoff before the peer may be suspected again. */
    Millis mSuspectBackoff;
    /** The earliest time to suspect the peer again. */
    Millis mNextAllowed;
  };

  void RestartTimeouts(Millis aNow);
  void SuspectSilentPeers(Millis aNow,
                          const FactStore& aFacts,
                          MembershipActions& aActions);
  void DeclareDead(Millis aNow,
                   const FactStore& aFacts,
                   MembershipActions& aActions);
  void Refute(Millis aNow, MembershipActions& aActions);
  void UpdateSuspicions(Millis aNow, const MemberFact& aFact, Random& aRandom);

  MemberFact mSelf;
  MembershipOptions mOptions;
  std::map<std::string, MonitoredPeer> mMonitoredPeers;
  std::map<std::string, Suspicion> mSuspicions;
  std::map<std::string, RaisedSuspicion> mRaisedSuspicions;
  std::optional<Millis> mLastTick;
  Millis mNextHeartbeat;
  std::uint64_t mHeartbeats = 0;
  /** The highest incarnation in the facts about this node that are still to be
   *  refuted. */
  std::optional<std::uint64_t> mIncarnationToRefute;
  std::optional<Millis> mLastRefutation;
  std::uint64_t mLateTicks = 0;
};

} // namespace papayaway
