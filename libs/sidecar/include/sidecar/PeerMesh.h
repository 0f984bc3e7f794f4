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
  /** A link ended. Receives whether it was ever open: if not, what was
   *  written to it was not sent. */
  std::function<void(LinkId, bool aWasOpen)> mLost;
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
  Millis mOpenLater{ 300 };
  /** Between attempts to open a link: the least and the longest pause. */
  Millis mRetryLeast{ 200 };
  Millis mRetryMost{ 2000 };
  /** A link that was opened for calls is closed after this time without. */
  Millis mIdleLimit = Seconds(8);
  /** Calls that wait for a link to open are given up after this time. */
  Millis mOpenTimeout{ 400 };
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

  /** Keeps links to these nodes, by name with their addresses, and to no
   *  others. */
  void Keep(const std::map<std::string, std::string>& aNodes);

  /** @return the link that the message was written to, or 0. */
  LinkId Send(const std::string& aNode, const PeerMessage& aMessage);

  /** Writes to a link that is opened for it if there is none.
   *  @return the link, or 0 if the node could not be reached lately. */
  LinkId SendOpening(const std::string& aNode,
                     const std::string& aAddress,
                     const PeerMessage& aMessage);

  /** Writes to one link, if it is still open. */
  void Reply(LinkId aLink, const PeerMessage& aMessage);

  /** Writes to one link of each linked node. */
  void Broadcast(const PeerMessage& aMessage);

  /** The same for those of the nodes that aWanted picks by name. */
  void BroadcastTo(const std::function<bool(const std::string&)>& aWanted,
                   const PeerMessage& aMessage);

  /** @return whether opening a link to the node failed a moment ago. */
  [[nodiscard]] bool Failing(const std::string& aNode) const;

  /** @return whether calls can be sent to the node now. */
  [[nodiscard]] bool Reachable(const std::string& aNode) const;

  [[nodiscard]] std::size_t LinkCount() const { return mLinks.size(); }

  /** Checks silence and opens missing links. Called every 100 ms or so. */
  void Tick(Millis aNow);

private:
  struct Link
  {
    std::unique_ptr<PeerSocket> mSocket;
    std::string mNode;
    Millis mHeard;
    Millis mUsed;
    bool mOpen = false;
    /** Opened for calls, by SendOpening(). */
    bool mOnDemand = false;
    /** Messages that wait for the link to open. */
    std::vector<std::string> mQueued;
  };
  struct Wanted
  {
    std::string mAddress;
    Millis mNextTry;
    Millis mPause;
  };

  void Attach(LinkId aId, Link& aLink);
  void OnBytes(LinkId aId, const std::string& aBytes);
  void Drop(LinkId aId, const char* aReason);
  [[nodiscard]] LinkId Best(const std::string& aNode) const;
  [[nodiscard]] LinkId Opening(const std::string& aNode) const;
  LinkId Open(const std::string& aNode,
              const std::string& aAddress,
              Millis aTimeout);

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
  /** When opening a link on demand failed last. */
  std::map<std::string, Millis> mFailed;
  LinkId mNextId = 1;
  Millis mLastTick;
};

} // namespace papayaway::sidecar
