#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <base/Error.h>
#include <base/Millis.h>
#include <base/Random.h>
#include <gateway/NodeRecord.h>
#include <net/EventLoop.h>
#include <net/PeerSocket.h>
#include <sidecar/EventLog.h>
#include <sidecar/PeerMessages.h>

namespace papayaway::sidecar {

/** Identifies a link of this process; never 0 and never reused. */
using LinkId = std::uint64_t;

struct PeerMeshHandlers
{
  /** Receives a message from a node that has identified itself. */
  std::function<void(LinkId, const std::string& aNode, PeerMessage)> mMessage;
  /** Called when a link has closed. If it was never open, nothing that was
   *  queued on it was sent. */
  std::function<void(LinkId, bool aWasOpen)> mLinkLost;
  /** @return the record of this node, which each side sends as the first
   *    message on a link. */
  std::function<gateway::NodeRecord()> mOwnRecord;
};

struct PeerMeshOptions
{
  /** The name of this node. */
  std::string mNode;
  /** "IPv4:port" to listen on. */
  std::string mAddress;
  /** A node is not sent new calls if its link has received nothing for this
   *  long. Every node sends its load at least once a second. */
  Millis mSuspectAfter{ 1600 };
  /** A link that has received nothing for this long is closed. */
  Millis mCloseAfter{ 2600 };
  /** The node with the greater name waits this long for the other one to open
   *  the link, so that a pair of nodes has one link rather than two. */
  Millis mOpenDelay{ 300 };
  /** The first and the longest delay between attempts to open a link. The
   *  delay doubles with each attempt. */
  Millis mMinRetryDelay{ 200 };
  Millis mMaxRetryDelay{ 2000 };
  /** A link that was opened on demand is closed after this long without
   *  calls. */
  Millis mIdleTimeout = Seconds(8);
  /** Handshake timeout of a link opened on demand; calls queued on it fail
   *  when it expires. */
  Millis mOpenTimeout{ 400 };
};

/** The links (bidirectional connections) between this node and other nodes. */
class PeerMesh
{
public:
  PeerMesh(EventLoop& aLoop,
           PeerMeshOptions aOptions,
           PeerMeshHandlers aHandlers,
           EventLog& aLog,
           Random& aRandom);
  ~PeerMesh();
  PeerMesh(const PeerMesh&) = delete;
  PeerMesh& operator=(const PeerMesh&) = delete;

  /** Binds the address and starts accepting links. */
  Expected<void> Listen();

  /** Sets the persistent peers: the nodes to which links are kept open and
   *  reopened when lost.
   *  @param aNodes the addresses by node name. */
  void SetPersistentPeers(const std::map<std::string, std::string>& aNodes);

  /** Sends to a node on an open link.
   *  @return the link that was used, or 0 if there is none. */
  LinkId Send(const std::string& aNode, const PeerMessage& aMessage);

  /** Sends to a node and opens a link first if there is none.
   *  @return the link, or 0 if opening one has failed recently. */
  LinkId SendOnDemand(const std::string& aNode,
                      const std::string& aAddress,
                      const PeerMessage& aMessage);

  /** Sends on the given link, if it still exists. While the link is opening,
   *  the message is queued; a cancellation then removes its queued call. */
  void Reply(LinkId aLink, const PeerMessage& aMessage);

  /** Sends to every linked node, once each. */
  void Broadcast(const PeerMessage& aMessage);

  /** Sends to the linked nodes for whose names aFilter returns true, once
   *  each. */
  void BroadcastTo(const std::function<bool(const std::string&)>& aFilter,
                   const PeerMessage& aMessage);

  /** @return whether opening a link to the node on demand has failed
   *    recently. */
  [[nodiscard]] bool HasFailedRecently(const std::string& aNode) const;

  /** @return whether the node has an open link that received something within
   *    mSuspectAfter. */
  [[nodiscard]] bool Reachable(const std::string& aNode, Millis aNow) const;

  /** @return whether the handshake of the link is still in progress. */
  [[nodiscard]] bool IsOpening(LinkId aLink) const;

  [[nodiscard]] std::size_t LinkCount() const { return mLinks.size(); }

  /** Closes each link once its messages are written and opens no more. Later
   *  messages are dropped; further calls have no effect. */
  void CloseWhenWritten();

  /** @return whether, after CloseWhenWritten(), the peers have received all
   *    messages as far as this can be awaited. */
  [[nodiscard]] bool IsClosed(Millis aNow) const;

  /** Closes silent and idle links and opens missing ones. Called
   *  periodically, several times per second. */
  void Tick(Millis aNow);

private:
  /** How long peers may take to close their ends of the links. */
  static constexpr Millis kCloseTimeout = Seconds(1);

  /** A message that waits until its link is open. */
  struct QueuedMessage
  {
    /** The id of the call if the message is one. */
    std::optional<std::uint64_t> mCallId;
    std::string mBytes;
  };
  struct Link
  {
    std::unique_ptr<PeerSocket> mSocket;
    std::string mNode;
    Millis mLastReceived;
    Millis mLastUsed;
    bool mOpen = false;
    /** Whether the other end has sent its first record. */
    bool mIdentified = false;
    /** Whether SendOnDemand() opened the link or has queued messages on it. */
    bool mOnDemand = false;
    std::vector<QueuedMessage> mQueued;
  };
  struct PersistentPeer
  {
    std::string mAddress;
    Millis mNextAttempt;
    Millis mRetryDelay;
  };

  void SetSocketHandlers(LinkId aId, Link& aLink);
  static void Queue(Link& aLink, const PeerMessage& aMessage);
  void OnReceived(LinkId aId, const std::string& aBytes);
  void CloseLink(LinkId aId, const char* aReason);
  /** @return the link to use for a node, or 0 if there is none: the oldest one,
   *    unless a newer one has received its last message more than mSuspectAfter
   *    later. */
  [[nodiscard]] LinkId BestLink(const std::string& aNode) const;
  /** @return the link to a node whose handshake is in progress, or 0. */
  [[nodiscard]] LinkId OpeningLink(const std::string& aNode) const;
  /** Removes a link that was closed or has opened from mOpening. */
  void ForgetOpening(LinkId aId, const std::string& aNode);
  LinkId OpenLink(const std::string& aNode,
                  const std::string& aAddress,
                  Millis aTimeout);

  EventLoop& mLoop;
  PeerMeshOptions mOptions;
  PeerMeshHandlers mHandlers;
  EventLog& mLog;
  Random& mRandom;
  std::unique_ptr<PeerListener> mListener;
  std::map<LinkId, Link> mLinks;
  /** The links whose other end has identified itself, by node name, in the
   *  order of identification. */
  std::unordered_map<std::string, std::vector<LinkId>> mByNode;
  /** The links whose handshake is in progress, by node name. */
  std::unordered_map<std::string, LinkId> mOpening;
  std::map<std::string, PersistentPeer> mPersistentPeers;
  /** When opening a link on demand last failed, by node name. */
  std::map<std::string, Millis> mLastFailures;
  LinkId mNextId = 1;
  Millis mLastTick;
  /** When CloseWhenWritten() was called. */
  std::optional<Millis> mClosingSince;
};

} // namespace papayaway::sidecar
