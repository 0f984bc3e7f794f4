#include "NodeImpl.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace papayaway {

namespace {

constexpr Millis kStopCheckPeriod{ 20 };
/** Time for the last messages to be sent before the event loop ends. */
constexpr Millis kFinalSendTime{ 100 };

} // namespace

Expected<void>
Node::Impl::Start()
{
  const NodeSettings& settings = mContext.mSettings;
  auto caller = HttpServer::Listen(
    mContext.mLoop,
    { .mAddress = settings.mCallerAddress, .mMaxBody = settings.mMaxBodyBytes },
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
  mReplicator.Start();
  mMembers.Start(mAdminServer->Address());
  mPlatform.Start(mAdminServer->Address());
  mMoves.Start();
  mQuarantine.Start();
  mRecords.Start();
  return {};
}

void
Node::Impl::OnOpened(const LinkInfo& aLink)
{
  mReplicator.OnLinkOpened(aLink);
  mMembers.OnLinkOpened(aLink);
}

void
Node::Impl::OnLost(const LinkInfo& aLink)
{
  mEntry.OnLinkLost(aLink);
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
      mReplicator.OnFacts(aLink, aAlternative);
    } else if constexpr (std::is_same_v<T, Digest>) {
      mReplicator.OnDigest(aLink, aAlternative);
    } else if constexpr (std::is_same_v<T, DocumentDelta>) {
      mReplicator.OnDocumentDelta(aLink, aAlternative);
    } else if constexpr (std::is_same_v<T, FullDocument>) {
      mReplicator.OnFullDocument(aLink, aAlternative);
    } else if constexpr (std::is_same_v<T, DocumentRequest>) {
      mReplicator.OnDocumentRequest(aLink, aAlternative);
    } else if constexpr (std::is_same_v<T, Evidence>) {
      mMoves.OnEvidence(aLink, aAlternative);
    } else if constexpr (std::is_same_v<T, RecordCopy>) {
      mRecords.OnCopy(aAlternative);
    } else if constexpr (std::is_same_v<T, CrashReport>) {
      mQuarantine.OnCrashReport(aLink, aAlternative);
    } else if constexpr (std::is_same_v<T, SuspectCompleted>) {
      mQuarantine.OnSuspectCompleted(aLink, aAlternative);
    }
  };
  mMembers.OnMessageReceived(aLink);
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
  // Facts often arrive in batches; the snapshot is rebuilt once per batch.
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
  if (mReplicator.Log().Version() == 0) {
    return;
  }
  std::vector<EndpointFact> endpoints;
  std::vector<MoveFact> moves;
  const FactStore& facts = mReplicator.Store();
  facts.ForEach<EndpointFact>([&](const EndpointFact& aEndpoint) {
    // The endpoint of a dead node is unreachable whatever its last state was.
    const MemberFact* const member = facts.Member(aEndpoint.mNode);
    if (member != nullptr && member->mState <= MemberState::Suspect) {
      endpoints.push_back(aEndpoint);
    }
  });
  facts.ForEach<MoveFact>(
    [&](const MoveFact& aMove) { moves.push_back(aMove); });
  auto table = RouteTable::Build(
    mReplicator.Current(), mReplicator.Log().Version(), endpoints, moves);
  if (!table) {
    LOG(ERROR) << "proxy: can't build a route table from the document and the "
                  "facts: "
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
  auto finalTimer = std::make_shared<Timer>(mContext.mLoop, mOnStopped);
  finalTimer->StartOnce(kFinalSendTime);
  mOnStopped = [finalTimer] {};
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
