#include <sidecar/PeerMessages.h>

#include <algorithm>
#include <type_traits>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace papayaway::sidecar {

using gateway::NodeRecord;
using gateway::RolloutProgress;
using gateway::RolloutState;
using gateway::TargetInfo;
using gateway::TargetLoad;
using gateway::TargetState;
using nlohmann::json;

namespace {

/** Messages are arrays with a type first, since names in each message would
 *  take more bytes than most values. */
enum class Type
{
  Call = 1,
  Reply,
  Cancel,
  Load,
  Record,
  Evidence,
  Progress,
  StateQuestion,
  Order,
  Loads,
  Crash,
  SuspectRan,
  Quarantine,
};

json
Binary(const std::string& aBytes)
{
  return json::binary({ aBytes.begin(), aBytes.end() });
}

std::string
Bytes(const json& aValue)
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
    // A value may hold bytes that are no UTF-8.
    list.push_back(Binary(value));
  }
  return list;
}

HttpHeaders
HeadersOf(const json& aList)
{
  HttpHeaders headers;
  for (std::size_t i = 0; i + 1 < aList.size(); i += 2) {
    headers.Add(aList.at(i).get<std::string>(), Bytes(aList.at(i + 1)));
  }
  return headers;
}

/** Shares are sent in thousandths, which take two bytes instead of nine. */
constexpr double kShareUnit = 1000;

json
ToJson(const TargetLoad& aLoad)
{
  return { aLoad.mSlots,
           aLoad.mRunning,
           aLoad.mWaiting,
           aLoad.mMeanRun.Whole(),
           static_cast<int>(aLoad.mSuccess * kShareUnit) };
}

TargetLoad
LoadOf(const json& aList)
{
  return { .mSlots = aList.at(0).get<int>(),
           .mRunning = aList.at(1).get<int>(),
           .mWaiting = aList.at(2).get<int>(),
           .mMeanRun = Millis{ aList.at(3).get<double>() },
           .mSuccess = aList.at(4).get<double>() / kShareUnit };
}

json
ToJson(const NodeRecord& aRecord)
{
  json record = { aRecord.mNode,        aRecord.mDataCentre, aRecord.mRegion,
                  aRecord.mPeerAddress, aRecord.mLifetime,   aRecord.mSequence,
                  aRecord.mLeaving };
  if (aRecord.mTarget) {
    const TargetInfo& target = *aRecord.mTarget;
    record.push_back(json{ target.mId,
                           target.mService,
                           target.mVersion,
                           target.mSlots,
                           static_cast<int>(target.mState) });
  }
  return record;
}

