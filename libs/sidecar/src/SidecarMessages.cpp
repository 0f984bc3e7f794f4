#include "SidecarImpl.h"

namespace papayaway::sidecar {

using gateway::NodeRecord;

namespace {

/** How long a node waits, after a load message has shown that it lacks a
 *  version of the desired state, before it queries the sender for it; usually
 *  the store or its followers deliver it sooner. Traffic between data centres
 *  is billed, so nodes of other data centres are queried later. */
constexpr Millis kOwnDataCentreQueryDelay{ 500 };
constexpr Millis kOtherDataCentreQueryDelay{ 1500 };
/** That time for a node that refuses tenants meanwhile. A change that is on its
 *  way over other links arrives within it. */
constexpr Millis kCatchUpQueryDelay{ 50 };
/** The shortest time between two such queries, so that the response to the
 *  first can arrive. */
constexpr Millis kQueryInterval{ 700 };
/** The shortest time between two queries while this node has no desired state
 *  and can't serve callers. */
constexpr Millis kInitialQueryInterval{ 300 };

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
    OnCancel(aLink, *cancel);
  } else if (const auto* const load = std::get_if<LoadMessage>(&aMessage)) {
    OnLoad(aLink, aNode, *load);
  } else if (const auto* const record = std::get_if<RecordMessage>(&aMessage)) {
    if (record->mRecord.mNode == mSettings.mName) {
      OnOwnRecordReceived(record->mRecord);
      return;
    }
    OnRecord(record->mRecord, aNode);
    if (record->mRecord.mNode == aNode) {
      // Tells a node that has just started which version of the desired state
      // is in force here.
      mMesh.Reply(aLink, OwnLoad());
      AnswerRecord(aLink, record->mRecord);
      if (auto quarantined = mCrashes.Quarantined();
          !quarantined.mFacts.empty() || !quarantined.mCrashes.empty()) {
        mMesh.Reply(aLink, std::move(quarantined));
      }
    }
    const NodeRecord* const known = mTargets.Nodes().Find(aNode);
    if (known != nullptr && record->mRecord.mNode == aNode &&
        known->Supersedes(record->mRecord)) {
      // The node has restarted with a clock that is behind, so its new
      // incarnation is lower than its old one.
      mMesh.Reply(aLink, RecordMessage{ *known });
    }
  } else if (const auto* const evidence =
               std::get_if<EvidenceMessage>(&aMessage)) {
    OnEvidence(aNode, *evidence);
  } else if (const auto* const loads =
               std::get_if<DataCentreLoadsMessage>(&aMessage)) {
    OnDataCentreLoads(aNode, *loads);
  } else if (const auto* const progress =
               std::get_if<ProgressMessage>(&aMessage)) {
    if (const auto newer = mRollouts.OnProgressMessage(*progress)) {
      mMesh.Reply(aLink, *newer);
    }
  } else if (std::holds_alternative<OperatorRowsQuery>(aMessage)) {
    SendOperatorRows(aLink);
  } else if (const auto* const row =
               std::get_if<OperatorRowMessage>(&aMessage)) {
    OnPeerOperatorRow(aNode, *row);
  } else if (const auto* const crash = std::get_if<CrashMessage>(&aMessage)) {
    if (mCrashes.OnCrashReport(*crash)) {
      Broadcast(*crash, aNode);
    }
  } else if (const auto* const completed =
               std::get_if<SuspectCompletedMessage>(&aMessage)) {
    if (mCrashes.OnSuspectCompleted(*completed)) {
      Broadcast(*completed, aNode);
    }
  } else if (const auto* const quarantine =
               std::get_if<QuarantineMessage>(&aMessage)) {
    mCrashes.OnQuarantined(*quarantine, false);
  } else if (const auto* const evacuations =
               std::get_if<EvacuationsMessage>(&aMessage)) {
    OnEvacuations(aNode, *evacuations);
  } else if (const auto* const report =
               std::get_if<CapReportMessage>(&aMessage)) {
    mCaps.OnReport(aNode, *report);
  } else if (const auto* const grant =
               std::get_if<CapGrantMessage>(&aMessage)) {
    mCaps.OnGrant(aNode, InOwnDataCentre(aNode), *grant);
  } else if (const auto* const withdraw =
               std::get_if<WithdrawMessage>(&aMessage)) {
    OnWithdraw(aLink, *withdraw);
  } else if (const auto* const confirmation =
               std::get_if<ConfirmationMessage>(&aMessage)) {
    OnConfirmation(aLink, aNode, *confirmation);
  } else if (const auto* const copied =
               std::get_if<RecordCopiedMessage>(&aMessage)) {
    if (copied->mIncarnation == mIncarnation) {
      mLeaves.OnCopied(aNode, copied->mSequence);
    }
  } else if (const auto* const left =
               std::get_if<LeftTargetsMessage>(&aMessage)) {
    OnLeftTargets(*left);
  }
}

void
Sidecar::Impl::OnCall(LinkId aLink, CallMessage aCall)
{
  if (mReceivedCalls.empty()) {
    // The loss of a link is reported by a deferred callback too, so the calls
    // are served one round after it.
    mLoop.Defer([this, alive = std::weak_ptr<bool>(mAlive)] {
      if (!alive.expired()) {
        mLoop.Defer([this, alive] {
          if (!alive.expired()) {
            ServeReceivedCalls();
          }
        });
      }
    });
  }
  const std::uint64_t callId = aCall.mId;
  mReceivedCalls.insert_or_assign({ aLink, callId }, std::move(aCall));
}

