#include "SidecarImpl.h"

#include <algorithm>

namespace papayaway::sidecar {

using gateway::NodeRecord;

namespace {

/** How many nodes of each data centre keep links to other data centres. With
 *  three, two may fail at the same time. */
constexpr std::size_t kLinkNodesPerDataCentre = 3;
/** For how long after reading the nodes' table a node assumes that the listed
 *  nodes are alive, since links to them are not open yet. */
constexpr Millis kNodesTableGrace{ 1000 };
/** How often changed loads are sent to other data centres of the region, and to
 *  other regions. */
constexpr Millis kRegionLoadsPeriod{ 500 };
constexpr Millis kOtherRegionsLoadsPeriod{ 1000 };
/** Unchanged loads are sent to other data centres again after this time. */
constexpr Millis kMaxLoadInterval{ 1500 };
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
Sidecar::Impl::CanReceiveCalls(const std::string& aNode) const
{
  if (aNode == mSettings.mName || mMesh.Reachable(aNode)) {
    return true;
  }
  // Links to other data centres are opened on demand, so a missing link does
  // not make a node there unusable.
  return !InOwnDataCentre(aNode) && !mMesh.HasFailedRecently(aNode) &&
         mTargets.LoadIsFresh(aNode, kMaxLoadAge);
}

void
Sidecar::Impl::UpdateLinks()
{
  // The first nodes of each data centre by name, except those that are leaving.
  std::map<std::string, std::vector<const NodeRecord*>> linkNodes;
  std::map<std::string, std::string> peers;
  bool isLinkNode = false;
  for (const auto& [node, record] : mTargets.Nodes().All()) {
    if (record.mLeaving) {
      continue;
    }
    auto& nodes = linkNodes[record.mDataCentre];
    if (nodes.size() < kLinkNodesPerDataCentre) {
      nodes.push_back(&record);
      isLinkNode = isLinkNode || node == mSettings.mName;
    }
    if (record.mDataCentre == mSettings.mDataCentre &&
        node != mSettings.mName) {
      peers.emplace(node, record.mPeerAddress);
    }
  }
  if (isLinkNode) {
    for (const auto& [dataCentre, nodes] : linkNodes) {
      for (const NodeRecord* const record : nodes) {
        if (record->mNode != mSettings.mName) {
          peers.emplace(record->mNode, record->mPeerAddress);
        }
      }
    }
  }
  mMesh.SetPersistentPeers(peers);
}

std::string
Sidecar::Impl::RelayOf(const std::string& aDataCentre) const
{
  for (const auto& [node, record] : mTargets.Nodes().All()) {
    if (record.mDataCentre == aDataCentre && !record.mLeaving &&
        (node == mSettings.mName || mMesh.Reachable(node))) {
      return node;
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
  std::set<std::string> dataCentres;
  for (const auto& [node, record] : mTargets.Nodes().All()) {
    if (record.mDataCentre != mSettings.mDataCentre &&
        (record.mRegion != mSettings.mRegion) == aOtherRegions) {
      dataCentres.insert(record.mDataCentre);
    }
  }
  for (const std::string& dataCentre : dataCentres) {
    const std::string relay = RelayOf(dataCentre);
    if (!relay.empty()) {
      mMesh.Send(relay, aMessage);
    }
  }
}

void
Sidecar::Impl::SendDataCentreLoads(Millis aNow)
{
  const bool regionDue =
    aNow - mLoadsSentInRegion.mSentAt >= kRegionLoadsPeriod;
  const bool otherRegionsDue =
    aNow - mLoadsSentToOtherRegions.mSentAt >= kOtherRegionsLoadsPeriod;
  if ((!regionDue && !otherRegionsDue) || !IsRelay()) {
    return;
  }
  if (regionDue) {
    if (const auto loads = TakeChangedLoads(mLoadsSentInRegion, aNow);
        !loads.mLoads.empty()) {
      SendToRelays(loads, false);
    }
  }
  if (otherRegionsDue) {
    if (const auto loads = TakeChangedLoads(mLoadsSentToOtherRegions, aNow);
        !loads.mLoads.empty()) {
      SendToRelays(loads, true);
    }
  }
}

DataCentreLoadsMessage
Sidecar::Impl::TakeChangedLoads(SentLoads& aSent, Millis aNow)
{
  aSent.mSentAt = aNow;
  DataCentreLoadsMessage message;
  for (const auto& [node, load] : mTargets.DataCentreLoads()) {
    gateway::LoadReportFilter& filter =
      aSent.mReportFilters
        .try_emplace(
          node,
          gateway::LoadReportFilterOptions{ .mMaxInterval = kMaxLoadInterval })
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
  for (const auto& [node, load] : aMessage.mLoads) {
    if (!InOwnDataCentre(node)) {
      mTargets.OnLoad(node, load);
    }
  }
  if (!InOwnDataCentre(aFrom)) {
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
  if (isState && aOld.mVersion == 0) {
    // Nodes without a desired state query for it once they see its version in a
    // load message.
    return;
  }
  // Nodes that lack the base version ignore the delta. If their desired state
  // is older as a result, they query for the full rows.
  OperatorRowMessage message{ .mKey = aRow.mKey, .mVersion = aRow.mVersion };
  if (aOld.mVersion != 0) {
    message.mBaseVersion = aOld.mVersion;
    message.mDelta = gateway::MakeDelta(aOld.mValue, aRow.mValue);
  } else {
    message.mPackedValue = gateway::Pack(aRow.mValue);
  }
  SendInDataCentre(message);
}

void
Sidecar::Impl::OnPeerOperatorRow(const OperatorRowMessage& aMessage)
{
  Row row{ .mTable = mProtocol.Operator().mOperatorTable,
           .mKey = aMessage.mKey,
           .mVersion = aMessage.mVersion };
  Expected<std::string> value = std::string();
  if (aMessage.mBaseVersion != 0) {
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
                            { "base", aMessage.mBaseVersion },
                            { "reason", value.error().mMessage } });
    return;
  }
  row.mValue = std::move(*value);
  mRowFromPeer = true;
  mSync.MergeOperatorRow(row);
  mRowFromPeer = false;
}

void
Sidecar::Impl::SendOperatorRows(LinkId aLink)
{
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
  std::vector<gateway::FollowerCandidate> nodes;
  for (const auto& [node, record] : mTargets.Nodes().All()) {
    if (record.mDataCentre != mSettings.mDataCentre || record.mLeaving) {
      continue;
    }
    const bool own = node == mSettings.mName;
    if (!own && !mMesh.Reachable(node) && age >= kNodesTableGrace) {
      continue;
    }
    const auto state = mFollowStates.find(node);
    nodes.push_back({ .mNode = node,
                      .mState = own ? mSync.FollowingState()
                                : state == mFollowStates.end()
                                  ? gateway::FollowState::Idle
                                  : state->second });
  }
  mSync.SetFollowing(mFollowerElection.Decide(mSettings.mName, nodes, aNow));
}

} // namespace papayaway::sidecar