NodeRecord
RecordOf(const json& aList)
{
  NodeRecord record{ .mNode = aList.at(0).get<std::string>(),
                     .mDataCentre = aList.at(1).get<std::string>(),
                     .mRegion = aList.at(2).get<std::string>(),
                     .mPeerAddress = aList.at(3).get<std::string>(),
                     .mLifetime = aList.at(4).get<std::uint64_t>(),
                     .mSequence = aList.at(5).get<std::uint64_t>(),
                     .mLeaving = aList.at(6).get<bool>() };
  if (aList.size() > 7) {
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

json
ToJson(const RolloutProgress& aProgress)
{
  return { aProgress.mService,
           aProgress.mVersion,
           aProgress.mOrderedAt,
           static_cast<int>(aProgress.mState),
           aProgress.mStage,
           aProgress.mStarted.mCount,
           aProgress.mStageSince.mCount,
           aProgress.mReason };
}

RolloutProgress
ProgressOf(const json& aList)
{
  RolloutProgress progress{ .mService = aList.at(0).get<std::string>(),
                            .mVersion = aList.at(1).get<std::string>(),
                            .mOrderedAt = aList.at(2).get<std::uint64_t>(),
                            .mState =
                              static_cast<RolloutState>(aList.at(3).get<int>()),
                            .mStage = aList.at(4).get<std::uint32_t>(),
                            .mStarted = Millis{ aList.at(5).get<double>() },
                            .mStageSince = Millis{ aList.at(6).get<double>() },
                            .mReason = aList.at(7).get<std::string>() };
  if (progress.mStage >= gateway::kStageShares.size()) {
    progress.mStage = gateway::kStageShares.size() - 1;
  }
  return progress;
}

json
ToJson(const EvidenceMessage& aMessage)
{
  json list = { Type::Evidence, aMessage.mNode, aMessage.mLifetime };
  for (const auto& [key, counts] : aMessage.mCounts) {
    list.push_back(json{ key.mService,
                         key.mVersion,
                         key.mRoute,
                         counts.mRuns,
                         counts.mFailures,
                         counts.mSlow,
                         counts.mTime.Whole() });
  }
  return list;
}

EvidenceMessage
EvidenceOf(const json& aList)
{
  EvidenceMessage message{ .mNode = aList.at(1).get<std::string>(),
                           .mLifetime = aList.at(2).get<std::uint64_t>() };
  for (std::size_t i = 3; i < aList.size(); ++i) {
    const json& entry = aList.at(i);
    message.mCounts[{ .mService = entry.at(0).get<std::string>(),
                      .mVersion = entry.at(1).get<std::string>(),
                      .mRoute = entry.at(2).get<std::string>() }] = {
      .mRuns = entry.at(3).get<std::uint64_t>(),
      .mFailures = entry.at(4).get<std::uint64_t>(),
      .mSlow = entry.at(5).get<std::uint64_t>(),
      .mTime = Millis{ entry.at(6).get<double>() }
    };
  }
  return message;
}

json
ToJson(const CallMessage& aCall)
{
  return { Type::Call,
           aCall.mId,
           aCall.mRequestId,
           aCall.mService,
           static_cast<int>(aCall.mVersionRule),
           aCall.mVersion,
           aCall.mRoute,
           aCall.mMethod,
           Binary(aCall.mTarget),
           ToJson(aCall.mHeaders),
           Binary(aCall.mBody),
           aCall.mTimeLeft.Whole(),
           aCall.mObjectiveLeft.Whole(),
           aCall.mPriority,
           aCall.mIdempotent };
}

CallMessage
CallOf(const json& aList)
{
  return { .mId = aList.at(1).get<std::uint64_t>(),
           .mRequestId = aList.at(2).get<std::string>(),
           .mService = aList.at(3).get<std::string>(),
           .mVersionRule = static_cast<VersionRule>(aList.at(4).get<int>()),
           .mVersion = aList.at(5).get<std::string>(),
           .mRoute = aList.at(6).get<std::string>(),
           .mMethod = aList.at(7).get<std::string>(),
           .mTarget = Bytes(aList.at(8)),
           .mHeaders = HeadersOf(aList.at(9)),
           .mBody = Bytes(aList.at(10)),
           .mTimeLeft = Millis{ aList.at(11).get<double>() },
           .mObjectiveLeft = Millis{ aList.at(12).get<double>() },
           .mPriority = aList.at(13).get<int>(),
           .mIdempotent = aList.at(14).get<bool>() };
}

json
ToJson(const ReplyMessage& aReply)
{
  return { Type::Reply,
           aReply.mId,
           static_cast<int>(aReply.mOutcome),
           aReply.mStatus,
           ToJson(aReply.mHeaders),
           Binary(aReply.mBody),
           aReply.mReason,
           aReply.mReachedTarget,
           aReply.mRetryAfter.Whole(),
           ToJson(aReply.mLoad) };
}

ReplyMessage
ReplyOf(const json& aList)
{
  return { .mId = aList.at(1).get<std::uint64_t>(),
           .mOutcome = static_cast<CallOutcome>(aList.at(2).get<int>()),
           .mStatus = aList.at(3).get<int>(),
           .mHeaders = HeadersOf(aList.at(4)),
           .mBody = Bytes(aList.at(5)),
           .mReason = aList.at(6).get<std::string>(),
           .mReachedTarget = aList.at(7).get<bool>(),
           .mRetryAfter = Millis{ aList.at(8).get<double>() },
           .mLoad = LoadOf(aList.at(9)) };
}

gateway::FollowState
FollowOf(const json& aNumber)
{
  const int last = static_cast<int>(gateway::FollowState::Working);
  return static_cast<gateway::FollowState>(
    std::clamp(aNumber.get<int>(), 0, last));
}

json
ToJson(const gateway::TextDelta& aDelta)
{
  json list = { aDelta.mHash };
  for (const gateway::DeltaPart& part : aDelta.mParts) {
    if (part.mLength > 0) {
      list.push_back(json{ part.mFrom, part.mLength });
    } else {
      list.push_back(Binary(part.mBytes));
    }
  }
  return list;
}

gateway::TextDelta
DeltaOf(const json& aList)
{
  gateway::TextDelta delta{ .mHash = aList.at(0).get<std::uint64_t>() };
  for (std::size_t i = 1; i < aList.size(); ++i) {
    const json& part = aList.at(i);
    if (part.is_array()) {
      delta.mParts.push_back({ .mFrom = part.at(0).get<std::uint64_t>(),
                               .mLength = part.at(1).get<std::uint64_t>() });
    } else {
      delta.mParts.push_back({ .mBytes = Bytes(part) });
    }
  }
  return delta;
}

json
Encoded(const PeerMessage& aMessage)
{
  return std::visit(
    [](const auto& aValue) -> json {
      using Message = std::decay_t<decltype(aValue)>;
      if constexpr (std::is_same_v<Message, CancelMessage>) {
        return { Type::Cancel, aValue.mId };
      } else if constexpr (std::is_same_v<Message, LoadMessage>) {
        return { Type::Load,
                 ToJson(aValue.mLoad),
                 aValue.mStateVersion,
                 static_cast<int>(aValue.mFollow) };
      } else if constexpr (std::is_same_v<Message, LoadsMessage>) {
        json list = json::array({ Type::Loads });
        for (const auto& [node, load] : aValue.mLoads) {
          list.push_back(node);
          list.push_back(ToJson(load));
        }
        return list;
      } else if constexpr (std::is_same_v<Message, RecordMessage>) {
        return { Type::Record, ToJson(aValue.mRecord) };
      } else if constexpr (std::is_same_v<Message, ProgressMessage>) {
        return { Type::Progress, ToJson(aValue.mProgress) };
      } else if constexpr (std::is_same_v<Message, StateQuestion>) {
        return json::array({ Type::StateQuestion });
      } else if constexpr (std::is_same_v<Message, OrderMessage>) {
        return { Type::Order,     aValue.mKey,  Binary(aValue.mPackedValue),
                 aValue.mVersion, aValue.mBase, ToJson(aValue.mDelta) };
      } else if constexpr (std::is_same_v<Message, CrashMessage>) {
        return { Type::Crash,
                 aValue.mReport.mId,
                 aValue.mReport.mService,
                 aValue.mReport.mFingerprints };
      } else if constexpr (std::is_same_v<Message, SuspectRanMessage>) {
        return { Type::SuspectRan, aValue.mFingerprint };
      } else if constexpr (std::is_same_v<Message, QuarantineMessage>) {
        json list = json::array({ Type::Quarantine });
        for (const QuarantineFact& fact : aValue.mFacts) {
          list.push_back({ fact.mFingerprint,
                           fact.mService,
                           fact.mReleased,
                           fact.mSequence,
                           fact.mExpires.Whole() });
        }
        return list;
      } else {
        return ToJson(aValue);
      }
    },
    aMessage);
}

PeerMessage
Decoded(const json& aList)
{
  switch (static_cast<Type>(aList.at(0).get<int>())) {
    case Type::Call:
      return CallOf(aList);
    case Type::Reply:
      return ReplyOf(aList);
    case Type::Cancel:
      return CancelMessage{ .mId = aList.at(1).get<std::uint64_t>() };
    case Type::Load:
      return LoadMessage{ .mLoad = LoadOf(aList.at(1)),
                          .mStateVersion = aList.at(2).get<std::uint64_t>(),
                          .mFollow = FollowOf(aList.at(3)) };
    case Type::Loads: {
      LoadsMessage message;
      for (std::size_t i = 1; i + 1 < aList.size(); i += 2) {
        message.mLoads[aList.at(i).get<std::string>()] =
          LoadOf(aList.at(i + 1));
      }
      return message;
    }
    case Type::Record:
      return RecordMessage{ .mRecord = RecordOf(aList.at(1)) };
    case Type::Evidence:
      return EvidenceOf(aList);
    case Type::Progress:
      return ProgressMessage{ .mProgress = ProgressOf(aList.at(1)) };
    case Type::StateQuestion:
      return StateQuestion{};
    case Type::Order:
      return OrderMessage{ .mKey = aList.at(1).get<std::string>(),
                           .mPackedValue = Bytes(aList.at(2)),
                           .mVersion = aList.at(3).get<std::uint64_t>(),
                           .mBase = aList.at(4).get<std::uint64_t>(),
                           .mDelta = DeltaOf(aList.at(5)) };
    case Type::Crash:
      return CrashMessage{ .mReport = {
                             .mId = aList.at(1).get<std::string>(),
                             .mService = aList.at(2).get<std::string>(),
                             .mFingerprints =
                               aList.at(3).get<std::vector<std::string>>() } };
    case Type::SuspectRan:
      return SuspectRanMessage{ .mFingerprint =
                                  aList.at(1).get<std::string>() };
    case Type::Quarantine: {
      QuarantineMessage message;
      for (std::size_t i = 1; i < aList.size(); ++i) {
        const json& fact = aList.at(i);
        message.mFacts.push_back(
          { .mFingerprint = fact.at(0).get<std::string>(),
            .mService = fact.at(1).get<std::string>(),
            .mReleased = fact.at(2).get<bool>(),
            .mSequence = fact.at(3).get<std::uint64_t>(),
            .mExpires = {
              static_cast<double>(fact.at(4).get<std::int64_t>()) } });
      }
      return message;
    }
  }
  throw json::out_of_range::create(0, "unknown type of message", nullptr);
}

template<typename Decode>
auto
Guarded(const json& aList, Decode aDecode) -> Expected<decltype(aDecode(aList))>
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
  json::to_cbor(Encoded(aMessage), bytes);
  return bytes;
}

Expected<PeerMessage>
DecodeMessage(const std::string& aBytes)
{
  return Guarded(json::from_cbor(aBytes, true, false), Decoded);
}

std::string
EncodeRecord(const NodeRecord& aRecord)
{
  return ToJson(aRecord).dump();
}

Expected<NodeRecord>
DecodeRecord(const std::string& aText)
{
  return Guarded(json::parse(aText, nullptr, false), RecordOf);
}

std::string
EncodeProgress(const RolloutProgress& aProgress)
{
  return ToJson(aProgress).dump();
}

Expected<RolloutProgress>
DecodeProgress(const std::string& aText)
{
  return Guarded(json::parse(aText, nullptr, false), ProgressOf);
}

} // namespace papayaway::sidecar