void
Sidecar::Impl::OnCancel(LinkId aLink, const CancelMessage& aCancel)
{
  if (mReceivedCalls.erase({ aLink, aCancel.mId }) > 0) {
    mMetrics.OnCancelled("received");
    return;
  }
  const auto found = mPeerCalls.find({ aLink, aCancel.mId });
  if (found == mPeerCalls.end()) {
    mMetrics.OnCancelled("unknown");
    return;
  }
  const LocalTargetProxy::CallId id = found->second;
  mPeerCalls.erase(found);
  mLocalTarget.Cancel(id);
}

void
Sidecar::Impl::OnWithdraw(LinkId aLink, const WithdrawMessage& aWithdraw)
{
  if (mReceivedCalls.erase({ aLink, aWithdraw.mId }) > 0) {
    mMesh.Reply(aLink,
                ReplyMessage{ .mId = aWithdraw.mId,
                              .mOutcome = CallOutcome::NotRun,
                              .mReason = "withdrawn",
                              .mLoad = mLocalTarget.Load() });
    return;
  }
  const auto found = mPeerCalls.find({ aLink, aWithdraw.mId });
  if (found != mPeerCalls.end()) {
    mLocalTarget.Withdraw(found->second);
  }
}

void
Sidecar::Impl::ServeReceivedCalls()
{
  while (!mReceivedCalls.empty()) {
    auto call = mReceivedCalls.extract(mReceivedCalls.begin());
    ServeCall(call.key().first, std::move(call.mapped()));
  }
}

void
Sidecar::Impl::ServeCall(LinkId aLink, CallMessage aCall)
{
  const std::uint64_t callId = aCall.mId;
  const Millis now = SteadyNow();
  if (mStop && !mStop->MayTakeCall(now + aCall.mTimeLeft, now)) {
    mMesh.Reply(aLink,
                ReplyMessage{ .mId = callId,
                              .mOutcome = CallOutcome::NotRun,
                              .mReason = "node_stopping",
                              .mLoad = mLocalTarget.Load() });
    return;
  }
  const std::pair<LinkId, std::uint64_t> key{ aLink, callId };
  const auto answered = std::make_shared<bool>(false);
  const LocalTargetProxy::CallId id = mLocalTarget.Serve(
    std::move(aCall), [this, key, answered](ReplyMessage aReply) {
      *answered = true;
      mPeerCalls.erase(key);
      InformOfEvacuation(key.first, aReply);
      mMesh.Reply(key.first, std::move(aReply));
    });
  if (!*answered) {
    mPeerCalls.emplace(key, id);
  }
}

void
Sidecar::Impl::OnLinkLost(LinkId aLink, bool aWasOpen)
{
  std::erase_if(mReceivedCalls, [&](const auto& aEntry) {
    return aEntry.first.first == aLink;
  });
  std::vector<LocalTargetProxy::CallId> calls;
  const auto first = mPeerCalls.lower_bound({ aLink, 0 });
  auto last = first;
  while (last != mPeerCalls.end() && last->first.first == aLink) {
    calls.push_back(last->second);
    ++last;
  }
  mPeerCalls.erase(first, last);
  // The replies to these calls could no longer be delivered.
  for (const LocalTargetProxy::CallId id : calls) {
    mLocalTarget.Cancel(id);
  }
  mDispatcher.OnLinkLost(aLink, aWasOpen);
}

void
Sidecar::Impl::OnLoad(LinkId aLink,
                      const std::string& aNode,
                      const LoadMessage& aMessage)
{
  mTargets.OnLoad(aNode, aMessage.mLoad);
  mSync.OnEraReported(aMessage.mStoreEra, mTargets.Nodes().All().size());
  RepairEvacuations(aLink, aMessage);
  if (InOwnRegion(aNode)) {
    const auto before =
      std::exchange(mFollowStates[aNode], aMessage.mFollowState);
    if (aMessage.mFollowState == gateway::FollowState::Working) {
      mConfirmations.OnFollower(aNode, BootNow());
    }
    if (before != aMessage.mFollowState &&
        aMessage.mFollowState == gateway::FollowState::Working) {
      mSync.OnStoreRecovered();
    }
  }
  mFreshness.OnReport(
    aMessage.mStateVersion, aMessage.mConfirmedAgo, StateVersion(), BootNow());
  QueryIfBehind(aLink, aNode, aMessage.mStateVersion);
}

void
Sidecar::Impl::QueryIfBehind(LinkId aLink,
                             const std::string& aNode,
                             std::uint64_t aVersion)
{
  const std::uint64_t own = StateVersion();
  if (aVersion <= own) {
    return;
  }
  const Millis now = SteadyNow();
  if (own >= mMissingVersion) {
    // The version that this node lacked before is in force by now, so the delay
    // starts anew.
    mMissingVersion = aVersion;
    mMissingSince = now;
  }
  const Millis delay = own == 0                 ? Millis{}
                       : MustCatchUp()          ? kCatchUpQueryDelay
                       : InOwnDataCentre(aNode) ? kOwnDataCentreQueryDelay
                                                : kOtherDataCentreQueryDelay;
  const Millis interval =
    own == 0 || MustCatchUp() ? kInitialQueryInterval : kQueryInterval;
  if (now - mMissingSince >= delay && now - mQueriedAt >= interval) {
    mQueriedAt = now;
    mMesh.Reply(aLink, OperatorRowsQuery{});
  }
}

} // namespace papayaway::sidecar
