#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <base/Error.h>
#include <base/Millis.h>
#include <mesh/Backoff.h>
#include <net/PeerSocket.h>
#include <wire/Messages.h>

#include "NodeContext.h"

namespace papayaway {

/** Identifies a connection; never reused within a process. */
using LinkId = std::uint64_t;

/** A connection to a peer. The data centre and the region are known once the
 *  peer's Hello has arrived. */
struct LinkInfo
{
  LinkId mId = 0;
  std::string mNode;
  std::string mDataCentre;
  std::string mRegion;
  bool mOutgoing = false;
  /** Whether the link carries calls only and is not part of the mesh. */
  bool mCallsOnly = false;
  /** Whether the peer's Hello has arrived. No other message is sent before. */
  bool mEstablished = false;
};

struct PeerLinkHandlers
{
  std::function<void(const LinkInfo&)> mOpened;
  /** Called when a link was closed. Calls sent on it will get no response. */
  std::function<void(const LinkInfo&)> mLost;
  /** Called when a link was removed from the mesh and stays open for calls
   *  only. The argument is the link's info before the change. */
  std::function<void(const LinkInfo&)> mLeftMesh;
  std::function<void(const LinkInfo&, Message)> mMessage;
};

/** All connections between this node and its peers. */
class PeerLinks
{
public:
  PeerLinks(NodeContext& aContext, PeerLinkHandlers aHandlers);
  ~PeerLinks();

  /** Binds the peer listener.
   *  @return the bound address, or an error. */
  Expected<std::string> Listen();

  /** Sets the nodes to which this node opens mesh links and keeps them open.
   *  Outgoing mesh links to other nodes become call-only links after a delay,
   *  in which their replacements open. They aren't closed, because calls of
   *  both sides may be in flight on them.
   *  @param aMeshPeers the peer addresses, by node. */
  void SetMeshPeers(std::map<std::string, std::string> aMeshPeers);

  /** Opens a mesh link to an address whose node is not known yet, unless there
   *  is a link to that address. */
  void ConnectToAddress(const std::string& aAddress);

  /** Sends on one link. On a link that is not established yet, a cancellation
   *  removes its queued call.
   *  @return false if the link is closed or not established yet and no call
   *    was removed. */
  bool Send(LinkId aLink, const Message& aMessage);

  /** Sends to aNode on any established link, or opens a call-only link and
   *  queues the message until it is established.
   *  @return the link, or 0 if there is none and aAddress is empty. */
  LinkId SendToNode(const std::string& aNode,
                    const std::string& aAddress,
                    const Message& aMessage);

  /** Sends to all nodes with a mesh link, once each, except aExceptNode. */
  void Broadcast(const Message& aMessage, const std::string& aExceptNode);

  /** Sends to aNode if a mesh link to it is established. */
  void SendToMesh(const std::string& aNode, const Message& aMessage);

  /** @return whether a mesh link to aNode is open or being opened. */
  [[nodiscard]] bool HasMeshLink(const std::string& aNode) const;

  /** Closes a connection.
   *  @param aReason is logged. */
  void Close(LinkId aLink, const std::string& aReason);

  /** Closes all connections to a node. */
  void CloseNode(const std::string& aNode, const std::string& aReason);

  /** @return the established mesh links, one per node. */
  [[nodiscard]] std::vector<LinkInfo> MeshLinks() const;

  /** @return the time of the last message received on the link, or 0 if the
   *    link is closed. */
  [[nodiscard]] Millis LastReceived(LinkId aLink) const;

  /** @return whether a link to aNode is established. */
  [[nodiscard]] bool IsLinked(const std::string& aNode) const;

  [[nodiscard]] std::size_t Count() const { return mLinks.size(); }

  [[nodiscard]] const std::string& Address() const { return mAddress; }

private:
  struct Link;
  struct QueuedMessage;

  Link& Open(const std::string& aNode,
             const std::string& aAddress,
             bool aCallsOnly);
  void Accept(std::unique_ptr<PeerSocket> aSocket);
  void Attach(Link& aLink);
  void OnBytes(LinkId aId, const std::string& aBytes);
  void OnHello(Link& aLink, const Hello& aHello);
  void OnClosed(LinkId aId, const std::string& aReason);
  void SendOn(Link& aLink, const Message& aMessage, const std::string& aBytes);
  static void Queue(Link& aLink, const Message& aMessage);
  /** @return whether the call was queued on the link. */
  static bool RemoveQueuedCall(Link& aLink, std::uint64_t aCallId);
  void MaintainMeshLinks();
  /** Turns a mesh link into a call-only link, on this side. */
  void LeaveMesh(Link& aLink);
  void CloseSilentLinks();
  void CountBytes(const Link& aLink,
                  const Message& aMessage,
                  std::size_t aSize);
  [[nodiscard]] Link* FindEstablished(const std::string& aNode) const;
  [[nodiscard]] Hello OwnHello(bool aCallsOnly) const;

  struct MeshPeer
  {
    std::string mAddress;
    Backoff mBackoff;
    Millis mRetryAt;
  };

  NodeContext& mContext;
  PeerLinkHandlers mHandlers;
  std::unique_ptr<PeerListener> mListener;
  std::string mAddress;
  LinkId mNextId = 1;
  std::unordered_map<LinkId, std::unique_ptr<Link>> mLinks;
  std::map<std::string, MeshPeer> mMeshPeers;
  Timer mMaintenanceTimer;
};

} // namespace papayaway
