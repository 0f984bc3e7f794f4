#include "SidecarImpl.h"

#include <algorithm>

namespace papayaway::sidecar {

using gateway::NodeRecord;

namespace {

/** How many link nodes of another data centre receive a changed operator row
 *  directly. The second one forwards it while the first one hangs, which is
 *  detected only after 1.6 s. */
constexpr std::size_t kRowCopiesPerDataCentre = 2;
/** For how long after reading the nodes' table a node assumes that the listed
 *  nodes are alive, since links to them are not open yet. */
constexpr Millis kNodesTableGrace{ 1000 };
/** From this number of nodes on, the nodes of a data centre send their changed
 *  loads to the relay, which sends them to all nodes in one message. Otherwise
 *  the number of messages would grow with the square of the number of nodes. */
constexpr std::size_t kMinNodesForRelayedLoads = 16;
/** How often the relay sends the changed loads within the data centre. */
constexpr Millis kDataCentreLoadsPeriod{ 250 };
/** How often changed loads are sent to other data centres of the region, and to
 *  other regions. */
constexpr Millis kRegionLoadsPeriod{ 500 };
constexpr Millis kOtherRegionsLoadsPeriod{ 1000 };
/** Unchanged loads are sent to other data centres again after this time. */
constexpr Millis kMaxLoadInterval{ 1500 };
/** Within the data centre, heartbeats repeat unchanged loads. */
constexpr Millis kNoRepeat = Seconds(3600);
/** A target in another data centre is sent calls only if its load was received
 *  within this time. */
constexpr Millis kMaxLoadAge{ 3500 };

} // namespace

bool
Sidecar::Impl::InOwnDataCentre(const std::string& aNode) const
{
  const NodeRecord* const record = mTargets.Nodes().Find(aNode);
  return record != nullptr && record->mDataCentre == mSettings.mDataCentre;
}

bool
Sidecar::Impl::InOwnRegion(const std::string& aNode) const
{
  const NodeRecord* const record = mTargets.Nodes().Find(aNode);
  return record != nullptr && record->mRegion == mSettings.mRegion;
}

bool
Sidecar::Impl::CanReceiveCalls(const NodeRecord& aRecord,
                               std::optional<Millis> aLoadReceivedAt,
                               Millis aNow) const
{
  if (aRecord.mTarget && mRollouts.IsWithdrawn(*aRecord.mTarget)) {
    return false;
  }
  const std::string& node = aRecord.mNode;
  // Links to other data centres are opened on demand, so a missing link does
  // not make a node there unusable.
  const bool hasFreshLoad = aRecord.mDataCentre != mSettings.mDataCentre &&
                            aLoadReceivedAt &&
                            aNow - *aLoadReceivedAt < kMaxLoadAge;
  return node == mSettings.mName ||
         (hasFreshLoad && !mMesh.HasFailedRecently(node)) ||
         mMesh.Reachable(node, aNow);
}

void
Sidecar::Impl::UpdateLinks()
{
  const Millis now = SteadyNow();
  const auto isReachable = [this, now](const std::string& aNode) {
    return mMesh.Reachable(aNode, now);
  };
  const bool wasLinkNode = mTopology.IsLinkNode();
  if (!mTopology.Update(mTargets.Nodes(), isReachable, now)) {
    return;
  }
  mMesh.SetPersistentPeers(mTopology.Peers());
  if (mTopology.IsLinkNode() != wasLinkNode) {
    mLog.WriteStateChange(
      "mesh", "link_node", { { "is_link_node", !wasLinkNode } });
  }
}

bool
Sidecar::Impl::IsIsolated() const
{
  const Millis now = SteadyNow();
  std::size_t known = 0;
  std::size_t reached = 0;
  for (const auto& [node, record] :
       mTargets.Nodes().InDataCentre(mSettings.mDataCentre)) {
    if (mTopology.OwnDataCentreLiveness().WasReached(node)) {
      ++known;
      reached += mMesh.Reachable(record->mNode, now) ? 1 : 0;
    }
  }
  return reached * 2 < known;
}

std::string
Sidecar::Impl::RelayOf(const std::string& aDataCentre) const
{
  const Millis now = SteadyNow();
  for (const auto& [node, record] :
       mTargets.Nodes().InDataCentre(aDataCentre)) {
    const bool mayRelay =
      aDataCentre != mSettings.mDataCentre || mTopology.IsAlive(record->mNode);
    if (record->mNode == mSettings.mName ||
        (mayRelay && mMesh.Reachable(record->mNode, now))) {
      return record->mNode;
    }
  }
  return {};
}

bool
Sidecar::Impl::IsRelay() const
{
  return RelayOf(mSettings.mDataCentre) == mSettings.mName;
}

void
Sidecar::Impl::SendInDataCentre(const PeerMessage& aMessage)
{
  mMesh.BroadcastTo(
    [this](const std::string& aNode) { return InOwnDataCentre(aNode); },
    aMessage);
}

void
Sidecar::Impl::SendToAllRelays(const PeerMessage& aMessage)
{
  SendToRelays(aMessage, false);
  SendToRelays(aMessage, true);
}

void
Sidecar::Impl::SendToRelays(const PeerMessage& aMessage, bool aOtherRegions)
{
  for (const std::string& dataCentre :
       mTopology.OtherDataCentres(aOtherRegions)) {
    const std::string relay = RelayOf(dataCentre);
    if (!relay.empty()) {
      mMesh.Send(relay, aMessage);
    }
  }
}

bool
Sidecar::Impl::RelaysOwnLoads() const
{
  return mTargets.Nodes().InDataCentre(mSettings.mDataCentre).size() >=
         kMinNodesForRelayedLoads;
}

void
Sidecar::Impl::SendDataCentreLoads(Millis aNow)
{
  const bool ownDue =
    RelaysOwnLoads() &&
    aNow - mLoadsSentInDataCentre.mSentAt >= kDataCentreLoadsPeriod;
  const bool regionDue =
    aNow - mLoadsSentInRegion.mSentAt >= kRegionLoadsPeriod;
  const bool otherRegionsDue =
    aNow - mLoadsSentToOtherRegions.mSentAt >= kOtherRegionsLoadsPeriod;
  if ((!ownDue && !regionDue && !otherRegionsDue) || !IsRelay()) {
    return;
  }
  if (ownDue) {
    if (const auto loads =
          TakeChangedLoads(mLoadsSentInDataCentre, kNoRepeat, aNow);
        !loads.mLoads.empty()) {
      SendInDataCentre(loads);
    }
  }
  if (regionDue) {
    if (const auto loads =
          TakeChangedLoads(mLoadsSentInRegion, kMaxLoadInterval, aNow);
        !loads.mLoads.empty()) {
      SendToRelays(loads, false);
    }
  }
  if (otherRegionsDue) {
    if (const auto loads =
          TakeChangedLoads(mLoadsSentToOtherRegions, kMaxLoadInterval, aNow);
        !loads.mLoads.empty()) {
      SendToRelays(loads, true);
    }
  }
}

DataCentreLoadsMessage
Sidecar::Impl::TakeChangedLoads(SentLoads& aSent,
                                Millis aMaxInterval,
                                Millis aNow)
{
  aSent.mSentAt = aNow;
  DataCentreLoadsMessage message;
  for (const auto& [node, load] : mTargets.DataCentreLoads()) {
    gateway::LoadReportFilter& filter =
      aSent.mReportFilters
        .try_emplace(
          node,
          gateway::LoadReportFilterOptions{ .mMaxInterval = aMaxInterval })
        .first->second;
    if (filter.ShouldReport(load, aNow)) {
      filter.OnReported(load, aNow);
      message.mLoads.emplace(node, load);
    }
  }
  return message;
}

void
Sidecar::Impl::OnDataCentreLoads(const std::string& aFrom,
                                 const DataCentreLoadsMessage& aMessage)
{
  const bool fromOwn = InOwnDataCentre(aFrom);
  for (const auto& [node, load] : aMessage.mLoads) {
    // Another data centre knows the loads of this one only from its relay.
    if (node != mSettings.mName && (fromOwn || !InOwnDataCentre(node))) {
      mTargets.OnLoad(node, load);
    }
  }
  if (!fromOwn) {
    SendInDataCentre(aMessage);
  }
}

void
Sidecar::Impl::Broadcast(const PeerMessage& aMessage, const std::string& aFrom)
{
  // A node of the own data centre has already sent it to the others there.
  if (aFrom == mSettings.mName || !InOwnDataCentre(aFrom)) {
    SendInDataCentre(aMessage);
  }
  if ((aFrom == mSettings.mName || InOwnDataCentre(aFrom)) && IsRelay()) {
    SendToAllRelays(aMessage);
  }
}

void
Sidecar::Impl::OnEvidence(const std::string& aFrom,
                          const EvidenceMessage& aMessage)
{
  mRollouts.OnEvidence(aMessage);
  if (aFrom == mSettings.mName || !InOwnDataCentre(aFrom)) {
    SendInDataCentre(aMessage);
  }
  if (InOwnDataCentre(aMessage.mNode) && IsRelay()) {
    SendToAllRelays(aMessage);
  }
}

void
Sidecar::Impl::BroadcastOperatorRow(const Row& aOld, const Row& aRow)
{
  const bool isState = aRow.mKey == mProtocol.Operator().mDesiredStateKey;
  if (isState && !aOld.mVersion.Exists()) {
    // Nodes without a desired state query for it once they see its version in a
    // load message.
    return;
  }
  // Nodes that lack the base version ignore the delta. If their desired state
  // is older as a result, they query for the full rows.
  OperatorRowMessage message{ .mKey = aRow.mKey, .mVersion = aRow.mVersion };
  if (aOld.mVersion.Exists()) {
    message.mBaseVersion = aOld.mVersion;
    message.mDelta = gateway::MakeDelta(aOld.mValue, aRow.mValue);
  } else {
    message.mPackedValue = gateway::Pack(aRow.mValue);
  }
  SendInDataCentre(message);
  for (const std::string& dataCentre : mTopology.OtherDataCentres(false)) {
    SendToLinkNodes(dataCentre, message);
  }
  if (HasTenants()) {
    // A region of which no node reaches the store would notice the change only
    // from load messages, which takes more than the 3 s that keys may take.
    for (const std::string& dataCentre : mTopology.OtherDataCentres(true)) {
      SendToLinkNodes(dataCentre, message);
    }
  }
}

void
Sidecar::Impl::SendToLinkNodes(const std::string& aDataCentre,
                               const PeerMessage& aMessage)
{
  const Millis now = SteadyNow();
  std::size_t sent = 0;
  // Link nodes come first by name; others are linked if these were lost.
  for (const auto& [node, record] :
       mTargets.Nodes().InDataCentre(aDataCentre)) {
    if (sent < kRowCopiesPerDataCentre && mMesh.Reachable(record->mNode, now)) {
      mMesh.Send(record->mNode, aMessage);
      ++sent;
    }
  }
}

void
Sidecar::Impl::OnPeerOperatorRow(const std::string& aFrom,
                                 const OperatorRowMessage& aMessage)
{
  Row row{ .mTable = mProtocol.Operator().mOperatorTable,
           .mKey = aMessage.mKey,
           .mVersion = aMessage.mVersion };
  Expected<std::string> value = std::string();
  if (aMessage.mBaseVersion.Exists()) {
    const auto known = mSync.OperatorRows().find(aMessage.mKey);
    if (known == mSync.OperatorRows().end() ||
        known->second.mVersion != aMessage.mBaseVersion) {
      return;
    }
    value = gateway::ApplyDelta(known->second.mValue, aMessage.mDelta);
  } else {
    value = gateway::Unpack(aMessage.mPackedValue);
  }
  if (!value) {
    mMetrics.mBadInput.Increment();
    mLog.WriteStateChange("state",
                          "bad_order",
                          { { "key", aMessage.mKey },
                            { "base", aMessage.mBaseVersion.ToString() },
                            { "reason", value.error().mMessage } });
    return;
  }
  row.mValue = std::move(*value);
  mRowFromPeer = true;
  const bool merged = mSync.MergeOperatorRow(row);
  mRowFromPeer = false;
  if (!merged && !mRoutingTable && !aMessage.mBaseVersion.Exists() &&
      aMessage.mKey == mProtocol.Operator().mDesiredStateKey &&
      ApplyState(row, "peer")) {
    // The newer row that this node knows is malformed.
    OnStateApplied(row.mVersion);
    mReplacedState = row;
  }
  const bool isQueriedState =
    !aMessage.mBaseVersion.Exists() &&
    aMessage.mKey == mProtocol.Operator().mDesiredStateKey;
  if (merged && !isQueriedState && !InOwnDataCentre(aFrom)) {
    SendInDataCentre(aMessage);
  }
}

void
Sidecar::Impl::SendOperatorRows(LinkId aLink)
{
  if (mEvacuations.Set().Digest() != 0) {
    // Before the desired state, with which a node that starts begins to route.
    mMesh.Reply(aLink, mEvacuations.Message());
  }
  if (mReplacedState) {
    mMesh.Reply(
      aLink,
      OperatorRowMessage{ .mKey = mReplacedState->mKey,
                          .mPackedValue = gateway::Pack(mReplacedState->mValue),
                          .mVersion = mReplacedState->mVersion });
  }
  for (const auto& [key, row] : mSync.OperatorRows()) {
    // Compressed once per version, because many nodes may query at once.
    OperatorRowMessage& packed = mPackedRows[key];
    if (packed.mVersion != row.mVersion) {
      packed = { .mKey = key,
                 .mPackedValue = gateway::Pack(row.mValue),
                 .mVersion = row.mVersion };
    }
    mMesh.Reply(aLink, packed);
  }
}

void
Sidecar::Impl::UpdateFollowerRole(Millis aNow)
{
  if (!mSync.NodesRead()) {
    return;
  }
  if (mNodesReadAt.mCount == 0) {
    mNodesReadAt = aNow;
  }
  const Millis age = aNow - mNodesReadAt;
  if (mSettings.mFirstStart && age < kNodesTableGrace) {
    // On the system's first start the other nodes are still writing their first
    // records.
    return;
  }
  UpdateLinks();
  const bool linkNodesFail = LinkNodesFail(aNow);
  const std::vector<std::string>& linkNodes =
    mTopology.LinkNodes(mSettings.mDataCentre);
  const auto isAlive = [&](const std::string& aNode) {
    if (linkNodesFail && std::find(linkNodes.begin(), linkNodes.end(), aNode) !=
                           linkNodes.end()) {
      return false;
    }
    return aNode == mSettings.mName || mMesh.Reachable(aNode, aNow) ||
           age < kNodesTableGrace;
  };
  const std::vector<std::string> followers =
    mTopology.FollowerCandidates(isAlive);
  std::vector<gateway::FollowerCandidate> candidates;
  candidates.reserve(followers.size());
  for (const std::string& node : followers) {
    candidates.push_back({ .mNode = node, .mState = FollowStateOf(node) });
  }
  mSync.SetFollowing(mFollowerElection.Decide(
    mSettings.mName, candidates, aNow, mConfirmations.OverdueFor(BootNow())));
}

} // namespace papayaway::sidecar
