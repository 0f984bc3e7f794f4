#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
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

using LinkId = std::uint64_t;

struct PeerMeshHandlers
{
  /** A message of a node that has said who it is. */
  std::function<void(LinkId, const std::string& aNode, PeerMessage)> mMessage;
  /** A link ended; calls that were sent on it have no answer. */
  std::function<void(LinkId, const std::string& aNode)> mLost;
  /** @return the record of this node, which is the first message of a link. */
  std::function<gateway::NodeRecord()> mOwnRecord;
};

struct PeerMeshOptions
{
  std::string mNode;
  std::string mAddress;
  /** A link that carried nothing for this long is not used for new calls.
   *  The sender's period is a second at most. */
  Millis mSuspectAfter{ 1600 };
  /** A link that carried nothing for this long is closed. */
  Millis mCloseAfter{ 2600 };
  /** The node with the higher name waits this long for the other one to open
   *  the link, so that a pair has one link rather than two. */
  Millis mOpenLater{ 700 };
  /** Between attempts to open a link: the least and the longest pause. */
  Millis mRetryLeast{ 200 };
  Millis mRetryMost{ 2000 };
};

/** The links between this node and the others. */
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

  /** Binds and starts to accept links. */
  Expected<void> Listen();

  /** Keeps a link to the node at this address from now on. */
  void Want(const std::string& aNode, const std::string& aAddress);

  /** Keeps no link to the node any more. */
  void Unwant(const std::string& aNode);

  /** @return the link that the message was written to, or 0. */
  LinkId Send(const std::string& aNode, const PeerMessage& aMessage);

  /** Writes to one link, if it is still open. */
  void Reply(LinkId aLink, const PeerMessage& aMessage);

  /** Writes to one link of each linked node. */
  void Broadcast(const PeerMessage& aMessage);

  /** @return whether calls can be sent to the node now. */
  [[nodiscard]] bool Reachable(const std::string& aNode) const;

  [[nodiscard]] std::vector<std::string> Linked() const;
  [[nodiscard]] std::size_t LinkCount() const { return mLinks.size(); }

  /** Checks silence and opens missing links. Called every 100 ms or so. */
  void Tick(Millis aNow);

private:
  struct Link
  {
    std::unique_ptr<PeerSocket> mSocket;
    std::string mNode;
    Millis mHeard;
    bool mOpen = false;
  };
  struct Wanted
  {
    std::string mAddress;
    Millis mNextTry;
    Millis mPause;
    LinkId mOpening = 0;
  };

  void Attach(LinkId aId, Link& aLink);
  void OnBytes(LinkId aId, const std::string& aBytes);
  void Drop(LinkId aId, const char* aReason);
  [[nodiscard]] LinkId Best(const std::string& aNode) const;
  void Open(const std::string& aNode, Wanted& aWanted, Millis aNow);

  EventLoop& mLoop;
  PeerMeshOptions mOptions;
  PeerMeshHandlers mHandlers;
  EventLog& mLog;
  Random& mRandom;
  std::unique_ptr<PeerListener> mListener;
  std::map<LinkId, Link> mLinks;
  /** The open links of each node, the oldest first. */
  std::map<std::string, std::vector<LinkId>, std::less<>> mByNode;
  std::map<std::string, Wanted> mWanted;
  LinkId mNextId = 1;
  Millis mLastTick;
};

} // namespace papayaway::sidecar
