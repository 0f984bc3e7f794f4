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

struct MembershipOptions
{
  Millis mHeartbeat{ 500 };
  /** A peer that is not heard for so long is suspected. */
  Millis mSilence = Seconds(2);
  /** A suspicion that is not refuted for so long makes the member dead. */
  Millis mRefutation = Seconds(3);
  /** How much later members that did not raise the suspicion act on it, in
   *  case that the one that did died too. */
  Millis mBackup = Seconds(2);
  /** The time for the first connection to a newly chosen peer. */
  Millis mConnect = Seconds(3);
  /** A longer gap between ticks means that this process was paused. */
  Millis mLateTick = Seconds(1);
  /** After a refutation the same peer is not suspected again for so long,
   *  doubling up to the longest. A one-way partition would otherwise make the
   *  peer raise its incarnation every few seconds. */
  Millis mFirstHold = Seconds(5);
  Millis mLongestHold = Seconds(300);
  /** Bounds the rate of refutations, for two nodes with the same id that
   *  refute each other. */
  Millis mRefutationGap{ 200 };
};

struct SendHeartbeat
{
  std::string mPeer;
  std::uint64_t mCount = 0;
  bool operator==(const SendHeartbeat&) const = default;
};

/** Merges the fact into the store and sends it on every link. */
struct PublishMember
{
  MemberFact mFact;
  bool operator==(const PublishMember&) const = default;
};

/** Closes the link to a silent peer, to connect again. */
struct DropLink
{
  std::string mPeer;
  bool operator==(const DropLink&) const = default;
};

using MembershipAction = std::variant<SendHeartbeat, PublishMember, DropLink>;
using MembershipActions = std::vector<MembershipAction>;

/** Detects failed peers and refutes false suspicions of the own node. Times
 *  are those of the steady clock. */
class Membership
{
public:
  /** @param aSelf the own fact; its incarnation is the wall clock in whole
   *    milliseconds at the start. */
  explicit Membership(MemberFact aSelf, MembershipOptions aOptions = {});

  /** @return the own fact as last published. */
  [[nodiscard]] const MemberFact& Self() const { return mSelf; }

  /** Announces the node. */
  MembershipActions Start();

  /** Sets the peers that the overlay chose. They are watched also while
   *  there is no link, because a failed peer cannot be connected to. */
  void SetChosen(Millis aNow, const std::vector<std::string>& aPeers);

  void LinkUp(Millis aNow, const std::string& aPeer);
  void LinkDown(const std::string& aPeer);

  /** Tells that any message arrived on the link to aPeer. */
  void Heard(Millis aNow, const std::string& aPeer);

  /** Tells that aFact entered the store, from a peer or from this node. */
  MembershipActions Merged(Millis aNow, const Fact& aFact, Random& aRandom);

  /** Call it at least twice per heartbeat. */
  MembershipActions Tick(Millis aNow, const FactStore& aFacts);

  /** Announces that the node stops; it refutes nothing from now on. */
  MembershipActions Leave();

  /** @return how often a late tick cleared the silence counters. */
  [[nodiscard]] std::uint64_t LateTicks() const { return mLateTicks; }

private:
  struct Watched
  {
    /** From when silence counts. */
    Millis mSince;
    bool mChosen = false;
    bool mLinked = false;
  };
  struct Suspicion
  {
    std::uint64_t mIncarnation = 0;
    Millis mRaised;
    Millis mPatience;
  };
  /** The suspicions of one peer that this node raised. */
  struct Accusation
  {
    std::uint64_t mIncarnation = 0;
    /** Whether it was neither refuted nor confirmed yet. */
    bool mOpen = false;
    Millis mHold;
    Millis mNotBefore;
  };

  void ClearSilence(Millis aNow);
  void Suspect(Millis aNow, const FactStore& aFacts, MembershipActions& aOut);
  void Bury(Millis aNow, const FactStore& aFacts, MembershipActions& aOut);
  void Refute(Millis aNow, MembershipActions& aOut);
  void Track(Millis aNow, const MemberFact& aFact, Random& aRandom);

  MemberFact mSelf;
  MembershipOptions mOptions;
  std::map<std::string, Watched> mWatched;
  std::map<std::string, Suspicion> mSuspicions;
  std::map<std::string, Accusation> mAccusations;
  std::optional<Millis> mLastTick;
  Millis mNextHeartbeat;
  std::uint64_t mHeartbeats = 0;
  /** The highest incarnation in a fact that has to be refuted. */
  std::optional<std::uint64_t> mToRefute;
  std::optional<Millis> mLastRefutation;
  std::uint64_t mLateTicks = 0;
};

} // namespace papayaway
