#include "SidecarImpl.h"

namespace papayaway::sidecar {

using gateway::NodeRecord;

namespace {

/** A node that another one is ahead of for this long asks it for the desired
 *  state; usually the store or the followers of the store are faster. Bytes
 *  from other data centres are paid, so those are asked later. */
constexpr Millis kNearStateDelay{ 500 };
constexpr Millis kFarStateDelay{ 1500 };
/** Between questions, while an answer may be on its way. */
constexpr Millis kAskPause{ 700 };
/** The same while this node has no desired state and serves nobody. */
constexpr Millis kFirstAskPause{ 300 };
/** Requests of other nodes that were on their way are still run. */
constexpr Millis kStopServing{ 400 };

} // namespace

void
Sidecar::Impl::OnMessage(LinkId aLink,
                         const std::string& aNode,
                         PeerMessage aMessage)
{
  if (auto* const call = std::get_if<CallMessage>(&aMessage)) {
    OnCall(aLink, std::move(*call));
  } else if (auto* const reply = std::get_if<ReplyMessage>(&aMessage)) {
    mDispatcher.OnReply(aNode, std::move(*reply));
  } else if (const auto* const cancel = std::get_if<CancelMessage>(&aMessage)) {
    const auto found = mPeerCalls.find({ aLink, cancel->mId });
    if (found != mPeerCalls.end()) {
      const TargetGate::CallId id = found->second;
      mPeerCalls.erase(found);
      mGate.Cancel(id);
    }
  } else if (const auto* const load = std::get_if<LoadMessage>(&aMessage)) {
    OnLoad(aLink, aNode, *load);
  } else if (const auto* const record = std::get_if<RecordMessage>(&aMessage)) {
    if (record->mRecord.mNode == mSettings.mName) {
      OnOwnRecordElsewhere(record->mRecord);
      return;
    }
    OnRecord(record->mRecord, aNode);
    if (record->mRecord.mNode == aNode) {
      // A node that has just started learns at once which state there is.
      mMesh.Reply(aLink, OwnLoad());
      if (auto quarantined = mCrashes.Quarantined();
          !quarantined.mFacts.empty()) {
        mMesh.Reply(aLink, std::move(quarantined));
      }
    }
    const NodeRecord* const known = mTargets.Nodes().Find(aNode);
    if (known != nullptr && record->mRecord.mNode == aNode &&
        known->Supersedes(record->mRecord)) {
      // The node has started again with a clock that is behind.
      mMesh.Reply(aLink, RecordMessage{ *known });
    }
  } else if (const auto* const evidence =
               std::get_if<EvidenceMessage>(&aMessage)) {
    OnEvidence(aNode, *evidence);
  } else if (const auto* const loads = std::get_if<LoadsMessage>(&aMessage)) {
    OnLoads(aNode, *loads);
  } else if (const auto* const progress =
               std::get_if<ProgressMessage>(&aMessage)) {
    mRollouts.OnProgress(progress->mProgress);
  } else if (std::holds_alternative<StateQuestion>(aMessage)) {
    TellOrders(aLink);
  } else if (const auto* const order = std::get_if<OrderMessage>(&aMessage)) {
    OnOrderOfPeer(*order);
  } else if (const auto* const crash = std::get_if<CrashMessage>(&aMessage)) {
    if (mCrashes.OnReport(*crash)) {
      Spread(*crash, aNode);
    }
  } else if (const auto* const ran =
               std::get_if<SuspectRanMessage>(&aMessage)) {
    if (mCrashes.OnSuspectRan(*ran)) {
      Spread(*ran, aNode);
    }
  } else if (const auto* const quarantine =
               std::get_if<QuarantineMessage>(&aMessage)) {
    mCrashes.OnQuarantined(*quarantine);
  }
}

void
Sidecar::Impl::OnCall(LinkId aLink, CallMessage aCall)
{
  const std::uint64_t callId = aCall.mId;
  if (mStopping && SteadyNow() - mStopBegan > kStopServing) {
    mMesh.Reply(aLink,
                ReplyMessage{ .mId = callId,
                              .mOutcome = CallOutcome::NotRun,
                              .mReason = "node_stopping",
                              .mLoad = mGate.Load() });
    return;
  }
  const std::pair<LinkId, std::uint64_t> key{ aLink, callId };
  const auto answered = std::make_shared<bool>(false);
  const TargetGate::CallId id =
    mGate.Serve(std::move(aCall), [this, key, answered](ReplyMessage aReply) {
      *answered = true;
      mPeerCalls.erase(key);
      mMesh.Reply(key.first, std::move(aReply));
    });
  if (!*answered) {
    mPeerCalls.emplace(key, id);
  }
}

void
Sidecar::Impl::OnLinkLost(LinkId aLink, bool aWasOpen)
{
  std::vector<TargetGate::CallId> calls;
  const auto first = mPeerCalls.lower_bound({ aLink, 0 });
  auto last = first;
  while (last != mPeerCalls.end() && last->first.first == aLink) {
    calls.push_back(last->second);
    ++last;
  }
  mPeerCalls.erase(first, last);
  // No answer can reach the callers of these any more.
  for (const TargetGate::CallId id : calls) {
    mGate.Cancel(id);
  }
  mDispatcher.OnLinkLost(aLink, aWasOpen);
}

void
Sidecar::Impl::OnLoad(LinkId aLink,
                      const std::string& aNode,
                      const LoadMessage& aMessage)
{
  mTargets.OnLoad(aNode, aMessage.mLoad);
  if (IsNear(aNode)) {
    const auto before = std::exchange(mFollowStates[aNode], aMessage.mFollow);
    if (before != aMessage.mFollow &&
        aMessage.mFollow == gateway::FollowState::Working) {
      mSync.OnStoreReturned();
    }
  }
  const std::uint64_t own = mTable ? mTable->State().mVersion : 0;
  if (aMessage.mStateVersion <= own) {
    return;
  }
  const Millis now = SteadyNow();
  if (own >= mBehindOf) {
    // Not the version that this node was behind of before.
    mBehindOf = aMessage.mStateVersion;
    mBehindSince = now;
  }
  const Millis delay = own == 0        ? Millis{}
                       : IsNear(aNode) ? kNearStateDelay
                                       : kFarStateDelay;
  const Millis pause = own == 0 ? kFirstAskPause : kAskPause;
  if (now - mBehindSince >= delay && now - mAskedAt >= pause) {
    mAskedAt = now;
    mMesh.Reply(aLink, StateQuestion{});
  }
}

} // namespace papayaway::sidecar
