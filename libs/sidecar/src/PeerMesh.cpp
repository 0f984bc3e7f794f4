#include <sidecar/PeerMesh.h>

#include <algorithm>
#include <utility>

namespace papayaway::sidecar {

namespace {

/** Only nodes reach the ports between nodes; the word keeps other programs
 *  from being taken for one by mistake. */
constexpr const char* kAuthorization = "papayaway-sidecar";
/** A pause of this process that is longer makes the silence of links
 *  meaningless. */
constexpr Millis kOwnPause{ 800 };
constexpr Millis kHandshakeTimeout{ 1500 };
/** A node that could not be reached on demand is left out this long. */
constexpr Millis kFailurePause{ 1500 };

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
          Attach(id, link);
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
PeerMesh::Attach(LinkId aId, Link& aLink)
{
  aLink.mHeard = SteadyNow();
  aLink.mSocket->SetHandlers(
    { .mOpened =
        [this, aId] {
          Link& link = mLinks.at(aId);
          link.mOpen = true;
          link.mHeard = SteadyNow();
          link.mSocket->Send(
            EncodeMessage(RecordMessage{ mHandlers.mOwnRecord() }));
          for (const std::string& message : std::exchange(link.mQueued, {})) {
            link.mSocket->Send(message);
          }
        },
      .mMessage = [this,
                   aId](const std::string& aBytes) { OnBytes(aId, aBytes); },
      .mClosed = [this, aId](const std::string&) { Drop(aId, "closed"); } });
}

void
PeerMesh::OnBytes(LinkId aId, const std::string& aBytes)
{
  const auto found = mLinks.find(aId);
  if (found == mLinks.end()) {
    return;
  }
  Link& link = found->second;
  link.mHeard = SteadyNow();
  Expected<PeerMessage> message = DecodeMessage(aBytes);
  if (!message) {
    mLog.Change(
      "peers",
      "bad_message",
      { { "peer", link.mNode }, { "reason", message.error().mMessage } });
    Drop(aId, "bad message");
    return;
  }
  const auto* const record = std::get_if<RecordMessage>(&*message);
  if (link.mNode.empty() || mByNode.find(link.mNode) == mByNode.end() ||
      std::find(mByNode[link.mNode].begin(), mByNode[link.mNode].end(), aId) ==
        mByNode[link.mNode].end()) {
    if (record == nullptr) {
      return;
    }
    if (record->mRecord.mNode == mOptions.mNode) {
      // The address belonged to a node that has gone, and is this node's now.
      Drop(aId, "own address");
      return;
    }
    // The first message says who is at the other end.
    link.mNode = record->mRecord.mNode;
    mByNode[link.mNode].push_back(aId);
    mLog.Change("peers", "linked", { { "peer", link.mNode } });
    const auto wanted = mWanted.find(link.mNode);
    if (wanted != mWanted.end()) {
      wanted->second.mPause = mOptions.mRetryLeast;
    }
  }
  // Both sides send calls on one link, so calls of the other side keep it, too.
  if (std::holds_alternative<CallMessage>(*message) ||
      std::holds_alternative<ReplyMessage>(*message)) {
    link.mUsed = link.mHeard;
  }
  const std::string node = link.mNode;
  mHandlers.mMessage(aId, node, std::move(*message));
}

void
PeerMesh::Drop(LinkId aId, const char* aReason)
{
  const auto found = mLinks.find(aId);
  if (found == mLinks.end()) {
    return;
  }
  Link link = std::move(found->second);
  mLinks.erase(found);
  bool wasKnown = false;
  const auto links = mByNode.find(link.mNode);
  if (links != mByNode.end()) {
    wasKnown = std::erase(links->second, aId) > 0;
    if (links->second.empty()) {
      mByNode.erase(links);
    }
  }
  if (!link.mOpen && link.mOnDemand) {
    mFailed[link.mNode] = SteadyNow();
  }
  if (wasKnown) {
    mLog.Change(
      "peers", "link_lost", { { "peer", link.mNode }, { "reason", aReason } });
  }
  if (wasKnown || link.mOnDemand) {
    mHandlers.mLost(aId, link.mOpen);
  }
}

void
PeerMesh::Keep(const std::map<std::string, std::string>& aNodes)
{
  std::erase_if(mWanted, [&](const auto& aEntry) {
    const auto found = aNodes.find(aEntry.first);
    return found == aNodes.end() || found->second != aEntry.second.mAddress;
  });
  const Millis now = SteadyNow();
  for (const auto& [node, address] : aNodes) {
    const bool opensFirst = mOptions.mNode < node;
    mWanted.try_emplace(
      node,
      Wanted{ .mAddress = address,
              .mNextTry = opensFirst ? Millis{} : now + mOptions.mOpenLater,
              .mPause = mOptions.mRetryLeast });
  }
}

LinkId
PeerMesh::Opening(const std::string& aNode) const
{
  const auto found =
    std::find_if(mLinks.begin(), mLinks.end(), [&](const auto& aEntry) {
      return !aEntry.second.mOpen && aEntry.second.mNode == aNode;
    });
  return found == mLinks.end() ? 0 : found->first;
}

LinkId
PeerMesh::Best(const std::string& aNode) const
{
  const auto links = mByNode.find(aNode);
  if (links == mByNode.end()) {
    return 0;
  }
  LinkId best = 0;
  Millis heard;
  for (const LinkId id : links->second) {
    const Link& link = mLinks.at(id);
    if (best == 0 || link.mHeard > heard + mOptions.mSuspectAfter) {
      best = id;
      heard = link.mHeard;
    }
  }
  return best;
}

LinkId
PeerMesh::Send(const std::string& aNode, const PeerMessage& aMessage)
{
  const LinkId id = Best(aNode);
  if (id != 0) {
    Link& link = mLinks.at(id);
    link.mUsed = SteadyNow();
    link.mSocket->Send(EncodeMessage(aMessage));
  }
  return id;
}

LinkId
PeerMesh::SendOpening(const std::string& aNode,
                      const std::string& aAddress,
                      const PeerMessage& aMessage)
{
  const LinkId open = Send(aNode, aMessage);
  if (open != 0) {
    return open;
  }
  if (Failing(aNode)) {
    return 0;
  }
  LinkId id = Opening(aNode);
  if (id == 0) {
    id = Open(aNode, aAddress, mOptions.mOpenTimeout);
  }
  Link& link = mLinks.at(id);
  link.mOnDemand = true;
  link.mUsed = SteadyNow();
  link.mQueued.push_back(EncodeMessage(aMessage));
  return id;
}

bool
PeerMesh::Failing(const std::string& aNode) const
{
  const auto found = mFailed.find(aNode);
  return found != mFailed.end() && SteadyNow() - found->second < kFailurePause;
}

void
PeerMesh::Reply(LinkId aLink, const PeerMessage& aMessage)
{
  const auto found = mLinks.find(aLink);
  if (found != mLinks.end()) {
    found->second.mSocket->Send(EncodeMessage(aMessage));
  }
}

void
PeerMesh::Broadcast(const PeerMessage& aMessage)
{
  BroadcastTo([](const std::string&) { return true; }, aMessage);
}

void
PeerMesh::BroadcastTo(const std::function<bool(const std::string&)>& aWanted,
                      const PeerMessage& aMessage)
{
  const std::string bytes = EncodeMessage(aMessage);
  for (const auto& entry : mByNode) {
    if (aWanted(entry.first)) {
      mLinks.at(Best(entry.first)).mSocket->Send(bytes);
    }
  }
}

bool
PeerMesh::Reachable(const std::string& aNode) const
{
  const LinkId id = Best(aNode);
  return id != 0 && SteadyNow() - mLinks.at(id).mHeard < mOptions.mSuspectAfter;
}

LinkId
PeerMesh::Open(const std::string& aNode,
               const std::string& aAddress,
               Millis aTimeout)
{
  const LinkId id = mNextId++;
  Link& link = mLinks[id];
  link.mNode = aNode;
  link.mSocket = PeerSocket::Connect(
    mLoop, aAddress, kAuthorization, {}, { .mHandshakeTimeout = aTimeout });
  Attach(id, link);
  return id;
}

void
PeerMesh::Tick(Millis aNow)
{
  const bool paused = aNow - mLastTick > kOwnPause;
  mLastTick = aNow;
  std::vector<LinkId> silent;
  std::vector<LinkId> idle;
  for (auto& [id, link] : mLinks) {
    if (paused) {
      link.mHeard = aNow;
    } else if (aNow - link.mHeard > mOptions.mCloseAfter) {
      silent.push_back(id);
    } else if (link.mOnDemand && aNow - link.mUsed > mOptions.mIdleLimit &&
               !mWanted.contains(link.mNode)) {
      idle.push_back(id);
    }
  }
  for (const LinkId id : silent) {
    Drop(id, "silent");
  }
  for (const LinkId id : idle) {
    Drop(id, "idle");
  }
  for (auto& [node, wanted] : mWanted) {
    if (Best(node) == 0 && wanted.mNextTry <= aNow && Opening(node) == 0) {
      Open(node, wanted.mAddress, kHandshakeTimeout);
      // Jitter: the nodes that lost one peer must not come back together.
      wanted.mNextTry = aNow + wanted.mPause * (0.5 + UniformFraction(mRandom));
      wanted.mPause = std::min(wanted.mPause * 2, mOptions.mRetryMost);
    }
  }
}

} // namespace papayaway::sidecar
