#pragma once

#include <sidecar/Sidecar.h>

#include <map>
#include <optional>
#include <set>
#include <utility>

#include <base/Random.h>
#include <gateway/LoadNews.h>
#include <gateway/PackedText.h>
#include <gateway/RoutingTable.h>
#include <http/CallerServer.h>
#include <net/HttpServer.h>
#include <sidecar/CrashGuard.h>
#include <sidecar/Dispatcher.h>
#include <sidecar/EventLog.h>
#include <sidecar/PeerMesh.h>
#include <sidecar/RolloutAgent.h>
#include <sidecar/SidecarMetrics.h>
#include <sidecar/StoreSync.h>
#include <sidecar/TargetDirectory.h>
#include <sidecar/TargetGate.h>

namespace papayaway::sidecar {

/** Links, loads and rollouts are looked after this often. */
constexpr Millis kTickPeriod{ 50 };

/** What some nodes were told of the loads of targets, by node. */
struct LoadsTold
{
  Millis mAt;
  std::map<std::string, gateway::LoadNews> mNews;
};

/** The parts of a sidecar and how they are connected. */
struct Sidecar::Impl
{
  EventLoop& mLoop;
  SidecarSettings mSettings;
  const PlatformPort& mPort;
  Random mRandom = SeededFromSystem();
  EventLog mLog;
  SidecarMetrics mMetrics;
  PeerMesh mMesh;
  TargetDirectory mTargets;
  RolloutAgent mRollouts;
  CrashGuard mCrashes;
  TargetGate mGate;
  Dispatcher mDispatcher;
  StoreSync mSync;
  std::unique_ptr<CallerServer> mCallers;
  std::unique_ptr<HttpServer> mAdmin;
  std::unique_ptr<HttpServer> mReadiness;
  std::unique_ptr<HttpServer> mMetricsServer;
  Timer mTick;
  Millis mLastTick;
  Millis mLastLoad;
  Millis mLastRollout;
  Millis mLastFarLoad;
  Millis mStateSince;
  /** The desired state in force. */
  std::shared_ptr<gateway::RoutingTable> mTable;
  /** A version of the desired state that another node had first, and since
   *  when this node has been behind it. */
  std::uint64_t mBehindOf = 0;
  Millis mBehindSince;
  Millis mAskedAt;
  Millis mStarted;
  /** What nodes of the region and of others were told of the loads of the own
   *  data centre. */
  LoadsTold mNearLoads;
  LoadsTold mFarLoads;
  /** How nodes of the own data centre get on with following the store, as
   *  they said. */
  std::map<std::string, gateway::FollowState> mFollowStates;
  gateway::FollowerElection mFollowerElection;
  /** When this node reads the desired state itself if it has none by then. */
  Millis mReadAloneAt;
  /** When the nodes' table was known first. */
  Millis mLoadedAt;
  /** The operator's rows as they were last told whole, by key. */
  std::map<std::string, OrderMessage> mPackedOrders;
  /** Whether a row of the operator comes from a neighbour. */
  bool mOrderFromPeer = false;
  std::uint64_t mLifetime;
  std::uint64_t mSequence = 1;
  /** What the nodes of the data centre were told of the local target. */
  gateway::LoadNews mLoadNews;
  std::optional<LoadMessage> mToldLoad;
  /** Calls of other nodes at the local target, by link and call id. */
  std::map<std::pair<LinkId, std::uint64_t>, TargetGate::CallId> mPeerCalls;
  bool mStopping = false;
  Millis mStopBegan;
  std::function<void()> mStopped;

  Impl(EventLoop& aLoop,
       const SidecarSettings& aSettings,
       const PlatformPort& aPort,
       RowStore& aStore,
       int aLogDescriptor);

  Expected<void> Start();
  Expected<void> Listen();
  [[nodiscard]] gateway::NodeRecord OwnRecord() const;
  void PublishRecord();
  /** Takes in the record of a node.
   *  @param aFrom the node that told it, or "" for the store. */
  void OnRecord(const gateway::NodeRecord& aRecord, const std::string& aFrom);
  void OnOwnRecordElsewhere(const gateway::NodeRecord& aRecord);
  void OnOrder(const Row& aOld, const Row& aRow);
  void OnOrderOfPeer(const OrderMessage& aMessage);
  void TellOrder(const Row& aOld, const Row& aRow);
  /** @return whether the state is newer and was brought into force. */
  bool ApplyState(const std::string& aText, const char* aSource);
  void OnMessage(LinkId aLink, const std::string& aNode, PeerMessage aMessage);
  void OnCall(LinkId aLink, CallMessage aCall);
  void OnLinkLost(LinkId aLink, bool aWasOpen);
  void OnLoad(LinkId aLink,
              const std::string& aNode,
              const LoadMessage& aMessage);
  void OnAdmin(const std::shared_ptr<HttpExchange>& aExchange);
  void OnCheckIn(HttpExchange& aExchange, const std::string& aTargetId);
  [[nodiscard]] bool Ready() const;
  void Tick();
  [[nodiscard]] LoadMessage OwnLoad() const;
  void TellLoad(Millis aNow);
  void TellLoads(Millis aNow);
  /** @return the loads of the own data centre that are news to those told. */
  LoadsMessage TakeNews(LoadsTold& aTold, Millis aNow);
  void OnLoads(const std::string& aFrom, const LoadsMessage& aMessage);
  void OnEvidence(const std::string& aFrom, const EvidenceMessage& aMessage);
  /** Sends news of this node, or of aFrom, on to all nodes. */
  void Spread(const PeerMessage& aMessage, const std::string& aFrom);
  void TellOrders(LinkId aLink);
  void DecideFollowing(Millis aNow);
  void UpdateLinks();
  [[nodiscard]] bool Usable(const std::string& aNode) const;
  [[nodiscard]] bool IsNear(const std::string& aNode) const;
  /** @return the node that speaks for its data centre here: the first by name
   *    of those reachable from this node. */
  [[nodiscard]] std::string SpeakerOf(const std::string& aDataCentre) const;
  [[nodiscard]] bool Speaks() const;
  void SendNear(const PeerMessage& aMessage);
  /** Sends to the speakers of the other data centres of the region, or of
   *  other regions. */
  void SendToSpeakers(const PeerMessage& aMessage, bool aOtherRegions);
  void SendToOtherSpeakers(const PeerMessage& aMessage);
  [[nodiscard]] std::size_t RankFor(const std::string& aService) const;
  void ContinueStop(Millis aNow);
};

} // namespace papayaway::sidecar
