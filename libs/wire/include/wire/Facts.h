#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include <base/Millis.h>

namespace papayaway {

/** The states of a member in ascending precedence: within one incarnation a
 *  later state overrides an earlier one. */
enum class MemberState
{
  Alive,
  Suspect,
  Left,
  Dead,
};

/** The membership state of a node. Only the node itself raises its
 *  incarnation. */
struct MemberFact
{
  std::string mNode;
  std::string mDataCentre;
  std::string mRegion;
  std::string mPeerAddress;
  std::string mAdminAddress;
  /** The wall clock at the start of the node in milliseconds since the Unix
   *  epoch, raised by one each time the node refutes a suspicion. */
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

/** The state of the target that a node serves. Only that node writes it. */
struct EndpointFact
{
  std::string mNode;
  std::string mDataCentre;
  std::string mRegion;
  std::string mService;
  std::string mVersion;
  EndpointState mState = EndpointState::Starting;
  int mSlots = 0;
  /** The incarnation of the node. */
  std::uint64_t mIncarnation = 0;
  /** The number of changes of the endpoint within the incarnation. */
  std::uint64_t mSequence = 0;

  bool operator==(const EndpointFact&) const = default;
};

/** Which node is the relay of a data centre. A relay that acts without a
 *  lease uses the last known token. */
struct RelayFact
{
  std::string mDataCentre;
  std::string mNode;
  std::string mPeerAddress;
  std::uint64_t mToken = 0;

  bool operator==(const RelayFact&) const = default;
};

/** The states of a version move in ascending precedence. */
enum class MoveState
{
  Running,
  Finished,
  TakenBack,
};

/** The progress of a version move: the rollout of a version of a service. */
struct MoveFact
{
  std::string mService;
  std::string mTo;
  int mAttempt = 1;
  MoveState mState = MoveState::Running;
  /** The number of times the share was raised. */
  std::uint64_t mStage = 0;
  /** The share of the calls that the new version gets, in thousandths. */
  int mShare = 0;
  /** The start of the move by the wall clock. */
  Millis mStarted;
  /** The fencing token of the conductor that wrote this stage, or 0. */
  std::uint64_t mToken = 0;
  /** Human-readable reason why the move was taken back. */
  std::string mReason;

  bool operator==(const MoveFact&) const = default;
};

/** A request that nodes refuse because it is suspected of crashing targets. */
struct QuarantineFact
{
  /** The hash of service, route and idempotency key or body, in hexadecimal
   *  digits. */
  std::string mFingerprint;
  std::string mService;
  bool mReleased = false;
  /** The number of changes of this fact; a release counts as a change. */
  std::uint64_t mSequence = 0;
  /** The time by the wall clock after which the fact has no effect. */
  Millis mExpires;

  bool operator==(const QuarantineFact&) const = default;
};

/** Which node is the conductor, that is, holds the lease `conductor` and
 *  controls the version moves. */
struct ConductorFact
{
  std::string mNode;
  std::string mPeerAddress;
  std::uint64_t mToken = 0;

  bool operator==(const ConductorFact&) const = default;
};

/** A keyed value that is replicated to all nodes. Every node resolves
 *  conflicts by Supersedes(), so that all end with the same values. The order
 *  of the alternatives gives their type numbers on the wire. */
using Fact = std::variant<MemberFact,
                          EndpointFact,
                          RelayFact,
                          MoveFact,
                          QuarantineFact,
                          ConductorFact>;

/** @return the key of aFact, for example "member/nbo-1-a". */
std::string FactKey(const Fact& aFact);

/** @return the CBOR encoding of aFact, which is the same on every host. */
std::string EncodeFact(const Fact& aFact);

/** Decides which of two facts of one key is kept, independently of the order
 *  in which they arrived.
 *  @return whether aNew replaces aOld; false if they are equal. */
bool Supersedes(const Fact& aNew, const Fact& aOld);

} // namespace papayaway
