#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <base/Error.h>
#include <base/Millis.h>
#include <gateway/CapMessages.h>
#include <gateway/FollowerElection.h>
#include <gateway/NodeRecord.h>
#include <gateway/Placement.h>
#include <gateway/Rollout.h>
#include <gateway/TargetChoice.h>
#include <gateway/TextDelta.h>
#include <net/Http.h>
#include <traffic/Quarantine.h>
#include <wire/Messages.h>

namespace papayaway::sidecar {

/** Which versions of a service may run a request, relative to one named
 *  version. */
enum class VersionRule
{
  Any,
  Only,
  AllBut,
};

/** A request forwarded to the node whose local target is to run it. */
struct CallMessage
{
  /** Identifies the call on its link; repeated in the reply. */
  std::uint64_t mId = 0;
  /** The value of the caller's request id header. */
  std::string mRequestId;
  std::string mService;
  VersionRule mVersionRule = VersionRule::Any;
  /** The version that mVersionRule refers to. */
  std::string mVersion;
  std::string mRoute;
  std::string mMethod;
  /** The HTTP request target: path and query. */
  std::string mTarget;
  HttpHeaders mHeaders;
  std::string mBody;
  /** Time until the caller's deadline; sent as a duration because the clocks
   *  of hosts differ. */
  Millis mTimeLeft;
  /** Time until the latency objective is missed; negative if it already
   *  is. */
  Millis mObjectiveLeft;
  int mPriority = 0;
  bool mIdempotent = false;
  /** The tenant of the caller; empty if there is none. */
  std::string mTenant;
  /** Whether a target made the call while it served another request. */
  bool mNestedCall = false;

  bool operator==(const CallMessage&) const = default;
};

enum class CallOutcome
{
  /** The target answered. */
  Answered,
  /** The request did not run and will not. */
  NotRun,
  /** The request may have run, but there is no response. */
  Unknown,
};

/** @return the outcome's name for logs and metric labels. */
const char* ToString(CallOutcome aOutcome);

struct ReplyMessage
{
  std::uint64_t mId = 0;
  CallOutcome mOutcome = CallOutcome::Unknown;
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
  /** Why there is no response, as an identifier for logs and error
   *  responses. */
  std::string mReason;
  /** Whether the request reached a target. */
  bool mReachedTarget = false;
  /** For a request that did not run: the expected time until a slot of the
   *  target is free. */
  Millis mRetryAfter;
  gateway::TargetLoad mLoad;

  bool operator==(const ReplyMessage&) const = default;
};

/** Cancels a call whose caller has disconnected or whose deadline has passed.
 */
struct CancelMessage
{
  std::uint64_t mId = 0;

  bool operator==(const CancelMessage&) const = default;
};

/** The load of the sender's target; also serves as the heartbeat of a link. */
struct LoadMessage
{
  gateway::TargetLoad mLoad;
  /** The version of the desired state in force at the sender. */
  std::uint64_t mStateVersion = 0;
  /** Whether the sender follows the operator rows in the store, and whether
   *  that works. */
  gateway::FollowState mFollowState = gateway::FollowState::Idle;
  /** The digest of the evacuations in force at the sender; 0 if there are
   *  none. */
  std::uint64_t mEvacuationDigest = 0;
  /** How long ago it was confirmed that this version is the newest, if the
   *  settings of the sender require that. */
  std::optional<Millis> mConfirmedAgo;
  /** The newest era of the store that the sender knows. */
  std::uint64_t mStoreEra = 0;

  bool operator==(const LoadMessage&) const = default;
};

/** The loads of the targets of one data centre, by node name. Its relay sends
 *  them to the relays of other data centres, which forward them within
 *  theirs. */
struct DataCentreLoadsMessage
{
  std::map<std::string, gateway::TargetLoad> mLoads;

  bool operator==(const DataCentreLoadsMessage&) const = default;
};

/** The record of a node: the sender's own as the first message on a link, or
 *  any node's after a change. */
struct RecordMessage
{
  gateway::NodeRecord mRecord;

  bool operator==(const RecordMessage&) const = default;
};

/** Answers the record that a node has sent of itself, if that has targets that
 *  have left: the sender keeps it. */
struct RecordCopiedMessage
{
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;

  bool operator==(const RecordCopiedMessage&) const = default;
};

/** The targets of the receiver that have left, as far as the sender knows.
 * Only sent by nodes that know what earlier processes of all nodes have
 *  published. */
struct LeftTargetsMessage
{
  std::vector<gateway::LeftTarget> mLeft;

  bool operator==(const LeftTargetsMessage&) const = default;
};

/** Run counts by service, version and route, on which rollout decisions are
 *  based. */
struct EvidenceMessage
{
  /** The node whose target ran the requests. */
  std::string mNode;
  /** The incarnation of that node; its counts restart with each. */
  std::uint64_t mIncarnation = 0;
  gateway::VersionEvidence mCounts;

