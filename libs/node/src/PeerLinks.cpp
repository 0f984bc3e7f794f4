#include "PeerLinks.h"

#include <algorithm>
#include <set>

#include <glog/logging.h>

#include "PeerAuthorization.h"
#include "PeerLink.h"

namespace papayaway {

namespace {

constexpr Millis kMaintenancePeriod{ 100 };
/** Bounds the messages queued for one link that is not established yet. */
constexpr std::size_t kMaxQueuedMessages = 1024;

template<typename T, typename... Alternatives>
constexpr bool
IsOneOf()
{
  return (std::is_same_v<T, Alternatives> || ...);
}

bool
BelongsToCall(const Message& aMessage)
{
  return std::visit(
    [](const auto& aAlternative) {
      using T = std::decay_t<decltype(aAlternative)>;
      return IsOneOf<T, Call, Reply, Cancel, Intent, IntentAck, KeyOutcome>();
    },
    aMessage);
}

} // namespace

PeerLinks::PeerLinks(NodeContext& aContext, PeerLinkHandlers aHandlers)
  : mContext(aContext)
  , mHandlers(std::move(aHandlers))
  , mMaintenanceTimer(aContext.mLoop, [this] { MaintainMeshLinks(); })
{
}

PeerLinks::~PeerLinks() = default;

Expected<std::string>
PeerLinks::Listen()
{
  auto listener = PeerListener::Listen(
    mContext.mLoop,
    mContext.mSettings.mPeerAddress,
    { .mAuthorize =
        [this](const std::string& aHeader) {
          const bool valid = IsValidPeerAuthorization(
            aHeader, mContext.mSettings.mPeerKey, WallNow());
          if (!valid) {
            mContext.mMetrics.mRefusedPeers.Increment();
            LOG(WARNING) << "peer: refused a handshake with invalid "
                            "credentials";
          }
          return valid;
        },
      .mAccepted =
        [this](std::unique_ptr<PeerSocket> aSocket) {
          Accept(std::move(aSocket));
        } });
  if (!listener) {
    return tl::unexpected(listener.error());
  }
  mListener = std::move(*listener);
  mAddress = mListener->Address();
  mMaintenanceTimer.StartRepeating(kMaintenancePeriod);
  return mAddress;
}

PeerLinks::Link&
PeerLinks::Open(const std::string& aNode,
                const std::string& aAddress,
                bool aCallsOnly)
{
  auto link = std::make_unique<Link>();
  const LinkId id = mNextId++;
  const Millis now = SteadyNow();
  link->mInfo = {
    .mId = id, .mNode = aNode, .mOutgoing = true, .mCallsOnly = aCallsOnly
  };
  link->mAddress = aAddress;
  link->mLastReceived = now;
  link->mUnwantedSince = now;
  link->mSocket = PeerSocket::Connect(
    mContext.mLoop,
    aAddress,
    PeerAuthorization(
      mContext.mSettings.mName, mContext.mSettings.mPeerKey, WallNow()),
    { .mOpened =
        [this, id, aCallsOnly] {
          const auto found = mLinks.find(id);
          if (found != mLinks.end()) {
            found->second->mSocket->Send(Encode(OwnHello(aCallsOnly)));
          }
        },
      .mMessage = [this,
                   id](const std::string& aBytes) { OnBytes(id, aBytes); },
      .mClosed = [this,
                  id](const std::string& aReason) { OnClosed(id, aReason); } });
  return *mLinks.emplace(id, std::move(link)).first->second;
}

void
PeerLinks::Accept(std::unique_ptr<PeerSocket> aSocket)
{
  auto link = std::make_unique<Link>();
  const LinkId id = mNextId++;
  link->mInfo.mId = id;
  link->mLastReceived = SteadyNow();
  link->mSocket = std::move(aSocket);
  link->mSocket->SetHandlers(
    { .mMessage = [this,
                   id](const std::string& aBytes) { OnBytes(id, aBytes); },
      .mClosed = [this,
                  id](const std::string& aReason) { OnClosed(id, aReason); } });
  mLinks.emplace(id, std::move(link));
}

Hello
PeerLinks::OwnHello(bool aCallsOnly) const
{
  return { .mNode = mContext.mSettings.mName,
           .mDataCentre = mContext.mSettings.mDataCentre,
           .mRegion = mContext.mSettings.mRegion,
           .mPeerAddress = mAddress,
           .mIncarnation = mContext.mIncarnation,
           .mCallsOnly = aCallsOnly };
}

void
PeerLinks::OnBytes(LinkId aId, const std::string& aBytes)
{
  const auto found = mLinks.find(aId);
  if (found == mLinks.end()) {
    return;
  }
  Link& link = *found->second;
  link.mLastReceived = SteadyNow();
  link.mUnansweredSince = Never();
  Expected<Message> message = Decode(aBytes);
  if (!message) {
    mContext.mMetrics.mMalformedMessages.Increment();
    LOG(WARNING) << "peer: received a malformed message from "
                 << link.mInfo.mNode << ": " << message.error().mMessage;
    link.mSocket->Send(Encode(ErrorMessage{ message.error().mMessage }));
    Close(aId, "received a malformed message");
    return;
  }
  if (!BelongsToCall(*message)) {
    mContext.mMetrics.mControlBytesReceived.Increment(
      static_cast<double>(aBytes.size()));
  }
  if (const auto* const hello = std::get_if<Hello>(&*message)) {
    OnHello(link, *hello);
  } else if (const auto* const error = std::get_if<ErrorMessage>(&*message)) {
    LOG(WARNING) << "peer: " << link.mInfo.mNode
                 << " reports an error: " << error->mText;
  } else if (link.mReady && link.mInfo.mCallsOnly &&
             std::holds_alternative<Heartbeat>(*message)) {
    if (std::get<Heartbeat>(*message).mCount == kPing) {
      link.mSocket->Send(Encode(Heartbeat{ kPong }));
    }
  } else if (link.mReady) {
    const LinkInfo info = link.mInfo;
    mHandlers.mMessage(info, std::move(*message));
  } else {
    Close(aId, "the first message was not a Hello");
  }
}

void
PeerLinks::OnHello(Link& aLink, const Hello& aHello)
{
  if (aLink.mReady) {
    // A second Hello with mCallsOnly removes the link from the mesh.
    if (aHello.mCallsOnly) {
      LeaveMesh(aLink);
    }
    return;
  }
  if (aHello.mNode == mContext.mSettings.mName) {
    Close(aLink.mInfo.mId, "the peer is this node");
    return;
  }
  // The address may have been reassigned to another node, so the link belongs
  // to the node that its Hello names.
  aLink.mInfo.mNode = aHello.mNode;
  aLink.mInfo.mDataCentre = aHello.mDataCentre;
  aLink.mInfo.mRegion = aHello.mRegion;
  if (!aLink.mInfo.mOutgoing) {
    aLink.mInfo.mCallsOnly = aHello.mCallsOnly;
    aLink.mAddress = aHello.mPeerAddress;
    aLink.mSocket->Send(Encode(OwnHello(aHello.mCallsOnly)));
  }
  aLink.mReady = true;
  aLink.mInfo.mEstablished = true;
  mContext.mMetrics.mLinks.Set(static_cast<double>(mLinks.size()));
  if (const auto wanted = mMeshPeers.find(aHello.mNode);
      wanted != mMeshPeers.end()) {
    wanted->second.mBackoff.Reset();
  }
  for (const QueuedMessage& message : aLink.mQueuedMessages) {
    aLink.mSocket->Send(message.mBytes);
  }
  aLink.mQueuedMessages.clear();
  const LinkInfo info = aLink.mInfo;
  mHandlers.mOpened(info);
}

void
PeerLinks::OnClosed(LinkId aId, const std::string& aReason)
{
  Close(aId, aReason);
}

void
PeerLinks::Close(LinkId aLink, const std::string& aReason)
{
  const auto found = mLinks.find(aLink);
  if (found == mLinks.end()) {
    return;
  }
  const std::unique_ptr<Link> link = std::move(found->second);
  mLinks.erase(found);
  mContext.mMetrics.mLinks.Set(static_cast<double>(mLinks.size()));
  VLOG(1) << "peer: link to " << link->mInfo.mNode << " closed: " << aReason;
  if (link->mReady || !link->mQueuedMessages.empty()) {
    mHandlers.mLost(link->mInfo);
  }
}

void
PeerLinks::CloseNode(const std::string& aNode, const std::string& aReason)
{
  std::vector<LinkId> links;
  for (const auto& [id, link] : mLinks) {
    if (link->mInfo.mNode == aNode) {
      links.push_back(id);
    }
  }
  for (const LinkId id : links) {
    Close(id, aReason);
  }
}

void
PeerLinks::CountBytes(const Link& aLink,
                      const Message& aMessage,
                      std::size_t aSize)
{
  NodeMetrics& metrics = mContext.mMetrics;
  const auto size = static_cast<double>(aSize);
  if (BelongsToCall(aMessage)) {
    metrics.mCallBytesSent.Increment(size);
    return;
  }
  metrics.mControlBytesSent.Increment(size);
  if (aLink.mInfo.mRegion != mContext.mSettings.mRegion) {
    metrics.mRemoteRegionBytesSent.Increment(size);
  }
}

void
PeerLinks::SendOn(Link& aLink,
                  const Message& aMessage,
                  const std::string& aBytes)
{
  CountBytes(aLink, aMessage, aBytes.size());
  if (std::holds_alternative<Call>(aMessage)) {
    aLink.mUnansweredSince = std::min(aLink.mUnansweredSince, SteadyNow());
  }
  aLink.mSocket->Send(aBytes);
}

bool
PeerLinks::Send(LinkId aLink, const Message& aMessage)
{
  const auto found = mLinks.find(aLink);
  if (found == mLinks.end()) {
    return false;
  }
  if (!found->second->mReady) {
    const auto* const cancel = std::get_if<Cancel>(&aMessage);
    return cancel != nullptr && RemoveQueuedCall(*found->second, cancel->mId);
  }
  SendOn(*found->second, aMessage, Encode(aMessage));
  return true;
}

void
PeerLinks::Queue(Link& aLink, const Message& aMessage)
{
  const auto* const call = std::get_if<Call>(&aMessage);
  aLink.mQueuedMessages.push_back(
    { .mCallId = call == nullptr ? std::nullopt : std::optional(call->mId),
      .mBytes = Encode(aMessage) });
}

bool
PeerLinks::RemoveQueuedCall(Link& aLink, std::uint64_t aCallId)
{
  return std::erase_if(aLink.mQueuedMessages,
                       [&](const QueuedMessage& aMessage) {
                         return aMessage.mCallId == aCallId;
                       }) > 0;
}

LinkId
PeerLinks::SendToNode(const std::string& aNode,
                      const std::string& aAddress,
                      const Message& aMessage)
{
  if (Link* const link = FindEstablished(aNode)) {
    SendOn(*link, aMessage, Encode(aMessage));
    return link->mInfo.mId;
  }
  for (const auto& [id, link] : mLinks) {
    if (link->mInfo.mNode == aNode && !link->mReady &&
        link->mQueuedMessages.size() < kMaxQueuedMessages) {
      Queue(*link, aMessage);
      return id;
    }
  }
  if (aAddress.empty()) {
    return 0;
  }
  Link& link = Open(aNode, aAddress, true);
  Queue(link, aMessage);
  return link.mInfo.mId;
}

void
PeerLinks::SendToMesh(const std::string& aNode, const Message& aMessage)
{
  for (const auto& [id, link] : mLinks) {
    if (link->mReady && !link->mInfo.mCallsOnly && link->mInfo.mNode == aNode) {
      SendOn(*link, aMessage, Encode(aMessage));
      return;
    }
  }
}

void
PeerLinks::Broadcast(const Message& aMessage, const std::string& aExceptNode)
{
  const std::string bytes = Encode(aMessage);
  std::set<std::string> sent{ aExceptNode };
  for (const auto& [id, link] : mLinks) {
    if (link->mReady && !link->mInfo.mCallsOnly &&
        sent.insert(link->mInfo.mNode).second) {
      SendOn(*link, aMessage, bytes);
    }
  }
}

PeerLinks::Link*
PeerLinks::FindEstablished(const std::string& aNode) const
{
  for (const auto& [id, link] : mLinks) {
    if (link->mReady && link->mInfo.mNode == aNode) {
      return link.get();
    }
  }
  return nullptr;
}

bool
PeerLinks::HasMeshLink(const std::string& aNode) const
{
  return std::any_of(mLinks.begin(), mLinks.end(), [&](const auto& aEntry) {
    const LinkInfo& info = aEntry.second->mInfo;
    return info.mNode == aNode && !info.mCallsOnly;
  });
}

std::vector<LinkInfo>
PeerLinks::MeshLinks() const
{
  std::map<std::string, LinkInfo> links;
  for (const auto& [id, link] : mLinks) {
    if (link->mReady && !link->mInfo.mCallsOnly) {
      links.emplace(link->mInfo.mNode, link->mInfo);
    }
  }
  std::vector<LinkInfo> result;
  result.reserve(links.size());
  for (auto& [node, info] : links) {
    result.push_back(std::move(info));
  }
  return result;
}

Millis
PeerLinks::LastReceived(LinkId aLink) const
{
  const auto found = mLinks.find(aLink);
  return found == mLinks.end() ? Millis{} : found->second->mLastReceived;
}

bool
PeerLinks::IsLinked(const std::string& aNode) const
{
  return FindEstablished(aNode) != nullptr;
}

} // namespace papayaway
