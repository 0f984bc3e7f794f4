#pragma once

#include <node/Node.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

#include <glog/logging.h>

#include <config/DocumentParser.h>
#include <net/HttpServer.h>
#include <traffic/RouteTable.h>

#include "AdminApi.h"
#include "EntryProxy.h"
#include "FactReplicator.h"
#include "LocalTarget.h"
#include "MemberAgent.h"
#include "MoveAgent.h"
#include "NodeContext.h"
#include "PeerLinks.h"
#include "PlatformAgent.h"
#include "QuarantineAgent.h"
#include "RecordAgent.h"
#include "RecordExporter.h"
#include "Reports.h"
#include "TargetProxy.h"

namespace papayaway {

/** The components of a node and the callbacks that connect them. */
struct Node::Impl
{
  NodeContext mContext;
  PeerLinks mLinks;
  FactReplicator mReplicator;
  LocalTarget mTarget;
  TargetProxy mTargetProxy;
  EntryProxy mEntry;
  MemberAgent mMembers;
  PlatformAgent mPlatform;
  MoveAgent mMoves;
  QuarantineAgent mQuarantine;
  RecordAgent mRecords;
  RecordExporter mExporter;
  AdminApi mAdmin;
  std::unique_ptr<HttpServer> mCallerServer;
  std::unique_ptr<HttpServer> mAdminServer;
  std::shared_ptr<const RouteTable> mTable;
  bool mSnapshotScheduled = false;
  bool mStopping = false;
  Timer mStopTimer;
  Millis mStopDeadline;
  std::function<void()> mOnStopped;
  /** Calls that peers sent to the local target, by link and the peer's call
   *  id. */
  std::map<std::pair<LinkId, std::uint64_t>, ServedId> mPeerCalls;

  Impl(EventLoop& aLoop, const NodeSettings& aSettings)
    : mContext(aLoop, aSettings)
    , mLinks(mContext,
             { .mOpened = [this](const LinkInfo& aLink) { OnOpened(aLink); },
               .mLost = [this](const LinkInfo& aLink) { OnLost(aLink); },
               .mLeftMesh =
                 [this](const LinkInfo& aLink) { mMembers.OnLinkLost(aLink); },
               .mMessage =
                 [this](const LinkInfo& aLink, Message aMessage) {
                   OnMessage(aLink, std::move(aMessage));
                 } })
    , mReplicator(
        mContext,
        mLinks,
        { .mFactChanged = [this](const Fact& aFact) { OnFact(aFact); },
          .mDocumentChanged =
            [this] {
              mMoves.OnDocumentChanged();
              ScheduleSnapshot();
            } })
    , mTarget(
        mContext,
        { .mChanged =
            [this](const EndpointFact& aFact) { mReplicator.Publish(aFact); },
          .mRestarted = [this] { mTargetProxy.OnTargetRestarted(); },
          .mSilent = [this] { mTargetProxy.OnTargetSilent(); } })
    , mTargetProxy(
        mContext,
        mTarget,
        { .mAdmitExposure =
            [this](const Call& aCall) { return mMoves.AdmitExposure(aCall); },
          .mReleaseExposure =
            [this](const Call& aCall) { mMoves.ReleaseExposure(aCall); },
          .mObserved =
            [this](const Call& aCall, bool aFailed, Millis aTime) {
              mMoves.OnObserved(aCall, aFailed, aTime);
            },
          .mCheckQuarantine =
            [this](const std::string& aFingerprint,
                   const CrashSuspectTracker& aTracker) {
              return mQuarantine.Check(aFingerprint, aTracker);
            },
          .mCrashed =
            [this](const std::string& aService,
                   std::vector<std::string> aFingerprints) {
              mQuarantine.OnTargetCrashed(aService, std::move(aFingerprints));
            },
          .mRan =
            [this](const std::string& aService,
                   const std::string& aFingerprint) {
              mQuarantine.OnRan(aService, aFingerprint);
            } })
    , mEntry(
        mContext,
        mLinks,
        mReplicator.Store(),
        mTargetProxy,
        { .mAnswered =
            [this](const Call& aCall,
                   const std::string& aCustomer,
                   int aStatus,
                   Outcome aOutcome) {
              mRecords.OnAnswered(aCall, aCustomer, aStatus, aOutcome);
            },
          .mIsQuarantined =
            [this](const Call& aCall) {
              return mQuarantine.IsQuarantined(aCall);
            },
          .mMayRetry =
            [this](const Call& aCall) { return mQuarantine.MayRetry(aCall); } })
    , mMembers(mContext, mLinks, mReplicator)
    , mPlatform(mContext, mLinks, mReplicator, mMembers)
    , mMoves(mContext,
             mLinks,
             mReplicator,
             mPlatform.Client(),
             [this] { return mPlatform.IsRelay(); })
    , mQuarantine(mContext, mLinks, mReplicator)
    , mRecords(mContext, mLinks, mPlatform.Client())
    , mExporter(mPlatform.Client())
    , mAdmin(mContext)
    , mStopTimer(aLoop, [this] { ContinueStop(); })
  {
    AddAdminOperations();
  }

  Expected<void> Start();
  void AddAdminOperations();
  void OnOpened(const LinkInfo& aLink);
  void OnLost(const LinkInfo& aLink);
  void OnMessage(const LinkInfo& aLink, Message aMessage);
  void OnCall(const LinkInfo& aLink, Call aCall);
  void OnCancel(const LinkInfo& aLink, const Cancel& aCancel);
  void OnFact(const Fact& aFact);
  void ScheduleSnapshot();
  void RebuildSnapshot();
  void ContinueStop();
  [[nodiscard]] nlohmann::json Status() const;
};

} // namespace papayaway