  bool operator==(const EvidenceMessage&) const = default;
};

/** The progress of a rollout. */
struct ProgressMessage
{
  gateway::RolloutProgress mProgress;
  /** Whether the store holds it. */
  bool mStored = false;

  bool operator==(const ProgressMessage&) const = default;
};

/** Queries the receiver for its operator rows: the desired state and the
 *  rollout orders. */
struct OperatorRowsQuery
{
  bool operator==(const OperatorRowsQuery&) const = default;
};

/** An operator row with the version that it has in the store. */
struct OperatorRowMessage
{
  std::string mKey;
  /** The compressed value, or empty if the value is sent as a delta. */
  std::string mPackedValue;
  gateway::StoreVersion mVersion;
  /** The version of the row that the delta applies to, or 0 without delta. */
  gateway::StoreVersion mBaseVersion;
  gateway::TextDelta mDelta;

  bool operator==(const OperatorRowMessage&) const = default;
};

/** Reports the crash of a node's target with the requests that it lost. */
struct CrashMessage
{
  CrashReport mReport;

  bool operator==(const CrashMessage&) const = default;
};

/** Reports that a request suspected of causing a crash has since run and been
 *  answered. */
struct SuspectCompletedMessage
{
  std::string mFingerprint;

  bool operator==(const SuspectCompletedMessage&) const = default;
};

/** Bounds of what a node keeps in its row of the store. */
constexpr std::size_t kMaxStoredFacts = 16;
constexpr std::size_t kMaxStoredCrashes = 4;
/** A crash with more suspects is not stored: it says little about each. */
constexpr std::size_t kMaxStoredSuspects = 32;

/** Quarantined requests, and crashes that are not explained yet. Sent to a node
 *  that has just linked, and kept in the store by the nodes whose targets have
 *  crashed. */
struct QuarantineMessage
{
  std::vector<QuarantineFact> mFacts;
  std::vector<CrashEvidence> mCrashes;

  bool operator==(const QuarantineMessage&) const = default;
};

/** The evacuated data centres, sent when they change and to nodes that have
 *  another set. */
struct EvacuationsMessage
{
  gateway::Evacuations mEvacuations;

  bool operator==(const EvacuationsMessage&) const = default;
};

/** Lends a part of the usage caps or requests tokens; sent to the relay and by
 *  it to the coordinator. */
struct CapReportMessage
{
  gateway::CapReport mReport;

  bool operator==(const CapReportMessage&) const = default;
};

/** A round of the coordinator of the usage caps, or granted tokens. */
struct CapGrantMessage
{
  gateway::CapAnswer mAnswer;

  bool operator==(const CapGrantMessage&) const = default;
};

/** Asks to refuse a call if it still waits at the receiver, because its tenant
 *  or the key that it came with was removed. It is always answered by the reply
 *  to the call. */
struct WithdrawMessage
{
  std::uint64_t mId = 0;

  bool operator==(const WithdrawMessage&) const = default;
};

/** Reports that the store has confirmed to a node of the region that it knows
 *  all changes of the operator rows. Follows the rows on the same link. */
struct ConfirmationMessage
{
  /** The node to which the store has answered. */
  std::string mNode;
  /** How long ago all changes were known there. */
  Millis mAgo;
  /** The version of the desired state in force there. */
  std::uint64_t mStateVersion = 0;

  bool operator==(const ConfirmationMessage&) const = default;
};

using PeerMessage = std::variant<CallMessage,
                                 ReplyMessage,
                                 CancelMessage,
                                 LoadMessage,
                                 DataCentreLoadsMessage,
                                 RecordMessage,
                                 EvidenceMessage,
                                 ProgressMessage,
                                 OperatorRowsQuery,
                                 OperatorRowMessage,
                                 CrashMessage,
                                 SuspectCompletedMessage,
                                 QuarantineMessage,
                                 EvacuationsMessage,
                                 CapReportMessage,
                                 CapGrantMessage,
                                 WithdrawMessage,
                                 ConfirmationMessage,
                                 RecordCopiedMessage,
                                 LeftTargetsMessage>;

/** @return the message as CBOR. */
std::string EncodeMessage(const PeerMessage& aMessage);

/** @return the message, or an error if the bytes are malformed. */
Expected<PeerMessage> DecodeMessage(const std::string& aBytes);

/** @return whether all fields of the record have values that a node may
 *    publish. */
bool IsPlausible(const gateway::NodeRecord& aRecord);

/** Converts node records, quarantines and rollout progress to and from the JSON
 * text that the store holds. */
std::string EncodeRecord(const gateway::NodeRecord& aRecord);
Expected<gateway::NodeRecord> DecodeRecord(const std::string& aText);
std::string EncodeQuarantine(const QuarantineMessage& aMessage);
Expected<QuarantineMessage> DecodeQuarantine(const std::string& aText);
std::string EncodeProgress(const gateway::RolloutProgress& aProgress);
Expected<gateway::RolloutProgress> DecodeProgress(const std::string& aText);

} // namespace papayaway::sidecar
