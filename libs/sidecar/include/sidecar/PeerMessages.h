#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>

#include <base/Error.h>
#include <base/Millis.h>
#include <gateway/FollowerElection.h>
#include <gateway/NodeRecord.h>
#include <gateway/Rollout.h>
#include <gateway/TargetChoice.h>
#include <gateway/TextDelta.h>
#include <net/Http.h>
#include <wire/Messages.h>

namespace papayaway::sidecar {

/** Which versions of a service may run a request. */
enum class VersionRule
{
  Any,
  Only,
  AllBut,
};

/** A request on its way to the node beside the target. */
struct CallMessage
{
  std::uint64_t mId = 0;
  std::string mRequestId;
  std::string mService;
  VersionRule mVersionRule = VersionRule::Any;
  std::string mVersion;
  std::string mRoute;
  std::string mMethod;
  /** The path with its query. */
  std::string mTarget;
  HttpHeaders mHeaders;
  std::string mBody;
  /** Until the caller stops waiting; carried as a duration because the
   *  clocks of hosts differ. */
  Millis mTimeLeft;
  /** Until the answer is worth less; below 0 if that has passed. */
  Millis mObjectiveLeft;
  int mPriority = 0;
  bool mIdempotent = false;

  bool operator==(const CallMessage&) const = default;
};

enum class CallOutcome
{
  /** The target answered. */
  Answered,
  /** It did not run and never will. */
  NotRun,
  /** It may have run; there is no answer. */
  Unknown,
};

/** @return a word for logs and labels. */
const char* ToString(CallOutcome aOutcome);

struct ReplyMessage
{
  std::uint64_t mId = 0;
  CallOutcome mOutcome = CallOutcome::Unknown;
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
  /** For logs: why there is no answer. */
  std::string mReason;
  /** Whether the request reached a target. */
  bool mReachedTarget = false;
  /** After this time a slot is expected, for a request that did not run. */
  Millis mRetryAfter;
  gateway::TargetLoad mLoad;

  bool operator==(const ReplyMessage&) const = default;
};

/** The caller has left or got its answer from elsewhere. */
struct CancelMessage
{
  std::uint64_t mId = 0;

  bool operator==(const CancelMessage&) const = default;
};

/** The load of the sender's target; also shows that the link works. */
struct LoadMessage
{
  gateway::TargetLoad mLoad;
  /** The version of the desired state in force at the sender. */
  std::uint64_t mStateVersion = 0;
  /** How the sender gets on with the operator's rows in the store. */
  gateway::FollowState mFollow = gateway::FollowState::Idle;

  bool operator==(const LoadMessage&) const = default;
};

/** The loads of the targets of one data centre, from one of its nodes to a node
 *  of another data centre, and on to that one's neighbours. */
struct LoadsMessage
{
  std::map<std::string, gateway::TargetLoad> mLoads;

  bool operator==(const LoadsMessage&) const = default;
};

/** News of a node: the first message on a link, or a change. */
struct RecordMessage
{
  gateway::NodeRecord mRecord;

  bool operator==(const RecordMessage&) const = default;
};

struct EvidenceMessage
{
  /** The node that counted. */
  std::string mNode;
  std::uint64_t mLifetime = 0;
  gateway::VersionEvidence mCounts;

  bool operator==(const EvidenceMessage&) const = default;
};

struct ProgressMessage
{
  gateway::RolloutProgress mProgress;

  bool operator==(const ProgressMessage&) const = default;
};

/** Asks for the desired state and the orders in force at the receiver. */
struct StateQuestion
{
  bool operator==(const StateQuestion&) const = default;
};

/** A row of the operator as the store holds it. */
struct OrderMessage
{
  std::string mKey;
  /** The packed value, or empty if it comes as a delta. */
  std::string mPackedValue;
  std::uint64_t mVersion = 0;
  /** The version of the row that the delta starts from, or 0. */
  std::uint64_t mBase = 0;
  gateway::TextDelta mDelta;

  bool operator==(const OrderMessage&) const = default;
};

/** The target of a node crashed. */
struct CrashMessage
{
  CrashReport mReport;

  bool operator==(const CrashMessage&) const = default;
};

/** A request that was in flight at a crash was answered since. */
struct SuspectRanMessage
{
  std::string mFingerprint;

  bool operator==(const SuspectRanMessage&) const = default;
};

/** The quarantined requests, for a node that has just started. */
struct QuarantineMessage
{
  std::vector<QuarantineFact> mFacts;

  bool operator==(const QuarantineMessage&) const = default;
};

using PeerMessage = std::variant<CallMessage,
                                 ReplyMessage,
                                 CancelMessage,
                                 LoadMessage,
                                 LoadsMessage,
                                 RecordMessage,
                                 EvidenceMessage,
                                 ProgressMessage,
                                 StateQuestion,
                                 OrderMessage,
                                 CrashMessage,
                                 SuspectRanMessage,
                                 QuarantineMessage>;

/** @return the message as CBOR. */
std::string EncodeMessage(const PeerMessage& aMessage);

/** @return the message, or what is wrong with it. */
Expected<PeerMessage> DecodeMessage(const std::string& aBytes);

/** The text form of a record and of progress in the store. */
std::string EncodeRecord(const gateway::NodeRecord& aRecord);
Expected<gateway::NodeRecord> DecodeRecord(const std::string& aText);
std::string EncodeProgress(const gateway::RolloutProgress& aProgress);
Expected<gateway::RolloutProgress> DecodeProgress(const std::string& aText);

} // namespace papayaway::sidecar
