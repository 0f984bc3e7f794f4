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
#include "FactSpreader.h"
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

namespace {

constexpr Millis kStopCheckPeriod{ 20 };
/** Leaves time for the last messages to be written. */
constexpr Millis kLeaveTime{ 100 };

} // namespace

struct Node::Impl
{
  NodeContext mContext;
  PeerLinks mLinks;
  FactSpreader mSpreader;
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
  /** The calls of peers at the local target, by link and call id. */
  std::map<std::pair<LinkId, std::uint64_t>, ServedId> mPeerCalls;

  Impl(EventLoop& aLoop, const NodeSettings& aSettings)
    : mContext(aLoop, aSettings)
    , mLinks(mContext,
             { .mOpened = [this](const LinkInfo& aLink) { OnOpened(aLink); },
               .mLost = [this](const LinkInfo& aLink) { OnLost(aLink); },
               .mMessage =
                 [this](const LinkInfo& aLink, Message aMessage) {
                   OnMessage(aLink, std::move(aMessage));
                 } })
    , mSpreader(mContext,
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
            [this](const EndpointFact& aFact) { mSpreader.Publish(aFact); },
          .mRestarted = [this] { mTargetProxy.OnTargetRestarted(); } })
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
          .mVerdict =
            [this](const std::string& aFingerprint, const CrashWatch& aWatch) {
              return mQuarantine.Check(aFingerprint, aWatch);
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
        mSpreader.Store(),
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
    , mMembers(mContext, mLinks, mSpreader)
    , mPlatform(mContext, mLinks, mSpreader, mMembers)
    , mMoves(mContext,
             mLinks,
             mSpreader,
             mPlatform.Client(),
             [this] { return mPlatform.IsRelay(); })
    , mQuarantine(mContext, mLinks, mSpreader)
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

Expected<void>
Node::Impl::Start()
{
  const NodeSettings& settings = mContext.mSettings;
  auto caller = HttpServer::Listen(
    mContext.mLoop,
    { .mAddress = settings.mCallerAddress, .mMaxBody = settings.mMaxBody },
    [this](const std::shared_ptr<HttpExchange>& aExchange) {
      mEntry.OnRequest(aExchange);
    });
  if (!caller) {
    return tl::unexpected(caller.error());
  }
  mCallerServer = std::move(*caller);
  auto admin =
    HttpServer::Listen(mContext.mLoop,
                       { .mAddress = settings.mAdminAddress },
                       [this](const std::shared_ptr<HttpExchange>& aExchange) {
                         mAdmin.OnRequest(aExchange);
                       });
  if (!admin) {
    return tl::unexpected(admin.error());
  }
  mAdminServer = std::move(*admin);
  if (const auto peer = mLinks.Listen(); !peer) {
    return tl::unexpected(peer.error());
  }
  mContext.Record({ .mPart = "node",
                    .mKind = EventKind::Started,
                    .mText = "node " + settings.mName + " has started" });
  mSpreader.Start();
  mMembers.Start(mAdminServer->Address());
  mPlatform.Start(mAdminServer->Address());
  mMoves.Start();
  mQuarantine.Start();
  mRecords.Start();
  return {};
}

nlohmann::json
Node::Impl::Status() const
{
  const NodeSettings& settings = mContext.mSettings;
  return { { "node", settings.mName },
           { "data_centre", settings.mDataCentre },
           { "region", settings.mRegion },
           { "environment", settings.mEnvironment },
           { "incarnation", mContext.mIncarnation },
           { "document",
             { { "version", mSpreader.Log().Version() },
               { "hash", mSpreader.Log().Hash() } } },
           { "members", MembersReport(mSpreader.Store()) },
           { "links", mLinks.Count() },
           { "mesh_links", mLinks.MeshLinks().size() },
           { "relay", RelaysReport(mSpreader.Store()) },
           { "recovered_from", mSpreader.RecoveredFrom() },
           { "in_flight", mEntry.InFlight() },
           { "leaving", mStopping } };
}

void
Node::Impl::AddAdminOperations()
{
  using Access = AdminApi::Access;
  using Exchange = AdminApi::Exchange;
  mAdmin.Add(
    "POST", "/v1/target", Access::Open, [this](const Exchange& aExchange) {
      const auto announcement = ParseAnnouncement(aExchange->Request().mBody);
      if (!announcement) {
        aExchange->Respond(AdminError(400, announcement.error().mMessage));
        return;
      }
      if (!mStopping) {
        mTarget.OnAnnouncement(*announcement);
      }
      aExchange->Respond(JsonResponse(200, "{}"));
    });
  const auto addReport = [this](const std::string& aPath, auto aReport) {
    mAdmin.Add(
      "GET", aPath, Access::Operator, [aReport](const Exchange& aExchange) {
        aExchange->Respond(JsonResponse(200, aReport().dump()));
      });
  };
  addReport("/v1/status", [this] { return Status(); });
  addReport("/v1/endpoints",
            [this] { return EndpointsReport(mSpreader.Store()); });
  addReport("/v1/moves", [this] { return mMoves.Report(); });
  addReport("/v1/timeline", [this] {
    return TimelineReport(mContext.mSettings.mName, mContext.mEvents);
  });
  mAdmin.Add(
    "GET", "/v1/document", Access::Operator, [this](const Exchange& aExchange) {
      mPlatform.OnDocumentRequest(aExchange);
    });
  mAdmin.Add(
    "POST", "/v1/promote", Access::Operator, [this](const Exchange& aExchange) {
      mPlatform.OnPromote(aExchange);
    });
  mAdmin.Add(
    "POST", "/v1/drain", Access::Operator, [this](const Exchange& aExchange) {
      mContext.Record({ .mPart = "target",
                        .mKind = EventKind::Drain,
                        .mText = "an operator drains the target" });
      mTarget.Drain();
      aExchange->Respond(JsonResponse(200, "{}"));
    });
  mAdmin.Add(
    "POST", "/v1/release", Access::Operator, [this](const Exchange& aExchange) {
      mQuarantine.OnRelease(aExchange);
    });
  mAdmin.Add(
    "GET", "/v1/export", Access::Operator, [this](const Exchange& aExchange) {
      mExporter.OnRequest(aExchange);
    });
  mAdmin.Add(
    "GET", "/metrics", Access::Open, [this](const Exchange& aExchange) {
      aExchange->Respond({ .mStatus = 200,
                           .mHeaders = { { "Content-Type", "text/plain" } },
                           .mBody = mContext.mMetrics.Text() });
    });
}

void
Node::Impl::OnOpened(const LinkInfo& aLink)
{
  mSpreader.OnLinkOpened(aLink);
  mMembers.OnLinkOpened(aLink);
}

void
Node::Impl::OnLost(const LinkInfo& aLink)
{
  mEntry.OnLinkLost(aLink.mId);
  mMembers.OnLinkLost(aLink);
  std::erase_if(mPeerCalls, [&](const auto& aEntry) {
    return aEntry.first.first == aLink.mId;
  });
}

void
Node::Impl::OnMessage(const LinkInfo& aLink, Message aMessage)
{
  const auto handle = [&](auto& aAlternative) {
    using T = std::decay_t<decltype(aAlternative)>;
    if constexpr (std::is_same_v<T, Call>) {
      OnCall(aLink, std::move(aAlternative));
    } else if constexpr (std::is_same_v<T, Reply>) {
      mEntry.OnReply(aAlternative);
    } else if constexpr (std::is_same_v<T, Cancel>) {
      OnCancel(aLink, aAlternative);
    } else if constexpr (std::is_same_v<T, Facts>) {
      mSpreader.OnFacts(aLink, aAlternative);
    } else if constexpr (std::is_same_v<T, Digest>) {
      mSpreader.OnDigest(aLink, aAlternative);
    } else if constexpr (std::is_same_v<T, DocumentDelta>) {
      mSpreader.OnDocumentDelta(aLink, aAlternative);
    } else if constexpr (std::is_same_v<T, DocumentWhole>) {
      mSpreader.OnDocumentWhole(aLink, aAlternative);
    } else if constexpr (std::is_same_v<T, DocumentRequest>) {
      mSpreader.OnDocumentRequest(aLink, aAlternative);
    } else if constexpr (std::is_same_v<T, Evidence>) {
      mMoves.OnEvidence(aLink, aAlternative);
    } else if constexpr (std::is_same_v<T, RecordCopy>) {
      mRecords.OnCopy(aAlternative);
    } else if constexpr (std::is_same_v<T, CrashReport>) {
      mQuarantine.OnCrashReport(aLink, aAlternative);
    } else if constexpr (std::is_same_v<T, SuspectRan>) {
      mQuarantine.OnSuspectRan(aLink, aAlternative);
    }
  };
  mMembers.OnHeard(aLink);
  std::visit(handle, aMessage);
}

void
Node::Impl::OnCall(const LinkInfo& aLink, Call aCall)
{
  const std::pair key{ aLink.mId, aCall.mId };
  const ServedId served =
    mTargetProxy.Serve(std::move(aCall), [this, key](const Reply& aReply) {
      mPeerCalls.erase(key);
      mLinks.Send(key.first, aReply);
    });
  mPeerCalls.emplace(key, served);
}

void
Node::Impl::OnCancel(const LinkInfo& aLink, const Cancel& aCancel)
{
  const auto found = mPeerCalls.find({ aLink.mId, aCancel.mId });
  if (found != mPeerCalls.end()) {
    mTargetProxy.Cancel(found->second);
    mPeerCalls.erase(found);
  }
}

void
Node::Impl::OnFact(const Fact& aFact)
{
  if (std::holds_alternative<EndpointFact>(aFact) ||
      std::holds_alternative<MemberFact>(aFact) ||
      std::holds_alternative<MoveFact>(aFact)) {
    ScheduleSnapshot();
  }
  mMembers.OnFact(aFact);
  mMoves.OnFact(aFact);
  mQuarantine.OnFact(aFact);
  mRecords.OnFact(aFact);
}

void
Node::Impl::ScheduleSnapshot()
{
  // Facts often come in batches; one snapshot for all of them is enough.
  if (!mSnapshotScheduled) {
    mSnapshotScheduled = true;
    mContext.mLoop.Defer([this] {
      mSnapshotScheduled = false;
      RebuildSnapshot();
    });
  }
}

void
Node::Impl::RebuildSnapshot()
{
  if (mSpreader.Log().Version() == 0) {
    return;
  }
  std::vector<EndpointFact> endpoints;
  std::vector<MoveFact> moves;
  const FactStore& facts = mSpreader.Store();
  facts.ForEach<EndpointFact>([&](const EndpointFact& aEndpoint) {
    // The endpoint of a dead node is out of reach whatever its last state.
    const MemberFact* const member = facts.Member(aEndpoint.mNode);
    if (member != nullptr && member->mState <= MemberState::Suspect) {
      endpoints.push_back(aEndpoint);
    }
  });
  facts.ForEach<MoveFact>(
    [&](const MoveFact& aMove) { moves.push_back(aMove); });
  auto table = RouteTable::Build(
    mSpreader.Current(), mSpreader.Log().Version(), endpoints, moves);
  if (!table) {
    LOG(ERROR) << "proxy: the snapshot was refused: "
               << ToString(table.error());
    return;
  }
  mTable = *table;
  mEntry.OnSnapshot(mTable);
}

void
Node::Impl::ContinueStop()
{
  const bool idle = mEntry.InFlight() == 0 && mTargetProxy.Load() == 0 &&
                    mCallerServer->InFlight() == 0;
  if (idle) {
    mRecords.Finish();
  }
  if ((!idle || !mRecords.IsStored()) && SteadyNow() < mStopDeadline) {
    return;
  }
  mRecords.SendCopies();
  mStopTimer.Stop();
  mMoves.Stop();
  mMembers.Leave();
  mPlatform.Stop();
  mContext.Record({ .mPart = "node",
                    .mKind = EventKind::Stopped,
                    .mText = idle ? "stopped with no call in flight"
                                  : "stopped at the drain timeout" });
  auto last = std::make_shared<Timer>(mContext.mLoop, mOnStopped);
  last->StartOnce(kLeaveTime);
  mOnStopped = [last] {};
}

Node::Node(EventLoop& aLoop, const NodeSettings& aSettings)
  : mImpl(std::make_unique<Impl>(aLoop, aSettings))
{
}

Node::~Node() = default;

Expected<void>
Node::Start()
{
  return mImpl->Start();
}

std::string
Node::ReadyLine() const
{
  return "ready caller=" + mImpl->mCallerServer->Address() +
         " admin=" + mImpl->mAdminServer->Address() +
         " peer=" + mImpl->mLinks.Address();
}

void
Node::Stop(std::function<void()> aDone)
{
  Impl& impl = *mImpl;
  impl.mStopping = true;
  impl.mOnStopped = std::move(aDone);
  impl.mTarget.Drain();
  impl.mCallerServer->StopAccepting();
  impl.mStopDeadline = SteadyNow() + impl.mContext.mSettings.mDrainTimeout;
  impl.mStopTimer.StartRepeating(kStopCheckPeriod);
}

} // namespace papayaway
