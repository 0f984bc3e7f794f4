#include "SidecarImpl.h"

#include <algorithm>

namespace papayaway::sidecar {

using gateway::NodeRecord;

namespace {

/** Nodes of each data centre that keep links to other data centres. Three
 *  bear two that fail at the same time. */
constexpr std::size_t kLinkingNodes = 3;
/** For this long after it has read the nodes' table a node takes those in it
 *  for alive, since links to them are not open yet. */
constexpr Millis kTableGrace{ 1000 };
/** How often loads are told to other data centres, near and far. */
constexpr Millis kNearLoadsPeriod{ 500 };
constexpr Millis kFarLoadsPeriod{ 1000 };
/** A load that does not change is told to other data centres this often. */
constexpr Millis kLongestLoads{ 1500 };
/** Older news of a target elsewhere is too old to send calls there. */
constexpr Millis kFreshLoad{ 3500 };

} // namespace

bool
Sidecar::Impl::IsNear(const std::string& aNode) const
{
  const NodeRecord* const record = mTargets.Nodes().Find(aNode);
  return record != nullptr && record->mDataCentre == mSettings.mDataCentre;
}

bool
Sidecar::Impl::Usable(const std::string& aNode) const
{
  if (aNode == mSettings.mName || mMesh.Reachable(aNode)) {
    return true;
  }
  // Links to other data centres are opened when a call needs them.
  return !IsNear(aNode) && !mMesh.Failing(aNode) &&
         mTargets.LoadIsFresh(aNode, kFreshLoad);
}

void
Sidecar::Impl::UpdateLinks()
{
  // The first nodes of each data centre by name, leaving ones apart.
  std::map<std::string, std::vector<const NodeRecord*>> first;
  std::map<std::string, std::string> keep;
  bool links = false;
  for (const auto& [node, record] : mTargets.Nodes().All()) {
    if (record.mLeaving) {
      continue;
    }
    auto& nodes = first[record.mDataCentre];
    if (nodes.size() < kLinkingNodes) {
      nodes.push_back(&record);
      links = links || node == mSettings.mName;
    }
    if (record.mDataCentre == mSettings.mDataCentre &&
        node != mSettings.mName) {
      keep.emplace(node, record.mPeerAddress);
    }
  }
  if (links) {
    for (const auto& [dataCentre, nodes] : first) {
      for (const NodeRecord* const record : nodes) {
        if (record->mNode != mSettings.mName) {
          keep.emplace(record->mNode, record->mPeerAddress);
        }
      }
    }
  }
  mMesh.Keep(keep);
}

std::string
Sidecar::Impl::SpeakerOf(const std::string& aDataCentre) const
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
Sidecar::Impl::Speaks() const
{
  return SpeakerOf(mSettings.mDataCentre) == mSettings.mName;
}

void
Sidecar::Impl::SendNear(const PeerMessage& aMessage)
{
  mMesh.BroadcastTo([this](const std::string& aNode) { return IsNear(aNode); },
                    aMessage);
}

void
Sidecar::Impl::SendToOtherSpeakers(const PeerMessage& aMessage)
{
  SendToSpeakers(aMessage, false);
  SendToSpeakers(aMessage, true);
}

void
Sidecar::Impl::SendToSpeakers(const PeerMessage& aMessage, bool aOtherRegions)
{
  std::set<std::string> dataCentres;
  for (const auto& [node, record] : mTargets.Nodes().All()) {
    if (record.mDataCentre != mSettings.mDataCentre &&
        (record.mRegion != mSettings.mRegion) == aOtherRegions) {
      dataCentres.insert(record.mDataCentre);
    }
  }
  for (const std::string& dataCentre : dataCentres) {
    const std::string speaker = SpeakerOf(dataCentre);
    if (!speaker.empty()) {
      mMesh.Send(speaker, aMessage);
    }
  }
}

void
Sidecar::Impl::TellLoads(Millis aNow)
{
  const bool near = aNow - mNearLoads.mAt >= kNearLoadsPeriod;
  const bool far = aNow - mFarLoads.mAt >= kFarLoadsPeriod;
  if ((!near && !far) || !Speaks()) {
    return;
  }
  if (near) {
    if (const auto news = TakeNews(mNearLoads, aNow); !news.mLoads.empty()) {
      SendToSpeakers(news, false);
    }
  }
  if (far) {
    if (const auto news = TakeNews(mFarLoads, aNow); !news.mLoads.empty()) {
      SendToSpeakers(news, true);
    }
  }
}

LoadsMessage
Sidecar::Impl::TakeNews(LoadsTold& aTold, Millis aNow)
{
  aTold.mAt = aNow;
  LoadsMessage message;
  for (const auto& [node, load] : mTargets.OwnLoads()) {
    gateway::LoadNews& news =
      aTold.mNews
        .try_emplace(node,
                     gateway::LoadNewsOptions{ .mLongest = kLongestLoads })
        .first->second;
    if (news.IsNews(load, aNow)) {
      news.OnTold(load, aNow);
      message.mLoads.emplace(node, load);
    }
  }
  return message;
}

void
Sidecar::Impl::OnLoads(const std::string& aFrom, const LoadsMessage& aMessage)
{
  for (const auto& [node, load] : aMessage.mLoads) {
    if (!IsNear(node)) {
      mTargets.OnLoad(node, load);
    }
  }
  if (!IsNear(aFrom)) {
    SendNear(aMessage);
  }
}

void
Sidecar::Impl::Spread(const PeerMessage& aMessage, const std::string& aFrom)
{
  // A node of the own data centre has told all of its neighbours.
  if (aFrom == mSettings.mName || !IsNear(aFrom)) {
    SendNear(aMessage);
  }
  if ((aFrom == mSettings.mName || IsNear(aFrom)) && Speaks()) {
    SendToOtherSpeakers(aMessage);
  }
}

void
Sidecar::Impl::OnEvidence(const std::string& aFrom,
                          const EvidenceMessage& aMessage)
{
  mRollouts.OnEvidence(aMessage);
  if (aFrom == mSettings.mName || !IsNear(aFrom)) {
    SendNear(aMessage);
  }
  if (IsNear(aMessage.mNode) && Speaks()) {
    SendToOtherSpeakers(aMessage);
  }
}

void
Sidecar::Impl::TellOrder(const Row& aOld, const Row& aRow)
{
  const bool isState = aRow.mKey == mPort.Operator().mDesiredStateKey;
  if (isState && aOld.mVersion == 0) {
    // Those that have none ask for it as soon as they hear of a version.
    return;
  }
  // Neighbours that have another version than the old one ask for the whole.
  OrderMessage message{ .mKey = aRow.mKey, .mVersion = aRow.mVersion };
  if (aOld.mVersion != 0) {
    message.mBase = aOld.mVersion;
    message.mDelta = gateway::MakeDelta(aOld.mValue, aRow.mValue);
  } else {
    message.mPackedValue = gateway::Pack(aRow.mValue);
  }
  SendNear(message);
}

void
Sidecar::Impl::OnOrderOfPeer(const OrderMessage& aMessage)
{
  Row row{ .mTable = mPort.Operator().mOrders,
           .mKey = aMessage.mKey,
           .mVersion = aMessage.mVersion };
  Expected<std::string> value = std::string();
  if (aMessage.mBase != 0) {
    const auto known = mSync.Orders().find(aMessage.mKey);
    if (known == mSync.Orders().end() ||
        known->second.mVersion != aMessage.mBase) {
      return;
    }
    value = gateway::ApplyDelta(known->second.mValue, aMessage.mDelta);
  } else {
    value = gateway::Unpack(aMessage.mPackedValue);
  }
  if (!value) {
    mMetrics.mBadInput.Increment();
    mLog.Change("state",
                "bad_order",
                { { "key", aMessage.mKey },
                  { "base", aMessage.mBase },
                  { "reason", value.error().mMessage } });
    return;
  }
  row.mValue = std::move(*value);
  mOrderFromPeer = true;
  mSync.TakeOrder(row);
  mOrderFromPeer = false;
}

void
Sidecar::Impl::TellOrders(LinkId aLink)
{
  for (const auto& [key, row] : mSync.Orders()) {
    // Packed once for all neighbours, which may ask at the same time.
    OrderMessage& packed = mPackedOrders[key];
    if (packed.mVersion != row.mVersion) {
      packed = { .mKey = key,
                 .mPackedValue = gateway::Pack(row.mValue),
                 .mVersion = row.mVersion };
    }
    mMesh.Reply(aLink, packed);
  }
}

void
Sidecar::Impl::DecideFollowing(Millis aNow)
{
  if (!mSync.Loaded()) {
    return;
  }
  if (mLoadedAt.mCount == 0) {
    mLoadedAt = aNow;
  }
  const Millis age = aNow - mLoadedAt;
  if (mSettings.mFirstStart && age < kTableGrace) {
    // Other nodes are still writing their first records.
    return;
  }
  std::vector<gateway::FollowerCandidate> nodes;
  for (const auto& [node, record] : mTargets.Nodes().All()) {
    if (record.mDataCentre != mSettings.mDataCentre || record.mLeaving) {
      continue;
    }
    const bool own = node == mSettings.mName;
    if (!own && !mMesh.Reachable(node) && age >= kTableGrace) {
      continue;
    }
    const auto state = mFollowStates.find(node);
    nodes.push_back({ .mNode = node,
                      .mState = own ? mSync.Follow()
                                : state == mFollowStates.end()
                                  ? gateway::FollowState::Idle
                                  : state->second });
  }
  mSync.SetFollowing(mFollowerElection.Decide(mSettings.mName, nodes, aNow));
}

} // namespace papayaway::sidecar
