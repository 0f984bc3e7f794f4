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

/** Identifies one connection for its lifetime. */
using LinkId = std::uint64_t;

/** One connection to a peer whose Hello has arrived. */
struct LinkInfo
{
  LinkId mId = 0;
  std::string mNode;
  std::string mDataCentre;
  std::string mRegion;
  bool mOutgoing = false;
  /** Whether the link carries calls only and takes no part in flooding. */
  bool mCallsOnly = false;
  /** Whether the handshake was done, before which nothing else is sent. */
  bool mEstablished = false;
};

struct PeerLinkHandlers
{
  std::function<void(const LinkInfo&)> mOpened;
  /** Calls that were sent on the link get no reply any more. */
  std::function<void(const LinkInfo&)> mLost;
  /** The link stays open for calls, but takes no part in flooding any more.
   *  The info is that from before. */
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

  /** Sets the mesh links that this node opens and keeps open. After a delay,
   *  in which their replacements open, links that are no longer wanted carry
   *  calls only. They aren't closed, because calls of both sides may be in
   *  flight on them.
   *  @param aWanted the peer address of each node. */
  void SetWanted(std::map<std::string, std::string> aWanted);

  /** Opens a mesh link to an address whose node is not known yet. */
  void Probe(const std::string& aAddress);

  /** Sends on one link. @return false if the link is gone. */
  bool Send(LinkId aLink, const Message& aMessage);

  /** Sends to aNode on any open link, or opens one for calls.
   *  @return the link, or 0 if none is open and none can be opened now; a
   *    message for a link that is being opened waits for it. */
  LinkId SendToNode(const std::string& aNode,
                    const std::string& aAddress,
                    const Message& aMessage);

  /** Sends on all mesh links, once per node, but not to aExceptNode. */
  void Flood(const Message& aMessage, const std::string& aExceptNode);

  /** Sends on a mesh link to aNode, if there is one. */
  void SendToMesh(const std::string& aNode, const Message& aMessage);

  /** @return whether a mesh link to aNode is open or being opened. */
  [[nodiscard]] bool HasMeshLink(const std::string& aNode) const;

  /** Ends a connection, for example because it is silent. */
  void Close(LinkId aLink, const std::string& aReason);

  /** Ends all connections to a node. */
  void CloseNode(const std::string& aNode, const std::string& aReason);

  /** @return the mesh links, one per node. */
  [[nodiscard]] std::vector<LinkInfo> MeshLinks() const;

  /** @return when something last arrived on the link, or 0. */
  [[nodiscard]] Millis LastReceived(LinkId aLink) const;

  /** @return whether a connection to aNode is open. */
  [[nodiscard]] bool IsLinked(const std::string& aNode) const;

  [[nodiscard]] std::size_t Count() const { return mLinks.size(); }

  [[nodiscard]] const std::string& Address() const { return mAddress; }

private:
  struct Link;

  Link& Open(const std::string& aNode,
             const std::string& aAddress,
             bool aCallsOnly);
  void Accept(std::unique_ptr<PeerSocket> aSocket);
  void Attach(Link& aLink);
  void OnBytes(LinkId aId, const std::string& aBytes);
  void OnHello(Link& aLink, const Hello& aHello);
  void OnClosed(LinkId aId, const std::string& aReason);
  void SendOn(Link& aLink, const Message& aMessage, const std::string& aBytes);
  void MaintainWanted();
  /** Keeps the link for calls only, on this side. */
  void LeaveMesh(Link& aLink);
  void FindSilentLinks();
  void CountBytes(const Link& aLink,
                  const Message& aMessage,
                  std::size_t aSize);
  [[nodiscard]] Link* FindOpen(const std::string& aNode) const;
  [[nodiscard]] Hello OwnHello(bool aCallsOnly) const;

  struct WantedPeer
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
  std::map<std::string, WantedPeer> mWanted;
  Timer mMaintenance;
};

} // namespace papayaway
