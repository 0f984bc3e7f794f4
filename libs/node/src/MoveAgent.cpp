#include "MoveAgent.h"

#include <algorithm>

#include <rollout/MoveReport.h>

#include "MoveRecord.h"

namespace papayaway {

namespace {

constexpr Millis kTickPeriod{ 500 };
/** Bounds the entries of unsent evidence; there is one per service, version and
 *  route. */
constexpr std::size_t kMaxUnsentEvidence = 1024;

} // namespace

MoveAgent::MoveAgent(NodeContext& aContext,
                     PeerLinks& aLinks,
                     FactReplicator& aReplicator,
                     PlatformClient& aClient,
                     std::function<bool()> aMayConduct)
  : mContext(aContext)
  , mLinks(aLinks)
  , mReplicator(aReplicator)
  , mClient(aClient)
  , mMayConduct(std::move(aMayConduct))
  , mTimer(aContext.mLoop, [this] { Tick(); })
{
}

void
MoveAgent::Start()
{
  mLease.emplace(mContext, mClient, mLinks.Address(), [this] {
    mContext.Record({ .mPart = "conductor",
                      .mKind = EventKind::ConductorChanged,
                      .mText = "this node conducts the version moves" });
    mReplicator.Publish(ConductorFact{ .mNode = mContext.mSettings.mName,
                                       .mPeerAddress = mLinks.Address(),
                                       .mToken = mLease->Token() });
    RestoreMoves();
  });
  mTimer.StartRepeating(kTickPeriod);
}

void
MoveAgent::Stop()
{
  mTimer.Stop();
  if (mLease) {
    mLease->Release();
  }
}

std::optional<MoveFact>
MoveAgent::FactOf(const Service& aService) const
{
  const VersionMove& move = *aService.mMove;
  const MoveFact wanted{ .mService = aService.mName,
                         .mTo = move.mTo,
                         .mAttempt = move.mAttempt };
  const auto* const fact = mReplicator.Store().Find<MoveFact>(FactKey(wanted));
  return fact == nullptr ? std::nullopt : std::optional(*fact);
}

bool
MoveAgent::IsOver(const Service& aService) const
{
  const std::optional<MoveFact> fact = FactOf(aService);
  return fact && fact->mState != MoveState::Running;
}

bool
MoveAgent::HasOpenMove() const
{
  const auto& services = mReplicator.Current().mServices;
  return std::any_of(
    services.begin(), services.end(), [&](const Service& aService) {
      return aService.mMove && !IsOver(aService);
    });
}

std::vector<std::string>
MoveAgent::ServingNodes(const std::string& aService,
                        const std::string& aVersion) const
{
  std::vector<std::string> nodes;
  mReplicator.Store().ForEach<EndpointFact>([&](const EndpointFact& aEndpoint) {
    if (aEndpoint.mService == aService && aEndpoint.mVersion == aVersion &&
        aEndpoint.mState == EndpointState::Ready) {
      nodes.push_back(aEndpoint.mNode);
    }
  });
  return nodes;
}

std::vector<std::string>
MoveAgent::UnreachableDataCentres() const
{
  const FactStore& facts = mReplicator.Store();
  std::vector<std::string> unreachable;
  for (const RegionLayout& region : mReplicator.Current().mRegions) {
    for (const std::string& dataCentre : region.mDataCentres) {
      const auto* const relay = facts.Find<RelayFact>("relay/" + dataCentre);
      const MemberFact* const member =
        relay == nullptr ? nullptr : facts.Member(relay->mNode);
      if (member == nullptr || member->mState != MemberState::Alive) {
        unreachable.push_back(dataCentre);
      }
    }
  }
  return unreachable;
}

MoveInput
MoveAgent::InputOf(const Service& aService) const
{
  const Document& document = mReplicator.Current();
  MoveInput input{ .mService = aService.mName,
                   .mMove = *aService.mMove,
                   .mCurrent = FactOf(aService) };
  for (const VersionShare& version : aService.mVersions) {
    if (version.mName != aService.mMove->mTo) {
      input.mOldVersions.push_back(version.mName);
    }
  }
  std::set<std::string> prefixes;
  for (const Route& route : document.mRoutes) {
    if (route.mService == aService.mName) {
      prefixes.insert(route.mPrefix);
    }
  }
  input.mRoutes.assign(prefixes.begin(), prefixes.end());
  input.mHoldsLease = mLease && mLease->IsHeld();
  input.mToken = mLease ? mLease->Token() : 0;
  input.mTargetsReady =
    !ServingNodes(aService.mName, aService.mMove->mTo).empty();
  input.mAllDataCentresObserved = UnreachableDataCentres().empty();
  return input;
}

void
MoveAgent::Tick()
{
  SendEvidence();
  const bool compete = mMayConduct() && (HasOpenMove() || mLease->IsHeld());
  mLease->Tick(compete);
  for (const Service& service : mReplicator.Current().mServices) {
    if (!service.mMove) {
      continue;
    }
    DecideTakeBack(service);
    if (mLease->IsHeld()) {
      Conduct(service);
    }
  }
}

void
MoveAgent::Conduct(const Service& aService)
{
  if (mPendingWrites.contains(aService.mName)) {
    return;
  }
  const std::optional<MoveFact> next =
    mController.NextFact(InputOf(aService), mWindow, WallNow());
  if (!next) {
    return;
  }
  if (next->mState == MoveState::TakenBack) {
    mReplicator.Publish(*next);
  }
  Write(*next);
}

void
MoveAgent::Write(const MoveFact& aFact)
{
  mPendingWrites.insert(aFact.mService);
  Transaction transaction{ .mOperation = RandomId(mContext.mRandom),
                           .mWrites = { { MoveKeyOf(aFact), ToJson(aFact) } } };
  if (aFact.mState != MoveState::TakenBack) {
    transaction.mLeases.push_back({ "conductor", aFact.mToken });
  }
  mClient.Commit(transaction,
                 [this, aFact](const Expected<CommitResult>& aAnswer) {
                   mPendingWrites.erase(aFact.mService);
                   if (aAnswer && std::holds_alternative<Committed>(*aAnswer)) {
                     mReplicator.Publish(aFact);
                   }
                 });
}

void
MoveAgent::DecideTakeBack(const Service& aService)
{
  const MoveInput input = InputOf(aService);
  if (!input.mCurrent || input.mCurrent->mState == MoveState::TakenBack) {
    return;
  }
  const std::optional<MoveFact> fact = mTakeBackDecision.Decide(
    input, mContext.mSettings.mName, mWindow, WallNow());
  if (fact) {
    mReplicator.Publish(*fact);
    Write(*fact);
  }
}

void
MoveAgent::RestoreMoves()
{
  mClient.ScanRows(
    "moves/", [this](const Expected<std::vector<TableRow>>& aRows) {
      if (!aRows) {
        return;
      }
      for (const TableRow& row : *aRows) {
        if (const std::optional<MoveFact> fact = ParseMove(row.mValue)) {
          mReplicator.Publish(*fact);
        }
      }
    });
}

void
MoveAgent::OnObserved(const Call& aCall, bool aFailed, Millis aLatency)
{
  const Service* const service =
    mReplicator.Current().FindService(aCall.mService);
  if (service == nullptr || !service->mMove) {
    return;
  }
  const EvidenceKey key{ aCall.mService, aCall.mVersion, aCall.mRoute };
  if (!mUnsentEvidence.contains(key) &&
      mUnsentEvidence.size() >= kMaxUnsentEvidence) {
    return;
  }
  Evidence& evidence = mUnsentEvidence[key];
  ++evidence.mCalls;
  evidence.mFailures += aFailed ? 1 : 0;
  evidence.mLatencySum += aLatency.mCount;
  evidence.mLatencySquareSum += aLatency.mCount * aLatency.mCount;
  if (aFailed && aCall.mVersion == service->mMove->mTo) {
    // A failure of the new version is handled at once rather than on the next
    // tick.
    SendEvidence();
    DecideTakeBack(*service);
  }
}

void
MoveAgent::SendEvidence()
{
  const auto* const conductor =
    mReplicator.Store().Find<ConductorFact>("conductor");
  for (auto& [key, evidence] : mUnsentEvidence) {
    evidence.mNode = mContext.mSettings.mName;
    std::tie(evidence.mService, evidence.mVersion, evidence.mRoute) = key;
    mWindow.Add(evidence, mContext.mSettings.mDataCentre, WallNow());
    if (conductor != nullptr && conductor->mNode != evidence.mNode) {
      mLinks.SendToNode(conductor->mNode, conductor->mPeerAddress, evidence);
    }
  }
  mUnsentEvidence.clear();
}

void
MoveAgent::OnEvidence(const LinkInfo& aLink, const Evidence& aEvidence)
{
  mWindow.Add(aEvidence, aLink.mDataCentre, WallNow());
}

void
MoveAgent::OnFact(const Fact& aFact)
{
  if (const auto* const move = std::get_if<MoveFact>(&aFact)) {
    mContext.Record({ .mPart = "conductor",
                      .mKind = KindOf(move->mState),
                      .mService = move->mService,
                      .mVersion = move->mTo,
                      .mText = Describe(*move) });
    UpdateExposure();
  } else if (std::holds_alternative<EndpointFact>(aFact)) {
    UpdateExposure();
  }
}

void
MoveAgent::OnDocumentChanged()
{
  UpdateExposure();
}

void
MoveAgent::UpdateExposure()
{
  const Document& document = mReplicator.Current();
  std::erase_if(mExposure, [&](const auto& aEntry) {
    const Service* const service = document.FindService(aEntry.first);
    return service == nullptr || !service->mMove;
  });
  for (const Service& service : document.mServices) {
    if (!service.mMove) {
      continue;
    }
    const MoveFact notStarted{ .mService = service.mName,
                               .mTo = service.mMove->mTo,
                               .mAttempt = service.mMove->mAttempt };
    mExposure[service.mName].Update(
      FactOf(service).value_or(notStarted),
      mContext.mSettings.mName,
      ServingNodes(service.mName, service.mMove->mTo));
  }
}

bool
MoveAgent::AdmitExposure(const Call& aCall)
{
  const Service* const service =
    mReplicator.Current().FindService(aCall.mService);
  if (service == nullptr || !service->mMove ||
      service->mMove->mTo != aCall.mVersion) {
    return true;
  }
  return mExposure[aCall.mService].Admit(aCall.mRoute);
}

void
MoveAgent::ReleaseExposure(const Call& aCall)
{
  const auto found = mExposure.find(aCall.mService);
  if (found != mExposure.end()) {
    found->second.Release(aCall.mRoute);
  }
}

nlohmann::json
MoveAgent::Report() const
{
  const auto* const conductor =
    mReplicator.Store().Find<ConductorFact>("conductor");
  nlohmann::json moves = nlohmann::json::array();
  for (const Service& service : mReplicator.Current().mServices) {
    if (!service.mMove) {
      continue;
    }
    const MoveInput input = InputOf(service);
    const MoveReport report = MakeMoveReport(
      { .mService = service.mName,
        .mMove = *service.mMove,
        .mFact = input.mCurrent,
        .mUnreachableDataCentres = UnreachableDataCentres(),
        .mConductor = conductor == nullptr ? "" : conductor->mNode,
        .mWaitReason = mController.WaitReason(input) },
      WallNow());
    moves.push_back(
      { { "service", report.mService },
        { "to", report.mTo },
        { "attempt", report.mAttempt },
        { "state", ToString(report.mProgress) },
        { "stage", report.mStage },
        { "share", report.mShare },
        { "reason", report.mReason },
        { "unobserved", report.mUnobserved },
        { "started_ms",
          input.mCurrent ? input.mCurrent->mStarted.mCount : 0 } });
  }
  return { { "moves", moves } };
}

} // namespace papayaway
