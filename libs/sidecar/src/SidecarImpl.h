#pragma once

#include <sidecar/Sidecar.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include <base/Random.h>
#include <gateway/LeaveAcknowledgements.h>
#include <gateway/LinkTopology.h>
#include <gateway/LoadReportFilter.h>
#include <gateway/PackedText.h>
#include <gateway/RoutingTable.h>
#include <gateway/StateFreshness.h>
#include <gateway/StopSchedule.h>
#include <gateway/StoreConfirmations.h>
#include <http/CallerServer.h>
#include <net/HttpServer.h>
#include <sidecar/CapAgent.h>
#include <sidecar/CrashGuard.h>
#include <sidecar/Dispatcher.h>
#include <sidecar/EvacuationAgent.h>
#include <sidecar/EventLog.h>
#include <sidecar/LocalTargetProxy.h>
#include <sidecar/PeerMesh.h>
#include <sidecar/RolloutAgent.h>
#include <sidecar/SidecarMetrics.h>
#include <sidecar/StoreSync.h>
#include <sidecar/TargetDirectory.h>

namespace papayaway::sidecar {

/** How often links, loads and rollouts are processed. */
constexpr Millis kTickPeriod{ 50 };

/** Which loads of targets were last sent to a group of nodes, and when. */
struct SentLoads
{
  Millis mSentAt;
  /** Decides which loads to send again, by the name of the target's node. */
  std::map<std::string, gateway::LoadReportFilter> mReportFilters;
};

/** The components of a sidecar and the handlers that connect them. */
struct Sidecar::Impl
{
  EventLoop& mLoop;
  SidecarSettings mSettings;
  const PlatformProtocol& mProtocol;
  gateway::FollowSchedule mFollowSchedule =
    gateway::MakeFollowSchedule(mSettings.mPropagationLimit,
                                kOperatorRowsBatchDelay);
  Random mRandom = SeededFromSystem();
  EventLog mLog;
  SidecarMetrics mMetrics;
  PeerMesh mMesh;
  TargetDirectory mTargets;
  gateway::LinkTopology mTopology;
  RolloutAgent mRollouts;
  CrashGuard mCrashes;
  EvacuationAgent mEvacuations;
  LocalTargetProxy mLocalTarget;
  CapAgent mCaps;
  Dispatcher mDispatcher;
  StoreSync mSync;
  std::unique_ptr<CallerServer> mCallerServer;
  std::unique_ptr<HttpServer> mAdminServer;
  std::unique_ptr<HttpServer> mReadinessServer;
  std::unique_ptr<HttpServer> mMetricsServer;
  Timer mTickTimer;
  Millis mLastTick;
  Millis mLastLoadCheck;
  Millis mLastRolloutTick;
  Millis mLastLoadBroadcast;
  Millis mStateAppliedAt;
  /** Where the newest desired state came from if it is not in force yet, or
   *  null. */
  const char* mPendingStateSource = nullptr;
  /** The routing table of the desired state in force, or null before the first
   *  one. */
  std::shared_ptr<gateway::RoutingTable> mRoutingTable;
  /** A version of the desired state that another node has reported and this
   *  node lacks, and when this was noticed. */
  std::uint64_t mMissingVersion = 0;
  Millis mMissingSince;
  Millis mQueriedAt;
  gateway::StateFreshness mFreshness{ { .mStrict = mSettings.mStrictRevocation,
                                        .mConfirmationLimit =
                                          mSettings.mRevocationLimit },
                                      BootNow() };
  /** The version of the row with the desired state in force. */
  gateway::StoreVersion mAppliedRowVersion;
  /** That row, if a newer one was received that is not in force. A node that
   *  starts while the newest row is malformed gets it from here. */
  std::optional<Row> mReplacedState;
  Millis mStarted;
  /** Since when the nodes that announced that they stop have not returned. */
  std::map<std::string, Millis> mLeavingSince;
  /** The number of nodes that may lend a part of the usage caps. */
  std::size_t mCapLenders = 1;
  Millis mLastRemoval;
  /** The number of nodes among which the usage caps are divided, and when there
   *  were last that many. */
  std::size_t mCapNodes = 0;
  Millis mCapNodesSeenAt;
  /** The loads of the own data centre that were sent within it, to the other
   *  data centres of the region, and to other regions. */
  SentLoads mLoadsSentInDataCentre;
  SentLoads mLoadsSentInRegion;
  SentLoads mLoadsSentToOtherRegions;
  /** The follow state that each node of the own region last reported. */
  std::map<std::string, gateway::FollowState> mFollowStates;
  gateway::FollowerElection mFollowerElection{
    { .mTakeoverTime = mFollowSchedule.mTakeoverTime }
  };
  gateway::StoreConfirmations mConfirmations{ mFollowSchedule };
  /** Whether the last tick found that the newest confirmation of the region
   *  was older than FollowSchedule::mMaxAge. */
  bool mConfirmationsOverdue = false;
  /** When this node reads the desired state from the store if it has not
   *  received one from another node by then. */
  Millis mDirectReadAt;
  /** When the nodes' table was first read from the store. */
  Millis mNodesReadAt;
  /** Operator rows with compressed values, cached for queries, by key. */
  std::map<std::string, OperatorRowMessage> mPackedRows;
  /** Set while an operator row is processed that came from another node and
   *  not from the store. */
  bool mRowFromPeer = false;
  /** The incarnation and the sequence number of this node's record. */
  std::uint64_t mIncarnation;
  std::uint64_t mSequence = 1;
  gateway::LeaveAcknowledgements mLeaves;
  /** The targets that have left by the record that was published last. */
  std::vector<gateway::LeftTarget> mPublishedLeft;
  /** The sequence number of the first record that has them; 0 if an earlier
   *  process has stored them. */
  std::uint64_t mLeftSequence = 0;
  /** Whether the store or another node has told which targets have left, or
   *  none has because the system starts for the first time. */
  bool mKnowsLeftTargets = mSettings.mFirstStart;
  struct HeldCheckIn
  {
    std::shared_ptr<HttpExchange> mExchange;
    CheckIn mCheckIn;
    Millis mSince;
  };
  /** The check-ins that came before that, in the order of their arrival. */
  std::deque<HeldCheckIn> mHeldCheckIns;
  /** Decides when the local target's load is sent again within the data
   *  centre. */
  gateway::LoadReportFilter mLoadFilter;
  std::optional<LoadMessage> mLastSentLoad;
  /** Calls of other nodes that wait or run at the local target, by link and
   *  call id. */
  std::map<std::pair<LinkId, std::uint64_t>, LocalTargetProxy::CallId>
    mPeerCalls;
  /** Calls of other nodes that were received in this iteration of the loop, by
   *  link and call id. They are served after all input was read, unless a
   *  cancellation or the loss of the link removes them first. */
  std::map<std::pair<LinkId, std::uint64_t>, CallMessage> mReceivedCalls;
  /** Expires with this object, which deferred callbacks may outlive. */
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  /** What this process still takes on after the stop signal; nullopt before
   *  it. */
  std::optional<gateway::StopSchedule> mStop;
  Millis mStopStarted;
  std::function<void()> mOnStopped;

