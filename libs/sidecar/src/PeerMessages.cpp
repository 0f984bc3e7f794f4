#include <sidecar/PeerMessages.h>

#include <algorithm>
#include <type_traits>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include <base/JsonDepth.h>
#include <net/SocketAddress.h>

#include "CapMessageFormat.h"

namespace papayaway::sidecar {

using gateway::NodeRecord;
using gateway::OrderId;
using gateway::RolloutProgress;
using gateway::RolloutState;
using gateway::StoreVersion;
using gateway::TargetInfo;
using gateway::TargetLoad;
using gateway::TargetState;
using nlohmann::json;

namespace {

/** The first element of each message. Messages are arrays rather than objects
 *  because field names would take more bytes than most values. */
enum class MessageType
{
  Call = 1,
  Reply,
  Cancel,
  Load,
  Record,
  Evidence,
  Progress,
  OperatorRowsQuery,
  OperatorRow,
  DataCentreLoads,
  Crash,
  SuspectCompleted,
  Quarantine,
  Evacuations,
  CapReport,
  CapGrant,
  Withdraw,
  Confirmation,
  RecordCopied,
  LeftTargets,
};

constexpr int kMaxSlots = 100000;
/** Limit of incarnations and sequence numbers; far below the point at which
 *  adding to them overflows. */
constexpr std::uint64_t kMaxCount = std::uint64_t{ 1 } << 53;

/** @return the value, or a discarded one if the text is not JSON or is nested
 *    too deeply. */
json
ParseJson(const std::string& aText)
{
  return NestsDeeperThan(aText, kMaxJsonDepth)
           ? json(json::value_t::discarded)
           : json::parse(aText, nullptr, false);
}

json
BinaryToJson(const std::string& aBytes)
{
  return json::binary({ aBytes.begin(), aBytes.end() });
}

std::string
BytesFromJson(const json& aValue)
{
  const auto& binary = aValue.get_binary();
  return { binary.begin(), binary.end() };
}

json
ToJson(const HttpHeaders& aHeaders)
{
  json list = json::array();
  for (const auto& [name, value] : aHeaders.Fields()) {
    list.push_back(name);
    // Header values may contain bytes that are not valid UTF-8.
    list.push_back(BinaryToJson(value));
  }
  return list;
}

HttpHeaders
HeadersFromJson(const json& aList)
{
  HttpHeaders headers;
  for (std::size_t i = 0; i + 1 < aList.size(); i += 2) {
    headers.Add(aList.at(i).get<std::string>(), BytesFromJson(aList.at(i + 1)));
  }
  return headers;
}

/** Fractions are sent as integer thousandths, which take at most three bytes
 *  in CBOR where a double takes nine. */
constexpr double kFractionUnits = 1000;

json
ToJson(const TargetLoad& aLoad)
{
  json list = { aLoad.mSlots,
                aLoad.mRunning,
                aLoad.mWaiting,
                aLoad.mMeanRunTime.WholeMillis(),
                static_cast<int>(aLoad.mSuccessRate * kFractionUnits) };
  if (aLoad.mAdmissionRate || aLoad.mSlowdown != 1) {
    list.push_back(static_cast<int>(aLoad.mSlowdown * kFractionUnits));
  }
  if (aLoad.mAdmissionRate) {
    list.push_back(static_cast<int>(*aLoad.mAdmissionRate * kFractionUnits));
  }
  return list;
}

TargetLoad
LoadFromJson(const json& aList)
{
  TargetLoad load{ .mSlots = aList.at(0).get<int>(),
                   .mRunning = aList.at(1).get<int>(),
                   .mWaiting = aList.at(2).get<int>(),
                   .mMeanRunTime = Millis{ aList.at(3).get<double>() },
                   .mSuccessRate = aList.at(4).get<double>() / kFractionUnits };
  if (aList.size() > 5) {
    load.mSlowdown = aList.at(5).get<double>() / kFractionUnits;
  }
  if (aList.size() > 6) {
    load.mAdmissionRate = aList.at(6).get<double>() / kFractionUnits;
  }
  return load;
}

json
ToJson(const std::vector<gateway::LeftTarget>& aTargets)
{
  json list = json::array();
  for (const gateway::LeftTarget& target : aTargets) {
    list.push_back(json{ target.mId, target.mStartedUntil.WholeMillis() });
  }
  return list;
}

std::vector<gateway::LeftTarget>
LeftTargetsFromJson(const json& aList)
{
  std::vector<gateway::LeftTarget> targets;
  for (const json& entry : aList) {
    targets.push_back({ .mId = entry.at(0).get<std::string>(),
                        .mStartedUntil = Millis{ entry.at(1).get<double>() } });
  }
  if (targets.size() > gateway::kMaxLeftTargets) {
    throw json::out_of_range::create(0, "too many left targets", nullptr);
  }
  return targets;
}

json
ToJson(const NodeRecord& aRecord)
{
  json record = { aRecord.mNode,        aRecord.mDataCentre,  aRecord.mRegion,
                  aRecord.mPeerAddress, aRecord.mIncarnation, aRecord.mSequence,
                  aRecord.mLeaving };
  if (aRecord.mTarget) {
    const TargetInfo& target = *aRecord.mTarget;
    record.push_back(json{ target.mId,
                           target.mService,
                           target.mVersion,
                           target.mSlots,
                           static_cast<int>(target.mState) });
  } else if (!aRecord.mLeft.empty()) {
    record.push_back(nullptr);
  }
  if (!aRecord.mLeft.empty()) {
    record.push_back(ToJson(aRecord.mLeft));
  }
  return record;
}

NodeRecord
RecordFromJson(const json& aList)
{
  NodeRecord record{ .mNode = aList.at(0).get<std::string>(),
                     .mDataCentre = aList.at(1).get<std::string>(),
                     .mRegion = aList.at(2).get<std::string>(),
                     .mPeerAddress = aList.at(3).get<std::string>(),
                     .mIncarnation = aList.at(4).get<std::uint64_t>(),
                     .mSequence = aList.at(5).get<std::uint64_t>(),
                     .mLeaving = aList.at(6).get<bool>() };
  if (aList.size() > 8) {
    record.mLeft = LeftTargetsFromJson(aList.at(8));
  }
  if (aList.size() > 7 && !aList.at(7).is_null()) {
    const json& target = aList.at(7);
    record.mTarget =
      TargetInfo{ .mId = target.at(0).get<std::string>(),
                  .mService = target.at(1).get<std::string>(),
                  .mVersion = target.at(2).get<std::string>(),
                  .mSlots = target.at(3).get<int>(),
                  .mState = static_cast<TargetState>(target.at(4).get<int>()) };
  }
  return record;
}

/** A version without an era is a number, as in rows of earlier programs. */
json
ToJson(const StoreVersion& aVersion)
{
  return aVersion.Era() == 0 ? json(aVersion.Number())
                             : json{ aVersion.Era(), aVersion.Number() };
}

StoreVersion
StoreVersionFromJson(const json& aValue)
{
  return aValue.is_array() ? StoreVersion(aValue.at(0).get<std::uint64_t>(),
                                          aValue.at(1).get<std::uint64_t>())
                           : StoreVersion(aValue.get<std::uint64_t>());
}

/** Removes the first entries of a list that is longer than allowed. */
template<typename Entry>
void
KeepNewest(std::vector<Entry>& aList, std::size_t aMaxSize)
{
  if (aList.size() > aMaxSize) {
    aList.erase(aList.begin(),
                aList.end() - static_cast<std::ptrdiff_t>(aMaxSize));
  }
}

json
ToJson(const RolloutProgress& aProgress)
{
  json list = { aProgress.mService,
                aProgress.mVersion,
                ToJson(aProgress.mOrderVersion),
                static_cast<int>(aProgress.mState),
                aProgress.mStage,
                aProgress.mStarted.mCount,
                aProgress.mStageStarted.mCount,
                aProgress.mReason };
  const bool hasOrders = !aProgress.mEarlierOrders.empty() ||
                         !aProgress.mFormerOrderVersions.empty();
  if (!aProgress.mWithdrawnVersions.empty() || hasOrders) {
    list.push_back(aProgress.mWithdrawnVersions);
  }
  if (hasOrders) {
    json earlier = json::array();
    for (const OrderId& order : aProgress.mEarlierOrders) {
      earlier.push_back(json{ ToJson(order.mOrderVersion), order.mVersion });
    }
    json former = json::array();
    for (const StoreVersion& version : aProgress.mFormerOrderVersions) {
      former.push_back(ToJson(version));
    }
    list.push_back(std::move(earlier));
    list.push_back(std::move(former));
  }
  return list;
}

RolloutProgress
ProgressFromJson(const json& aList)
{
  RolloutProgress progress{ .mService = aList.at(0).get<std::string>(),
                            .mVersion = aList.at(1).get<std::string>(),
                            .mOrderVersion = StoreVersionFromJson(aList.at(2)),
                            .mState =
                              static_cast<RolloutState>(aList.at(3).get<int>()),
                            .mStage = aList.at(4).get<std::uint32_t>(),
                            .mStarted = Millis{ aList.at(5).get<double>() },
                            .mStageStarted =
                              Millis{ aList.at(6).get<double>() },
                            .mReason = aList.at(7).get<std::string>() };
  if (aList.size() > 8) {
    progress.mWithdrawnVersions = aList.at(8).get<std::vector<std::string>>();
    if (progress.mWithdrawnVersions.size() > gateway::kMaxWithdrawnVersions) {
      progress.mWithdrawnVersions.resize(gateway::kMaxWithdrawnVersions);
    }
  }
  if (aList.size() > 10) {
    for (const json& order : aList.at(9)) {
      progress.mEarlierOrders.push_back(
        { StoreVersionFromJson(order.at(0)), order.at(1).get<std::string>() });
    }
    for (const json& version : aList.at(10)) {
      progress.mFormerOrderVersions.push_back(StoreVersionFromJson(version));
    }
    KeepNewest(progress.mEarlierOrders, gateway::kMaxEarlierOrders);
    KeepNewest(progress.mFormerOrderVersions, gateway::kMaxFormerOrderVersions);
  }
  if (progress.mStage >= gateway::kStageShares.size()) {
    progress.mStage = gateway::kStageShares.size() - 1;
  }
  return progress;
}

json
ToJson(const EvidenceMessage& aMessage)
{
  json list = { MessageType::Evidence, aMessage.mNode, aMessage.mIncarnation };
  for (const auto& [key, counts] : aMessage.mCounts) {
    list.push_back(json{ key.mService,
                         key.mVersion,
                         key.mRoute,
                         counts.mRuns,
                         counts.mFailures,
                         counts.mSlowRuns,
                         counts.mTotalRunTime.WholeMillis() });
  }
  return list;
}

EvidenceMessage
EvidenceFromJson(const json& aList)
{
  EvidenceMessage message{ .mNode = aList.at(1).get<std::string>(),
                           .mIncarnation = aList.at(2).get<std::uint64_t>() };
  for (std::size_t i = 3; i < aList.size(); ++i) {
    const json& entry = aList.at(i);
    message.mCounts[{ .mService = entry.at(0).get<std::string>(),
                      .mVersion = entry.at(1).get<std::string>(),
                      .mRoute = entry.at(2).get<std::string>() }] = {
      .mRuns = entry.at(3).get<std::uint64_t>(),
      .mFailures = entry.at(4).get<std::uint64_t>(),
      .mSlowRuns = entry.at(5).get<std::uint64_t>(),
      .mTotalRunTime = Millis{ entry.at(6).get<double>() }
    };
  }
  return message;
}

json
ToJson(const CallMessage& aCall)
{
  json list = { MessageType::Call,
                aCall.mId,
                aCall.mRequestId,
                aCall.mService,
                static_cast<int>(aCall.mVersionRule),
                aCall.mVersion,
                aCall.mRoute,
                aCall.mMethod,
                BinaryToJson(aCall.mTarget),
                ToJson(aCall.mHeaders),
                BinaryToJson(aCall.mBody),
                aCall.mTimeLeft.WholeMillis(),
                aCall.mObjectiveLeft.WholeMillis(),
                aCall.mPriority,
                aCall.mIdempotent };
  if (!aCall.mTenant.empty() || aCall.mNestedCall) {
    list.push_back(aCall.mTenant);
  }
  if (aCall.mNestedCall) {
    list.push_back(true);
  }
  return list;
}

CallMessage
CallFromJson(const json& aList)
{
  return { .mId = aList.at(1).get<std::uint64_t>(),
           .mRequestId = aList.at(2).get<std::string>(),
           .mService = aList.at(3).get<std::string>(),
           .mVersionRule = static_cast<VersionRule>(aList.at(4).get<int>()),
           .mVersion = aList.at(5).get<std::string>(),
           .mRoute = aList.at(6).get<std::string>(),
           .mMethod = aList.at(7).get<std::string>(),
           .mTarget = BytesFromJson(aList.at(8)),
           .mHeaders = HeadersFromJson(aList.at(9)),
           .mBody = BytesFromJson(aList.at(10)),
           .mTimeLeft = Millis{ aList.at(11).get<double>() },
           .mObjectiveLeft = Millis{ aList.at(12).get<double>() },
           .mPriority = aList.at(13).get<int>(),
           .mIdempotent = aList.at(14).get<bool>(),
           .mTenant = aList.size() > 15 ? aList.at(15).get<std::string>()
                                        : std::string(),
           .mNestedCall = aList.size() > 16 && aList.at(16).get<bool>() };
}

json
ToJson(const ReplyMessage& aReply)
{
  return { MessageType::Reply,
           aReply.mId,
           static_cast<int>(aReply.mOutcome),
           aReply.mStatus,
           ToJson(aReply.mHeaders),
           BinaryToJson(aReply.mBody),
           aReply.mReason,
           aReply.mReachedTarget,
           aReply.mRetryAfter.WholeMillis(),
           ToJson(aReply.mLoad) };
}

ReplyMessage
ReplyFromJson(const json& aList)
{
  return { .mId = aList.at(1).get<std::uint64_t>(),
           .mOutcome = static_cast<CallOutcome>(aList.at(2).get<int>()),
           .mStatus = aList.at(3).get<int>(),
           .mHeaders = HeadersFromJson(aList.at(4)),
           .mBody = BytesFromJson(aList.at(5)),
           .mReason = aList.at(6).get<std::string>(),
           .mReachedTarget = aList.at(7).get<bool>(),
           .mRetryAfter = Millis{ aList.at(8).get<double>() },
           .mLoad = LoadFromJson(aList.at(9)) };
}

gateway::FollowState
FollowStateFromJson(const json& aValue)
{
  const int last = static_cast<int>(gateway::FollowState::Working);
  return static_cast<gateway::FollowState>(
    std::clamp(aValue.get<int>(), 0, last));
}

json
ToJson(const gateway::TextDelta& aDelta)
{
  json list = { aDelta.mHash };
  for (const gateway::DeltaPart& part : aDelta.mParts) {
    if (part.mLength > 0) {
      list.push_back(json{ part.mOffset, part.mLength });
    } else {
      list.push_back(BinaryToJson(part.mBytes));
    }
  }
  return list;
}

gateway::TextDelta
DeltaFromJson(const json& aList)
{
  gateway::TextDelta delta{ .mHash = aList.at(0).get<std::uint64_t>() };
  for (std::size_t i = 1; i < aList.size(); ++i) {
    const json& part = aList.at(i);
    if (part.is_array()) {
      delta.mParts.push_back({ .mOffset = part.at(0).get<std::uint64_t>(),
                               .mLength = part.at(1).get<std::uint64_t>() });
    } else {
      delta.mParts.push_back({ .mBytes = BytesFromJson(part) });
    }
  }
  return delta;
}

EvacuationsMessage
EvacuationsFromJson(const json& aList)
{
  EvacuationsMessage message{ { .mVersion =
                                  StoreVersionFromJson(aList.at(1)) } };
  for (const json& entry : aList.at(2)) {
    const auto& name = entry.get_ref<const std::string&>();
    if (name.empty() || name.size() > gateway::kMaxDataCentreName) {
      throw json::out_of_range::create(0, "name of a data centre", nullptr);
    }
    message.mEvacuations.mDataCentres.insert(name);
  }
  if (message.mEvacuations.mDataCentres.size() > gateway::kMaxEvacuations) {
    throw json::out_of_range::create(0, "too many evacuations", nullptr);
  }
  return message;
}

json
ToJson(const QuarantineMessage& aMessage)
{
  json facts = json::array();
  for (const QuarantineFact& fact : aMessage.mFacts) {
    facts.push_back({ fact.mFingerprint,
                      fact.mService,
                      fact.mReleased,
                      fact.mSequence,
                      fact.mExpires.WholeMillis() });
  }
  json crashes = json::array();
  for (const CrashEvidence& crash : aMessage.mCrashes) {
    crashes.push_back({ crash.mId,
                        crash.mService,
                        crash.mReportedAt.WholeMillis(),
                        crash.mSuspects });
  }
  return json::array({ std::move(facts), std::move(crashes) });
}

QuarantineMessage
QuarantineFromJson(const json& aList)
{
  QuarantineMessage message;
  for (const json& fact : aList.at(0)) {
    message.mFacts.push_back(
      { .mFingerprint = fact.at(0).get<std::string>(),
        .mService = fact.at(1).get<std::string>(),
        .mReleased = fact.at(2).get<bool>(),
        .mSequence = fact.at(3).get<std::uint64_t>(),
        .mExpires = { static_cast<double>(fact.at(4).get<std::int64_t>()) } });
  }
  for (const json& crash : aList.at(1)) {
    message.mCrashes.push_back(
      { .mId = crash.at(0).get<std::string>(),
        .mService = crash.at(1).get<std::string>(),
        .mReportedAt = Millis{ crash.at(2).get<double>() },
        .mSuspects = crash.at(3).get<std::vector<std::string>>() });
  }
  return message;
}

json
MessageToJson(const PeerMessage& aMessage)
{
  return std::visit(
    [](const auto& aValue) -> json {
      using Message = std::decay_t<decltype(aValue)>;
      if constexpr (std::is_same_v<Message, CancelMessage>) {
        return { MessageType::Cancel, aValue.mId };
      } else if constexpr (std::is_same_v<Message, LoadMessage>) {
        json list = { MessageType::Load,
                      ToJson(aValue.mLoad),
                      aValue.mStateVersion,
                      static_cast<int>(aValue.mFollowState) };
        const bool hasEra = aValue.mStoreEra != 0;
        if (aValue.mEvacuationDigest != 0 || aValue.mConfirmedAgo || hasEra) {
          list.push_back(aValue.mEvacuationDigest);
        }
        if (aValue.mConfirmedAgo) {
          list.push_back(aValue.mConfirmedAgo->WholeMillis());
        } else if (hasEra) {
          list.push_back(nullptr);
        }
        if (hasEra) {
          list.push_back(aValue.mStoreEra);
        }
        return list;
      } else if constexpr (std::is_same_v<Message, DataCentreLoadsMessage>) {
        json list = json::array({ MessageType::DataCentreLoads });
        for (const auto& [node, load] : aValue.mLoads) {
          list.push_back(node);
          list.push_back(ToJson(load));
        }
        return list;
      } else if constexpr (std::is_same_v<Message, RecordMessage>) {
        return { MessageType::Record, ToJson(aValue.mRecord) };
      } else if constexpr (std::is_same_v<Message, ProgressMessage>) {
        json list = { MessageType::Progress, ToJson(aValue.mProgress) };
        if (aValue.mStored) {
          list.push_back(true);
        }
        return list;
      } else if constexpr (std::is_same_v<Message, OperatorRowsQuery>) {
        return json::array({ MessageType::OperatorRowsQuery });
      } else if constexpr (std::is_same_v<Message, OperatorRowMessage>) {
        return { MessageType::OperatorRow,          aValue.mKey,
                 BinaryToJson(aValue.mPackedValue), ToJson(aValue.mVersion),
                 ToJson(aValue.mBaseVersion),       ToJson(aValue.mDelta) };
      } else if constexpr (std::is_same_v<Message, CrashMessage>) {
        return { MessageType::Crash,
                 aValue.mReport.mId,
                 aValue.mReport.mService,
                 aValue.mReport.mFingerprints };
      } else if constexpr (std::is_same_v<Message, SuspectCompletedMessage>) {
        return { MessageType::SuspectCompleted, aValue.mFingerprint };
      } else if constexpr (std::is_same_v<Message, QuarantineMessage>) {
        return { MessageType::Quarantine, ToJson(aValue) };
      } else if constexpr (std::is_same_v<Message, EvacuationsMessage>) {
        return { MessageType::Evacuations,
                 ToJson(aValue.mEvacuations.mVersion),
                 aValue.mEvacuations.mDataCentres };
      } else if constexpr (std::is_same_v<Message, CapReportMessage>) {
        return CapReportToJson(static_cast<int>(MessageType::CapReport),
                               aValue.mReport);
      } else if constexpr (std::is_same_v<Message, CapGrantMessage>) {
        return CapAnswerToJson(static_cast<int>(MessageType::CapGrant),
                               aValue.mAnswer);
      } else if constexpr (std::is_same_v<Message, WithdrawMessage>) {
        return { MessageType::Withdraw, aValue.mId };
      } else if constexpr (std::is_same_v<Message, RecordCopiedMessage>) {
        return { MessageType::RecordCopied,
                 aValue.mIncarnation,
                 aValue.mSequence };
      } else if constexpr (std::is_same_v<Message, LeftTargetsMessage>) {
        return { MessageType::LeftTargets, ToJson(aValue.mLeft) };
      } else if constexpr (std::is_same_v<Message, ConfirmationMessage>) {
        return { MessageType::Confirmation,
                 aValue.mNode,
                 aValue.mAgo.WholeMillis(),
                 aValue.mStateVersion };
      } else {
        return ToJson(aValue);
      }
    },
    aMessage);
}

PeerMessage
MessageFromJson(const json& aList)
{
  switch (static_cast<MessageType>(aList.at(0).get<int>())) {
    case MessageType::Call:
      return CallFromJson(aList);
    case MessageType::Reply:
      return ReplyFromJson(aList);
    case MessageType::Cancel:
      return CancelMessage{ .mId = aList.at(1).get<std::uint64_t>() };
    case MessageType::Load: {
      LoadMessage message{ .mLoad = LoadFromJson(aList.at(1)),
                           .mStateVersion = aList.at(2).get<std::uint64_t>(),
                           .mFollowState = FollowStateFromJson(aList.at(3)) };
      if (aList.size() > 4) {
        message.mEvacuationDigest = aList.at(4).get<std::uint64_t>();
      }
      if (aList.size() > 5 && !aList.at(5).is_null()) {
        message.mConfirmedAgo = Millis{ aList.at(5).get<double>() };
      }
      if (aList.size() > 6) {
        message.mStoreEra = aList.at(6).get<std::uint64_t>();
      }
      return message;
    }
    case MessageType::DataCentreLoads: {
      DataCentreLoadsMessage message;
      for (std::size_t i = 1; i + 1 < aList.size(); i += 2) {
        message.mLoads[aList.at(i).get<std::string>()] =
          LoadFromJson(aList.at(i + 1));
      }
      return message;
    }
    case MessageType::Record:
      return RecordMessage{ .mRecord = RecordFromJson(aList.at(1)) };
    case MessageType::Evidence:
      return EvidenceFromJson(aList);
    case MessageType::Progress:
      return ProgressMessage{ .mProgress = ProgressFromJson(aList.at(1)),
                              .mStored =
                                aList.size() > 2 && aList.at(2).get<bool>() };
    case MessageType::OperatorRowsQuery:
      return OperatorRowsQuery{};
    case MessageType::OperatorRow:
      return OperatorRowMessage{ .mKey = aList.at(1).get<std::string>(),
                                 .mPackedValue = BytesFromJson(aList.at(2)),
                                 .mVersion = StoreVersionFromJson(aList.at(3)),
                                 .mBaseVersion =
                                   StoreVersionFromJson(aList.at(4)),
                                 .mDelta = DeltaFromJson(aList.at(5)) };
    case MessageType::Crash:
      return CrashMessage{ .mReport = {
                             .mId = aList.at(1).get<std::string>(),
                             .mService = aList.at(2).get<std::string>(),
                             .mFingerprints =
                               aList.at(3).get<std::vector<std::string>>() } };
    case MessageType::SuspectCompleted:
      return SuspectCompletedMessage{ .mFingerprint =
                                        aList.at(1).get<std::string>() };
    case MessageType::Quarantine:
      return QuarantineFromJson(aList.at(1));
    case MessageType::Evacuations:
      return EvacuationsFromJson(aList);
    case MessageType::CapReport:
      return CapReportMessage{ .mReport = CapReportFromJson(aList) };
    case MessageType::CapGrant:
      return CapGrantMessage{ .mAnswer = CapAnswerFromJson(aList) };
    case MessageType::Withdraw:
      return WithdrawMessage{ .mId = aList.at(1).get<std::uint64_t>() };
    case MessageType::RecordCopied:
      return RecordCopiedMessage{ .mIncarnation =
                                    aList.at(1).get<std::uint64_t>(),
                                  .mSequence =
                                    aList.at(2).get<std::uint64_t>() };
    case MessageType::LeftTargets:
      return LeftTargetsMessage{ .mLeft = LeftTargetsFromJson(aList.at(1)) };
    case MessageType::Confirmation:
      return ConfirmationMessage{ .mNode = aList.at(1).get<std::string>(),
                                  .mAgo = Millis{ aList.at(2).get<double>() },
                                  .mStateVersion =
                                    aList.at(3).get<std::uint64_t>() };
  }
  throw json::out_of_range::create(0, "unknown type of message", nullptr);
}

template<typename Decode>
auto
DecodeOrError(const json& aList, Decode aDecode)
  -> Expected<decltype(aDecode(aList))>
{
  try {
    return aDecode(aList);
  } catch (const json::exception& error) {
    return Fail(ErrorCode::Invalid, error.what());
  }
}

} // namespace

const char*
ToString(CallOutcome aOutcome)
{
  switch (aOutcome) {
    case CallOutcome::Answered:
      return "answered";
    case CallOutcome::NotRun:
      return "not_run";
    case CallOutcome::Unknown:
      break;
  }
  return "unknown";
}

std::string
EncodeMessage(const PeerMessage& aMessage)
{
  std::string bytes;
  json::to_cbor(MessageToJson(aMessage), bytes);
  return bytes;
}

Expected<PeerMessage>
DecodeMessage(const std::string& aBytes)
{
  // Parsed within DecodeOrError() because from_cbor() throws for arrays and
  // objects of excessive size, even if it is told not to throw.
  return DecodeOrError(json(), [&](const json&) {
    return MessageFromJson(json::from_cbor(aBytes, true, false));
  });
}

std::string
EncodeRecord(const NodeRecord& aRecord)
{
  return ToJson(aRecord).dump();
}

Expected<NodeRecord>
DecodeRecord(const std::string& aText)
{
  auto record = DecodeOrError(ParseJson(aText), RecordFromJson);
  if (record && !IsPlausible(*record)) {
    return Fail(ErrorCode::Invalid, "a field of the record is out of range");
  }
  return record;
}

bool
IsPlausible(const NodeRecord& aRecord)
{
  const auto& target = aRecord.mTarget;
  const bool targetIsPlausible =
    !target ||
    (!target->mId.empty() && target->mSlots > 0 &&
     target->mSlots <= kMaxSlots && target->mState >= TargetState::Ready &&
     target->mState <= TargetState::Gone);
  const bool leftIsPlausible =
    std::none_of(aRecord.mLeft.begin(),
                 aRecord.mLeft.end(),
                 [](const auto& aTarget) { return aTarget.mId.empty(); });
  return !aRecord.mNode.empty() && leftIsPlausible &&
         ParseAddress(aRecord.mPeerAddress) &&
         aRecord.mIncarnation <= kMaxCount && aRecord.mSequence <= kMaxCount &&
         targetIsPlausible;
}

std::string
EncodeQuarantine(const QuarantineMessage& aMessage)
{
  return ToJson(aMessage).dump();
}

Expected<QuarantineMessage>
DecodeQuarantine(const std::string& aText)
{
  return DecodeOrError(ParseJson(aText), QuarantineFromJson);
}

std::string
EncodeProgress(const RolloutProgress& aProgress)
{
  return ToJson(aProgress).dump();
}

Expected<RolloutProgress>
DecodeProgress(const std::string& aText)
{
  return DecodeOrError(ParseJson(aText), ProgressFromJson);
}

} // namespace papayaway::sidecar
