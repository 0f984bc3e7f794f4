#include <sidecar/Sidecar.h>

#include "SidecarImpl.h"

namespace papayaway::sidecar {

using gateway::NodeRecord;

namespace {

/** How long a starting node waits for other nodes to send it the desired state
 *  before it reads the store. After a power loss of all nodes they need about
 *  0.6 s. */
constexpr Millis kDirectReadDelay{ 1600 };
/** Random part of that delay, relative to it, so that nodes do not read the
 *  store at the same time. */
constexpr double kDirectReadJitter = 0.6;
/** How much later than one check-in period a target's first check-in may
 *  arrive. */
constexpr Millis kCheckInSlack{ 200 };
/** The fraction of the configured retry limit that each node may use for its
 *  own retries. The rest is left for the calls that retried requests make in
 *  turn, which count against the limit as well. */
constexpr double kOwnRetryFraction = 0.4;

} // namespace

Sidecar::Impl::Impl(EventLoop& aLoop,
                    const SidecarSettings& aSettings,
                    const PlatformProtocol& aProtocol,
                    RowStore& aStore,
                    int aLogDescriptor)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mProtocol(aProtocol)
  , mLog(aLoop,
         { .mDescriptor = aLogDescriptor,
           .mNode = aSettings.mName,
           .mDataCentre = aSettings.mDataCentre })
  , mMesh(
      aLoop,
      { .mNode = aSettings.mName, .mAddress = aSettings.mPeerAddress },
      { .mMessage =
          [this](LinkId aLink, const std::string& aNode, PeerMessage aMessage) {
            OnMessage(aLink, aNode, std::move(aMessage));
          },
        .mLinkLost = [this](LinkId aLink,
                            bool aWasOpen) { OnLinkLost(aLink, aWasOpen); },
        .mOwnRecord = [this] { return OwnRecord(); } },
      mLog,
      mRandom)
  , mTargets(aSettings.mDataCentre,
             aSettings.mRegion,
             [this](const NodeRecord& aRecord,
                    std::optional<Millis> aLoadReceivedAt,
                    Millis aNow) {
               return CanReceiveCalls(aRecord, aLoadReceivedAt, aNow);
             })
  , mTopology({ .mNode = aSettings.mName,
                .mDataCentre = aSettings.mDataCentre,
                .mRegion = aSettings.mRegion })
  , mRollouts(
      { .mTargets = mTargets,
        .mLog = mLog,
        .mStoreClock = [this] { return mSync.StoreClock(); },
        .mRank =
          [this](const std::string& aService) { return RolloutRank(aService); },
        .mWriteProgress =
          [this](const gateway::RolloutProgress& aProgress) {
            mSync.WriteProgress(aProgress,
                                mProtocol.EncodeRolloutStatus(aProgress));
          },
        .mBroadcast =
          [this](const PeerMessage& aMessage) { mMesh.Broadcast(aMessage); },
        .mSendEvidence =
          [this](const EvidenceMessage& aMessage) {
            OnEvidence(mSettings.mName, aMessage);
          },
        .mIsIsolated = [this] { return IsIsolated(); } })
  , mCrashes(
      aSettings.mName,
      [this](const PeerMessage& aMessage) {
        Broadcast(aMessage, mSettings.mName);
      },
      mLog,
      mMetrics,
      [this](const QuarantineMessage& aKept) {
        const bool empty = aKept.mFacts.empty() && aKept.mCrashes.empty();
        mSync.PublishQuarantine(empty ? "" : EncodeQuarantine(aKept));
      })
  , mEvacuations({ .mDataCentre = aSettings.mDataCentre,
                   .mRowPrefix = aProtocol.Operator().mEvacuationPrefix },
                 { .mIsKnownDataCentre =
                     [this](const std::string& aName) {
                       return mTargets.Nodes().DataCentres().contains(aName);
                     },
                   .mChanged = [this] { mLocalTarget.RefuseMisplaced(); } },
                 mLog,
                 mMetrics)
  , mLocalTarget(
      aLoop,
      { .mNode = aSettings.mName,
        .mAddress = aSettings.mTargetAddress,
        .mService = aSettings.mService,
        .mColdRate = { .mFactor = aSettings.mColdFactor,
                       .mSlack = aSettings.mColdSlack },
        .mPaceReportedSpeed = aSettings.mPaceReportedSpeed },
      aProtocol,
      { .mStateChanged = [this] { PublishRecord(); },
        .mRunFinished =
          [this](const RunReport& aRun) {
            mRollouts.OnRun(mSettings.mName, mIncarnation, aRun);
          },
        .mCallLost =
          [this](const CallMessage& aCall) {
            mCrashes.OnCallLost(aCall, SteadyNow());
          },
        .mAnswered =
          [this](const CallMessage& aCall, Millis aSentAt) {
            mCrashes.OnAnswered(aCall, aSentAt, SteadyNow());
          },
        .mTargetEnded =
          [this](std::optional<Millis> aReplacedAt) {
            mCrashes.OnTargetEnded(
              mSettings.mService, aReplacedAt, SteadyNow());
          },
        .mIsQuarantined =
          [this](const CallMessage& aCall) {
            return mCrashes.IsQuarantined(aCall);
          },
        .mVersionTakesRequests =
          [this](const gateway::TargetInfo& aTarget) {
            return mRollouts.TakesRequests(aTarget);
          },
        .mPlacementRefusal =
          [this](const CallMessage& aCall) { return PlacementRefusal(aCall); },
        .mUsualRunTime =
          [this](const std::string& aRoute) {
            return mDispatcher.UsualRunTime(aRoute);
          },
        .mTenantWeight =
          [this](const std::string& aTenant) {
            return mRoutingTable ? mRoutingTable->Tenants()->Weight(aTenant)
                                 : 1.0;
          } },
      mLog,
      mMetrics)
  , mCaps(
      aLoop,
      { .mDataCentre = aSettings.mDataCentre,
        .mNode = aSettings.mName,
        .mProcess = UniformBelow(mRandom, std::uint64_t{ 1 } << 53),
        .mRules = { .mWindow = aSettings.mQuotaWindow,
                    .mExcess = aSettings.mQuotaExcess,
                    .mSlack = aSettings.mQuotaSlack } },
      { .mSend =
          [this](const gateway::CapSending& aSending) { SendCap(aSending); },
        .mView = [this] { return ViewForCaps(); } },
      mLog,
      mMetrics)
  , mDispatcher(
      aLoop,
      { .mNode = aSettings.mName,
        .mService = aSettings.mService,
        .mRetryBudget = { .mTokensPerRequest =
                            aSettings.mMaxRetryFraction * kOwnRetryFraction } },
      { .mProtocol = aProtocol,
        .mMesh = mMesh,
        .mTargets = mTargets,
        .mLocalTarget = mLocalTarget,
        .mCaps = mCaps,
        .mLog = mLog,
        .mMetrics = mMetrics,
        .mRandom = mRandom,
        .mChooseVersion =
          [this](const std::string& aService) {
            return mRollouts.ChooseVersion(aService);
          },
        .mEvacuations = mEvacuations.Set(),
        .mStateDoubt =
          [this] { return mFreshness.Doubt(StateVersion(), BootNow()); } })
  , mSync(
      aLoop,
      { .mNode = aSettings.mName,
        .mFollowWait = mFollowSchedule.mWait,
        .mFirstWriteDelay = aSettings.mCheckInPeriod + kCheckInSlack },
      aStore,
      aProtocol.Operator(),
      { .mOperatorRowChanged =
          [this](const Row& aOld, const Row& aRow) {
            OnOperatorRow(aOld, aRow);
          },
        .mCompareValues =
          [this](const Row& aOne, const Row& aOther) {
            return CompareValues(aOne, aOther);
          },
        .mOperatorRowsRead =
          [this](const RowList& aList, bool aWholeTable) {
            OnOperatorRowsRead(aList, aWholeTable);
          },
        .mOperatorRowsMerged = [this](Millis aAt) { OnStoreConfirmed(aAt); },
        .mRecordRemoved =
          [this](const std::string& aNode) { OnRecordRemoved(aNode); },
        .mRecordRead =
          [this](const NodeRecord& aRecord) { OnRecord(aRecord, ""); },
        .mProgressStored =
          [this](const gateway::RolloutProgress& aProgress) {
            mRollouts.OnStoredProgress(aProgress);
          },
        .mNodesRead =
          [this](const std::set<std::string>& aRollouts) {
            mRollouts.OnStoredRollouts(aRollouts);
            OnLeftTargetsKnown();
            UpdateFollowerRole(SteadyNow());
          },
        .mOwnRecord = [this] { return OwnRecord(); },
        .mOwnRecordRead =
          [this](const NodeRecord& aRecord) { OnOwnRecordReceived(aRecord); },
        .mQuarantineRead =
          [this](const std::string& aNode, const QuarantineMessage& aKept) {
            mCrashes.OnQuarantined(aKept, aNode == mSettings.mName);
          },
        .mRecordStored =
          [this](std::uint64_t aSequence) { mLeaves.OnStored(aSequence); },
        .mRecordNotStored = [this] { mLeaves.OnStoreFailed(); },
        .mCameBackFromCopy =
          [this] {
            if (IsRelay()) {
              // The nodes that have kept them may be lost.
              mCrashes.KeepAll();
            }
          } },
      mLog,
      mMetrics,
      mRandom)
  , mTickTimer(aLoop, [this] { Tick(); })
  , mLastTick(SteadyNow())
  , mIncarnation(static_cast<std::uint64_t>(WallNow().WholeMillis()))
{
}

Expected<void>
Sidecar::Impl::Start()
{
  Expected<void> listening = Listen();
  if (!listening) {
    return listening;
  }
  mLog.WriteStateChange("node",
                        "started",
                        { { "version", PAPAYAWAY_VERSION },
                          { "region", mSettings.mRegion },
                          { "service", mSettings.mService },
                          { "lifetime", mIncarnation } });
  mStarted = SteadyNow();
  mDirectReadAt =
    mStarted +
    kDirectReadDelay * (1 + kDirectReadJitter * UniformFraction(mRandom));
  OnRecord(OwnRecord(), mSettings.mName);
  mSync.Start(mSettings.mFirstStart);
  mTickTimer.StartRepeating(kTickPeriod);
  return {};
}

Expected<void>
Sidecar::Impl::Listen()
{
  Expected<void> mesh = mMesh.Listen();
  if (!mesh) {
    return mesh;
  }
  auto callers = CallerServer::Listen(
    mLoop,
    mSettings.mCallerAddress,
    {},
    [this](const std::shared_ptr<CallerExchange>& aExchange) {
      mDispatcher.OnRequest(aExchange);
    });
  if (!callers) {
    return tl::unexpected(callers.error());
  }
  mCallerServer = std::move(*callers);
  const auto listen = [this](const std::string& aAddress,
                             std::unique_ptr<HttpServer>& aServer,
                             HttpHandler aHandler) -> Expected<void> {
    auto server =
      HttpServer::Listen(mLoop, { .mAddress = aAddress }, std::move(aHandler));
    if (!server) {
      return tl::unexpected(server.error());
    }
    aServer = std::move(*server);
    return {};
  };
  const HttpHandler admin =
    [this](const std::shared_ptr<HttpExchange>& aExchange) {
      OnAdmin(aExchange);
    };
  const HttpHandler metrics =
    [this](const std::shared_ptr<HttpExchange>& aExchange) {
      aExchange->Respond({ .mHeaders = { { "Content-Type", "text/plain" } },
                           .mBody = mMetrics.Text() });
    };
  Expected<void> result = listen(mSettings.mAdminAddress, mAdminServer, admin);
  if (result) {
    result = listen(mSettings.mReadinessAddress, mReadinessServer, admin);
  }
  if (result) {
    result = listen(mSettings.mMetricsAddress, mMetricsServer, metrics);
  }
  return result;
}

NodeRecord
Sidecar::Impl::OwnRecord() const
{
  return { .mNode = mSettings.mName,
           .mDataCentre = mSettings.mDataCentre,
           .mRegion = mSettings.mRegion,
           .mPeerAddress = mSettings.mPeerAddress,
           .mIncarnation = mIncarnation,
           .mSequence = mSequence,
           .mLeaving = mStop.has_value(),
           .mTarget = mLocalTarget.Target(),
           .mLeft = mLocalTarget.LeftTargets() };
}

void
Sidecar::Impl::PublishRecord()
{
  ++mSequence;
  const std::vector<gateway::LeftTarget>& left = mLocalTarget.LeftTargets();
  const bool unsavedLeave = left != mPublishedLeft && !mSync.HasStored(left);
  mPublishedLeft = left;
  if (unsavedLeave) {
    mLeftSequence = mSequence;
  }
  OnRecord(OwnRecord(), mSettings.mName);
  mMesh.Broadcast(RecordMessage{ OwnRecord() });
  const auto& target = mLocalTarget.Target();
  const bool targetLeaves =
    target && target->mState != gateway::TargetState::Ready;
  if ((mStop || !target) && !targetLeaves && !unsavedLeave) {
    // The next process starts beside the same target, so the stored record
    // stays valid. The broadcast tells the other nodes that this process stops.
    // A process without a target writes its record when that has checked in.
    return;
  }
  // If this process restarts, the next one must learn from the store that the
  // target is leaving, so that change is written without delay.
  mSync.PublishRecord(targetLeaves || unsavedLeave);
}

void
Sidecar::Impl::OnOwnRecordReceived(const NodeRecord& aRecord)
{
  mLocalTarget.OnLeftTargets(aRecord.mLeft);
  // If an earlier process ran with a clock that was ahead, its record would
  // supersede the record of this process, which needs a higher incarnation.
  if (aRecord.mIncarnation > mIncarnation ||
      (aRecord.mIncarnation == mIncarnation && aRecord.mSequence > mSequence)) {
    mIncarnation = aRecord.mIncarnation + 1;
    PublishRecord();
  }
}

void
Sidecar::Impl::OnRecord(const NodeRecord& aRecord, const std::string& aFrom)
{
  if (!IsPlausible(aRecord)) {
    mMetrics.mBadInput.Increment();
    return;
  }
  if (!mTargets.Merge(aRecord)) {
    return;
  }
  if (aRecord.mNode == mSettings.mName) {
    return;
  }
  // Only some nodes have links to other data centres. They forward records from
  // there within their own data centre. The relay sends those of its own data
  // centre to the other relays. Every node reads the records in the store, so
  // only the relay forwards what it finds there.
  const bool fromStore = aFrom.empty();
  const bool ownDataCentre = aRecord.mDataCentre == mSettings.mDataCentre;
  if (!ownDataCentre && (fromStore ? IsRelay() : !InOwnDataCentre(aFrom))) {
    SendInDataCentre(RecordMessage{ aRecord });
  } else if (ownDataCentre && IsRelay()) {
    SendToAllRelays(RecordMessage{ aRecord });
  }
  mLog.WriteStateChange(
    "mesh",
    "node_seen",
    { { "peer", aRecord.mNode },
      { "lifetime", aRecord.mIncarnation },
      { "sequence", aRecord.mSequence },
      { "leaving", aRecord.mLeaving },
      { "target", aRecord.mTarget ? aRecord.mTarget->mId : "" },
      { "target_state",
        aRecord.mTarget ? static_cast<int>(aRecord.mTarget->mState) : -1 } });
}

void
Sidecar::Impl::OnAdmin(const std::shared_ptr<HttpExchange>& aExchange)
{
  const AdminRoute route = mProtocol.MatchAdmin(aExchange->Request());
  switch (route.mOperation) {
    case AdminOperation::Readiness:
      aExchange->Respond({ .mStatus = Ready() ? 200 : 503 });
      return;
    case AdminOperation::CheckIn:
      OnCheckIn(aExchange, route.mTargetId);
      return;
    case AdminOperation::Leave:
      mLocalTarget.OnLeave(route.mTargetId);
      RespondWhenKept(aExchange, route.mTargetId);
      return;
    case AdminOperation::None:
      break;
  }
  aExchange->Respond({ .mStatus = 404 });
}

bool
Sidecar::Impl::Ready() const
{
  // While the store is unavailable, linked nodes provide the same records.
  const bool knowsTargets = mSync.NodesRead() || mMesh.LinkCount() > 0;
  return !mStop && mRoutingTable && knowsTargets;
}

std::size_t
Sidecar::Impl::RolloutRank(const std::string& aService) const
{
  const auto order = [&](const std::string& aNode) {
    return std::hash<std::string>()(aNode + "/" + aService);
  };
  const std::size_t own = order(mSettings.mName);
  const Millis now = SteadyNow();
  std::size_t rank = 0;
  for (const auto& [name, dataCentre] : mTargets.Nodes().DataCentres()) {
    for (const auto& [node, record] : dataCentre.mNodes) {
      rank +=
        order(record->mNode) < own && mTargets.IsUsable(*record, now) ? 1 : 0;
    }
  }
  return rank;
}

Sidecar::Sidecar(EventLoop& aLoop,
                 const SidecarSettings& aSettings,
                 const PlatformProtocol& aProtocol,
                 RowStore& aStore,
                 int aLogDescriptor)
  : mImpl(std::make_unique<Impl>(aLoop,
                                 aSettings,
                                 aProtocol,
                                 aStore,
                                 aLogDescriptor))
{
}

Sidecar::~Sidecar() = default;

Expected<void>
Sidecar::Start()
{
  return mImpl->Start();
}

void
Sidecar::Reload(const SidecarSettings& aSettings)
{
  const bool same = aSettings == mImpl->mSettings;
  mImpl->mSettings.mGracePeriod = aSettings.mGracePeriod;
  mImpl->mSettings.mCheckInPeriod = aSettings.mCheckInPeriod;
  mImpl->mLog.WriteStateChange("node", "reloaded", { { "changed", !same } });
}

void
Sidecar::Stop(std::function<void()> aStopped)
{
  mImpl->mOnStopped = std::move(aStopped);
  mImpl->mStopStarted = SteadyNow();
  mImpl->mStop.emplace(
    gateway::StopScheduleOptions{ .mGracePeriod =
                                    mImpl->mSettings.mGracePeriod },
    mImpl->mStopStarted);
  mImpl->mDispatcher.SetStop(*mImpl->mStop);
  mImpl->mLog.WriteStateChange(
    "node",
    "stopping",
    { { "requests", mImpl->mCallerServer->InFlight() },
      { "calls_of_others", mImpl->mPeerCalls.size() } });
  mImpl->mCallerServer->CloseAfterResponses();
  mImpl->PublishRecord();
}

} // namespace papayaway::sidecar