  Impl(EventLoop& aLoop,
       const SidecarSettings& aSettings,
       const PlatformProtocol& aProtocol,
       RowStore& aStore,
       int aLogDescriptor);

  Expected<void> Start();
  Expected<void> Listen();
  [[nodiscard]] gateway::NodeRecord OwnRecord() const;
  /** Sends this node's changed record to the linked nodes and, unless the
   *  change is only that this process stops, to the store. */
  void PublishRecord();
  /** Merges the record of a node and forwards it if it is newer.
   *  @param aFrom the node that sent it, or "" if it came from the store. */
  void OnRecord(const gateway::NodeRecord& aRecord, const std::string& aFrom);
  /** Forgets a node whose stored record was removed, unless it is linked. */
  void OnRecordRemoved(const std::string& aNode);
  /** Updates mLeavingSince and mCapLenders. */
  void UpdateLeavingNodes(Millis aNow);
  /** As the relay, removes the stored records of the nodes of the own data
   *  centre that have been gone for long. */
  void RemoveLostNodes(Millis aNow);
  /** Handles a record of this node that came from the store or another node,
   *  which an earlier process may have written. */
  void OnOwnRecordReceived(const gateway::NodeRecord& aRecord);
  /** Applies a new or changed operator row.
   *  @param aOld the row that it replaces, with version 0 if there is none. */
  void OnOperatorRow(const Row& aOld, const Row& aRow);
  void OnPeerOperatorRow(const std::string& aFrom,
                         const OperatorRowMessage& aMessage);
  /** Sends a changed operator row to the nodes of the data centre and to link
   *  nodes of the other data centres of the region. */
  void BroadcastOperatorRow(const Row& aOld, const Row& aRow);
  /** Sends to the first nodes of another data centre that are linked. */
  void SendToLinkNodes(const std::string& aDataCentre,
                       const PeerMessage& aMessage);
  /** Puts the newest known desired state in force unless the last one was put
   *  in force too recently. */
  void ApplyPendingState(Millis aNow);
  /** Compares two rows of one key by the version of the desired state that they
   *  hold. Other rows are equivalent. */
  [[nodiscard]] std::weak_ordering CompareValues(const Row& aOne,
                                                 const Row& aOther) const;
  /** Decodes a desired state and puts it in force if it is newer, or if it has
   *  been written with other contents in a later era of the store.
   *  @param aSource where it came from, for the log.
   *  @return whether it is in force. */
  bool ApplyState(const Row& aRow, const char* aSource);
  /** Passes the rules of the services on to those that apply them. */
  void ApplyServiceRules(const gateway::DesiredState& aState);
  [[nodiscard]] bool HasTenants() const;
  /** @return the follow state that this node reports. */
  [[nodiscard]] gateway::FollowState OwnFollowState() const;
  /** @return the follow state that a node has reported, or Failing if the store
   *    has not confirmed its rows recently. */
  [[nodiscard]] gateway::FollowState FollowStateOf(
    const std::string& aNode) const;
  /** Handles that the store has confirmed the operator rows of this node, and
   *  informs the region if this node follows the store.
   *  @param aAt the time up to which the rows contain all changes. */
  void OnStoreConfirmed(Millis aAt);
  void OnConfirmation(LinkId aLink,
                      const std::string& aFrom,
                      const ConfirmationMessage& aMessage);
  /** Queries a node for its operator rows if it has reported a newer desired
   *  state and this node has not received it in time. */
  void QueryIfBehind(LinkId aLink,
                     const std::string& aNode,
                     std::uint64_t aVersion);
  /** @return whether other nodes of the data centre must follow the store
   *    because it answers none of the link nodes, which usually do. */
  [[nodiscard]] bool LinkNodesFail(Millis aNow) const;
  /** @return the version of the desired state in force, or 0. */
  [[nodiscard]] std::uint64_t StateVersion() const;
  /** @return whether this node refuses tenants until it has the newest version
   *    that other nodes report. */
  [[nodiscard]] bool MustCatchUp() const;
  /** Keeps the row of the desired state in force when a newer one arrives. */
  void KeepAppliedState(const Row& aOld);
  /** Handles that the row was put in force. */
  void OnStateApplied(gateway::StoreVersion aRowVersion);
  void OnMessage(LinkId aLink, const std::string& aNode, PeerMessage aMessage);
  void OnCall(LinkId aLink, CallMessage aCall);
  void OnCancel(LinkId aLink, const CancelMessage& aCancel);
  void OnWithdraw(LinkId aLink, const WithdrawMessage& aWithdraw);
  void ServeReceivedCalls();
  void ServeCall(LinkId aLink, CallMessage aCall);
  void OnLinkLost(LinkId aLink, bool aWasOpen);
  void OnLoad(LinkId aLink,
              const std::string& aNode,
              const LoadMessage& aMessage);
  void OnAdmin(const std::shared_ptr<HttpExchange>& aExchange);
  void OnCheckIn(const std::shared_ptr<HttpExchange>& aExchange,
                 const std::string& aTargetId);
  void ApplyCheckIn(const std::shared_ptr<HttpExchange>& aExchange,
                    const CheckIn& aCheckIn);
  /** Refuses the check-ins that have waited for too long. */
  void RefuseHeldCheckIns(Millis aNow);
  /** Acknowledges that a target leaves as soon as that outlasts this
   *  process. */
  void RespondWhenKept(const std::shared_ptr<HttpExchange>& aExchange,
                       const std::string& aTargetId);
  /** Handles that this node knows which of its targets have left. */
  void OnLeftTargetsKnown();
  void OnLeftTargets(const LeftTargetsMessage& aMessage);
  /** Confirms the copy of a node's own record, and sends the node the left
   *  targets that its earlier processes have published. */
  void AnswerRecord(LinkId aLink, const gateway::NodeRecord& aRecord);
  [[nodiscard]] bool Ready() const;
  void Tick();
  [[nodiscard]] LoadMessage OwnLoad() const;
  /** Applies the loads of the other targets of the service to the pace of the
   *  local one. */
  void UpdatePace();
  /** Sends the local target's load to other nodes when it is due. */
  void SendOwnLoad(Millis aNow);
  /** @return whether the relay sends the loads of the own data centre within it
   *    on behalf of its nodes. */
  [[nodiscard]] bool RelaysOwnLoads() const;
  /** As the relay, sends the loads of the own data centre within it and to the
   *  relays of others when they are due. */
  void SendDataCentreLoads(Millis aNow);
  /** Marks the loads that it returns as sent.
   *  @param aSent the loads last sent to the receiving group of nodes.
   *  @param aMaxInterval after this time a load is sent again even if it has
   *    not changed.
   *  @return the loads of the own data centre that must be sent again to that
   *    group. */
  DataCentreLoadsMessage TakeChangedLoads(SentLoads& aSent,
                                          Millis aMaxInterval,
                                          Millis aNow);
  void OnDataCentreLoads(const std::string& aFrom,
                         const DataCentreLoadsMessage& aMessage);
  /** Applies evacuations that were read from the store, and informs other nodes
   *  when they have changed. */
  void OnOperatorRowsRead(const RowList& aList, bool aWholeTable);
  /** Applies the evacuations of another node if they are later. */
  void OnEvacuations(const std::string& aFrom,
                     const EvacuationsMessage& aMessage);
  /** Sends the evacuations to the sender of a load message that shows other
   *  ones. */
  void RepairEvacuations(LinkId aLink, const LoadMessage& aMessage);
  /** Sends the evacuations ahead of a refusal because of them, so that the
   *  sender of the call does not choose another target there. */
  void InformOfEvacuation(LinkId aLink, const ReplyMessage& aReply);
  /** @return why the call may not run at the local target's place, or nullptr
   *    if it may. */
  [[nodiscard]] const char* PlacementRefusal(const CallMessage& aCall) const;
  void OnEvidence(const std::string& aFrom, const EvidenceMessage& aMessage);
  /** Distributes a message to all nodes: within the own data centre and, from
   *  its relay, to the relays of the others.
   *  @param aFrom the node that sent it to this one, or this node's name for a
   *    new message. */
  void Broadcast(const PeerMessage& aMessage, const std::string& aFrom);
  /** Sends all operator rows in full on the given link. */
  void SendOperatorRows(LinkId aLink);
  /** Starts or stops following the store, as the follower election decides. */
  void UpdateFollowerRole(Millis aNow);
  /** Selects the nodes to which this node keeps links, after records have
   *  changed. */
  void UpdateLinks();
  /** @return whether calls can be sent to the node now. */
  [[nodiscard]] bool CanReceiveCalls(const gateway::NodeRecord& aRecord,
                                     std::optional<Millis> aLoadReceivedAt,
                                     Millis aNow) const;
  /** @return whether the node is known to be in the own data centre. */
  [[nodiscard]] bool InOwnDataCentre(const std::string& aNode) const;
  /** @return whether this node reaches less than half of the nodes of its data
   *    centre that it once reached and that have not left. */
  [[nodiscard]] bool IsIsolated() const;
  /** @return whether the node is known to be in the own region. */
  [[nodiscard]] bool InOwnRegion(const std::string& aNode) const;
  /** @return the relay of a data centre, which exchanges messages with other
   *    data centres on its behalf: the first by name of its nodes that this
   *    node can reach, or "" if there is none. In the own data centre it must
   *    also be alive, so that a slow node does not take turns with the next. */
  [[nodiscard]] std::string RelayOf(const std::string& aDataCentre) const;
  /** @return whether this node is the relay of its data centre. */
  [[nodiscard]] bool IsRelay() const;
  /** Sends to the linked nodes of the own data centre. */
  void SendInDataCentre(const PeerMessage& aMessage);
  /** Sends to the relays of other data centres.
   *  @param aOtherRegions whether to those of other regions, or else to those
   *    of the own region. */
  void SendToRelays(const PeerMessage& aMessage, bool aOtherRegions);
  void SendToAllRelays(const PeerMessage& aMessage);
  /** @return the rank of this node among the nodes that may advance the
   *    service's rollout, 0 for the first. */
  [[nodiscard]] std::size_t RolloutRank(const std::string& aService) const;
  void SendCap(const gateway::CapSending& aSending);
  gateway::CapView ViewForCaps();
  /** @return how many reachable nodes come before this one in the order in
   * which nodes become coordinators of the usage caps. */
  [[nodiscard]] std::size_t CapRank() const;
  /** Takes the next step of a graceful stop, or ends it. */
  void ContinueStop(Millis aNow);
};

} // namespace papayaway::sidecar
