#include <sidecar/PeerMesh.h>

#include <algorithm>
#include <utility>

namespace papayaway::sidecar {

namespace {

/** Authorization value of a link. It is no secret, since only nodes can reach
 *  the peer ports; it keeps other programs from being mistaken for a node. */
constexpr const char* kAuthorization = "papayaway-sidecar";
/** After a longer gap between two ticks this process itself was stalled, so
 *  links that seem silent are not closed. */
constexpr Millis kMaxTickGap{ 800 };
/** Time limit for opening a link to a persistent peer. */
constexpr Millis kHandshakeTimeout{ 1500 };
/** For how long no link is opened on demand after an attempt has failed. */
constexpr Millis kFailureHoldOff{ 1500 };

} // namespace

PeerMesh::PeerMesh(EventLoop& aLoop,
                   PeerMeshOptions aOptions,
                   PeerMeshHandlers aHandlers,
                   EventLog& aLog,
                   Random& aRandom)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mHandlers(std::move(aHandlers))
  , mLog(aLog)
  , mRandom(aRandom)
  , mLastTick(SteadyNow())
{
}

PeerMesh::~PeerMesh() = default;

Expected<void>
PeerMesh::Listen()
{
  auto listener = PeerListener::Listen(
    mLoop,
    mOptions.mAddress,
    { .mAuthorize =
        [](const std::string& aValue) { return aValue == kAuthorization; },
      .mAccepted =
        [this](std::unique_ptr<PeerSocket> aSocket) {
          const LinkId id = mNextId++;
          Link& link = mLinks[id];
          link.mSocket = std::move(aSocket);
          link.mOpen = true;
          SetSocketHandlers(id, link);
          link.mSocket->Send(
            EncodeMessage(RecordMessage{ mHandlers.mOwnRecord() }));
        } });
  if (!listener) {
    return tl::unexpected(listener.error());
  }
  mListener = std::move(*listener);
  return {};
}

void
PeerMesh::SetSocketHandlers(LinkId aId, Link& aLink)
{
  aLink.mLastReceived = SteadyNow();
  aLink.mSocket->SetHandlers(
    { .mOpened =
        [this, aId] {
          Link& link = mLinks.at(aId);
          link.mOpen = true;
          link.mLastReceived = SteadyNow();
          ForgetOpening(aId, link.mNode);
          link.mSocket->Send(
            EncodeMessage(RecordMessage{ mHandlers.mOwnRecord() }));
          for (const QueuedMessage& message : std::exchange(link.mQueued, {})) {
            link.mSocket->Send(message.mBytes);
          }
        },
      .mMessage = [this,
                   aId](const std::string& aBytes) { OnReceived(aId, aBytes); },
      .mClosed = [this,
                  aId](const std::string&) { CloseLink(aId, "closed"); } });
}

void
PeerMesh::OnReceived(LinkId aId, const std::string& aBytes)
{
  const auto found = mLinks.find(aId);
  if (found == mLinks.end()) {
    return;
  }
  Link& link = found->second;
  link.mLastReceived = SteadyNow();
  Expected<PeerMessage> message = DecodeMessage(aBytes);
  if (!message) {
    mLog.WriteStateChange(
      "peers",
      "bad_message",
      { { "peer", link.mNode }, { "reason", message.error().mMessage } });
    CloseLink(aId, "bad message");
    return;
  }
  const auto* const record = std::get_if<RecordMessage>(&*message);
  if (!link.mIdentified) {
    if (record == nullptr) {
      return;
    }
    if (record->mRecord.mNode == mOptions.mNode) {
      // The address was that of a removed node and now belongs to this node.
      CloseLink(aId, "own address");
      return;
    }
    // The first record on a link identifies the node at the other end.
    link.mNode = record->mRecord.mNode;
    link.mIdentified = true;
    mByNode[link.mNode].push_back(aId);
    mLog.WriteStateChange("peers", "linked", { { "peer", link.mNode } });
    const auto peer = mPersistentPeers.find(link.mNode);
    if (peer != mPersistentPeers.end()) {
      peer->second.mRetryDelay = mOptions.mMinRetryDelay;
    }
  }
  // Both sides send calls on the same link, so received calls and replies also
  // count as use of it.
  if (std::holds_alternative<CallMessage>(*message) ||
      std::holds_alternative<ReplyMessage>(*message)) {
    link.mLastUsed = link.mLastReceived;
  }
  const std::string node = link.mNode;
  mHandlers.mMessage(aId, node, std::move(*message));
}

void
PeerMesh::CloseLink(LinkId aId, const char* aReason)
{
  const auto found = mLinks.find(aId);
  if (found == mLinks.end()) {
    return;
  }
  Link link = std::move(found->second);
  mLinks.erase(found);
  ForgetOpening(aId, link.mNode);
  if (link.mIdentified) {
    const auto links = mByNode.find(link.mNode);
    std::erase(links->second, aId);
    if (links->second.empty()) {
      mByNode.erase(links);
    }
  }
  if (!link.mOpen && link.mOnDemand) {
    mLastFailures[link.mNode] = SteadyNow();
  }
  if (link.mIdentified) {
    mLog.WriteStateChange(
      "peers", "link_lost", { { "peer", link.mNode }, { "reason", aReason } });
  }
  if (link.mIdentified || link.mOnDemand) {
    mHandlers.mLinkLost(aId, link.mOpen);
  }
}

void
PeerMesh::SetPersistentPeers(const std::map<std::string, std::string>& aNodes)
{
  const Millis now = SteadyNow();
  std::erase_if(mPersistentPeers, [&](const auto& aEntry) {
    const auto found = aNodes.find(aEntry.first);
    if (found != aNodes.end() && found->second == aEntry.second.mAddress) {
      return false;
    }
    // The link is closed if no calls use it.
    const auto links = mByNode.find(aEntry.first);
    if (links != mByNode.end()) {
      for (const LinkId id : links->second) {
        Link& link = mLinks.at(id);
        link.mOnDemand = true;
        link.mLastUsed = now;
      }
    }
    return true;
  });
  for (const auto& [node, address] : aNodes) {
    const bool opensFirst = mOptions.mNode < node;
    mPersistentPeers.try_emplace(
      node,
      PersistentPeer{ .mAddress = address,
                      .mNextAttempt =
                        opensFirst ? Millis{} : now + mOptions.mOpenDelay,
                      .mRetryDelay = mOptions.mMinRetryDelay });
  }
}

LinkId
PeerMesh::OpeningLink(const std::string& aNode) const
{
  const auto found = mOpening.find(aNode);
  return found == mOpening.end() ? 0 : found->second;
}

void
PeerMesh::ForgetOpening(LinkId aId, const std::string& aNode)
{
  const auto found = mOpening.find(aNode);
  if (found != mOpening.end() && found->second == aId) {
    mOpening.erase(found);
  }
}

LinkId
PeerMesh::BestLink(const std::string& aNode) const
{
  const auto links = mByNode.find(aNode);
  if (links == mByNode.end()) {
    return 0;
  }
  LinkId bestLink = 0;
  Millis lastReceived;
  for (const LinkId id : links->second) {
    const Link& link = mLinks.at(id);
    if (bestLink == 0 ||
        link.mLastReceived > lastReceived + mOptions.mSuspectAfter) {
      bestLink = id;
      lastReceived = link.mLastReceived;
    }
  }
  return bestLink;
}

LinkId
PeerMesh::Send(const std::string& aNode, const PeerMessage& aMessage)
{
  const LinkId id = BestLink(aNode);
  if (id != 0) {
    Link& link = mLinks.at(id);
    link.mLastUsed = SteadyNow();
    link.mSocket->Send(EncodeMessage(aMessage));
  }
  return id;
}

LinkId
PeerMesh::SendOnDemand(const std::string& aNode,
                       const std::string& aAddress,
                       const PeerMessage& aMessage)
{
  const LinkId open = Send(aNode, aMessage);
  if (open != 0) {
    return open;
  }
  if (HasFailedRecently(aNode)) {
    return 0;
  }
  LinkId id = OpeningLink(aNode);
  if (id == 0) {
    id = OpenLink(aNode, aAddress, mOptions.mOpenTimeout);
  }
  Link& link = mLinks.at(id);
  link.mOnDemand = true;
  link.mLastUsed = SteadyNow();
  Queue(link, aMessage);
  return id;
}

bool
PeerMesh::HasFailedRecently(const std::string& aNode) const
{
  const auto found = mLastFailures.find(aNode);
  return found != mLastFailures.end() &&
         SteadyNow() - found->second < kFailureHoldOff;
}

void
PeerMesh::Reply(LinkId aLink, const PeerMessage& aMessage)
{
  const auto found = mLinks.find(aLink);
  if (found == mLinks.end()) {
    return;
  }
  Link& link = found->second;
  if (link.mOpen) {
    link.mSocket->Send(EncodeMessage(aMessage));
  } else {
    Queue(link, aMessage);
  }
}

void
PeerMesh::Queue(Link& aLink, const PeerMessage& aMessage)
{
  if (const auto* const cancel = std::get_if<CancelMessage>(&aMessage)) {
    std::erase_if(aLink.mQueued, [&](const QueuedMessage& aQueued) {
      return aQueued.mCallId == cancel->mId;
    });
    return;
  }
  const auto* const call = std::get_if<CallMessage>(&aMessage);
  aLink.mQueued.push_back(
    { .mCallId = call == nullptr ? std::nullopt : std::optional(call->mId),
      .mBytes = EncodeMessage(aMessage) });
}

bool
PeerMesh::IsOpening(LinkId aLink) const
{
  const auto found = mLinks.find(aLink);
  return found != mLinks.end() && !found->second.mOpen;
}

void
PeerMesh::Broadcast(const PeerMessage& aMessage)
{
  BroadcastTo([](const std::string&) { return true; }, aMessage);
}

void
PeerMesh::BroadcastTo(const std::function<bool(const std::string&)>& aFilter,
                      const PeerMessage& aMessage)
{
  const std::string bytes = EncodeMessage(aMessage);
  for (const auto& entry : mByNode) {
    if (aFilter(entry.first)) {
      mLinks.at(BestLink(entry.first)).mSocket->Send(bytes);
    }
  }
}

bool
PeerMesh::Reachable(const std::string& aNode, Millis aNow) const
{
  const LinkId id = BestLink(aNode);
  return id != 0 && aNow - mLinks.at(id).mLastReceived < mOptions.mSuspectAfter;
}

LinkId
PeerMesh::OpenLink(const std::string& aNode,
                   const std::string& aAddress,
                   Millis aTimeout)
{
  const LinkId id = mNextId++;
  Link& link = mLinks[id];
  link.mNode = aNode;
  mOpening.insert_or_assign(aNode, id);
  link.mSocket = PeerSocket::Connect(
    mLoop, aAddress, kAuthorization, {}, { .mHandshakeTimeout = aTimeout });
  SetSocketHandlers(id, link);
  return id;
}

void
PeerMesh::CloseWhenWritten()
{
  if (mClosingSince) {
    return;
  }
  mClosingSince = SteadyNow();
  mListener.reset();
  for (auto& entry : mLinks) {
    entry.second.mSocket->CloseWhenWritten();
  }
}

bool
PeerMesh::IsClosed(Millis aNow) const
{
  const bool written =
    std::all_of(mLinks.begin(), mLinks.end(), [](const auto& aEntry) {
      return aEntry.second.mSocket->UnsentBytes() == 0;
    });
  return mLinks.empty() ||
         (written && mClosingSince && aNow - *mClosingSince >= kCloseTimeout);
}

void
PeerMesh::Tick(Millis aNow)
{
  const bool stalled = aNow - mLastTick > kMaxTickGap;
  mLastTick = aNow;
  std::vector<LinkId> silent;
  std::vector<LinkId> idle;
  for (auto& [id, link] : mLinks) {
    if (stalled) {
      link.mLastReceived = aNow;
    } else if (aNow - link.mLastReceived > mOptions.mCloseAfter) {
      silent.push_back(id);
    } else if (link.mOnDemand &&
               aNow - link.mLastUsed > mOptions.mIdleTimeout &&
               !mPersistentPeers.contains(link.mNode)) {
      idle.push_back(id);
    }
  }
  for (const LinkId id : silent) {
    CloseLink(id, "silent");
  }
  for (const LinkId id : idle) {
    CloseLink(id, "idle");
  }
  if (mClosingSince) {
    return;
  }
  for (auto& [node, peer] : mPersistentPeers) {
    if (BestLink(node) == 0 && peer.mNextAttempt <= aNow &&
        OpeningLink(node) == 0) {
      OpenLink(node, peer.mAddress, kHandshakeTimeout);
      // Jitter keeps nodes that lost the same peer from reconnecting at once.
      peer.mNextAttempt =
        aNow + peer.mRetryDelay * (0.5 + UniformFraction(mRandom));
      peer.mRetryDelay =
        std::min(peer.mRetryDelay * 2, mOptions.mMaxRetryDelay);
    }
  }
}

} // namespace papayaway::sidecar
