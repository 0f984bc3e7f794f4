#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include <base/Millis.h>

namespace papayaway {

/** The states of a member, in the order in which they override each other
 *  within one incarnation. */
enum class MemberState
{
  Alive,
  Suspect,
  Left,
  Dead,
};

/** What is known of a node. Only the node raises its incarnation. */
struct MemberFact
{
  std::string mNode;
  std::string mDataCentre;
  std::string mRegion;
  std::string mPeerAddress;
  std::string mAdminAddress;
  /** The wall clock at the start of the node in milliseconds, raised by one
   *  for each refuted suspicion. */
  std::uint64_t mIncarnation = 0;
  MemberState mState = MemberState::Alive;

  bool operator==(const MemberFact&) const = default;
};

enum class EndpointState
{
  Starting,
  Ready,
  Draining,
  Gone,
};

/** The target beside a node; written by that node alone. */
struct EndpointFact
{
  std::string mNode;
  std::string mDataCentre;
  std::string mRegion;
  std::string mService;
  std::string mVersion;
  EndpointState mState = EndpointState::Starting;
  int mSlots = 0;
  /** The incarnation of the node and the count of changes within it. */
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;

  bool operator==(const EndpointFact&) const = default;
};

/** Which node relays for a data centre. A relay that acts without a lease
 *  repeats the last known token. */
struct RelayFact
{
  std::string mDataCentre;
  std::string mNode;
  std::string mPeerAddress;
  std::uint64_t mToken = 0;

  bool operator==(const RelayFact&) const = default;
};

enum class MoveState
{
  Running,
  Finished,
  TakenBack,
};

/** The progress of a version move. */
struct MoveFact
{
  std::string mService;
  std::string mTo;
  int mAttempt = 1;
  MoveState mState = MoveState::Running;
  /** Counts the raises of the share. */
  std::uint64_t mStage = 0;
  /** The share of the new version in thousandths. */
  int mShare = 0;
  /** The wall clock at the start of the move. */
  Millis mStarted;
  /** The fencing token of the conductor that wrote the stage, or 0. */
  std::uint64_t mToken = 0;
  /** Why it was taken back, for people. */
  std::string mReason;

  bool operator==(const MoveFact&) const = default;
};

/** A request that is refused because it crashes targets. */
struct QuarantineFact
{
  /** Hash of service, route and key or body, in hexadecimal digits. */
  std::string mFingerprint;
  std::string mService;
  bool mReleased = false;
  /** Counts the changes; a release raises it. */
  std::uint64_t mSequence = 0;
  /** The wall clock after which the fact has no effect. */
  Millis mExpires;

  bool operator==(const QuarantineFact&) const = default;
};

/** Which node conducts the version moves, under the lease `conductor`. */
struct ConductorFact
{
  std::string mNode;
  std::string mPeerAddress;
  std::uint64_t mToken = 0;

  bool operator==(const ConductorFact&) const = default;
};

/** A keyed value that every node merges by the same rule. */
using Fact = std::variant<MemberFact,
                          EndpointFact,
                          RelayFact,
                          MoveFact,
                          QuarantineFact,
                          ConductorFact>;

/** @return the key, for example "member/nbo-1-a". */
std::string FactKey(const Fact& aFact);

/** @return the CBOR form of aFact, equal on every host. */
std::string EncodeFact(const Fact& aFact);

/** Decides between two facts of one key, independent of arrival order.
 *  @return whether aNew replaces aOld; false if they are equal. */
bool Supersedes(const Fact& aNew, const Fact& aOld);

} // namespace papayaway
