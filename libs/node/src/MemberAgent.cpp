#include "MemberAgent.h"

#include <mesh/Overlay.h>

namespace papayaway {

namespace {

constexpr Millis kTickPeriod{ 200 };
constexpr Millis kCandidatePeriod{ 300 };
/** How many addresses are tried at a time while this node has no mesh link. */
constexpr int kCandidatesAtOnce = 3;

const char*
Describe(MemberState aState)
{
  switch (aState) {
    case MemberState::Alive:
      return " is alive";
    case MemberState::Suspect:
      return " is suspect";
    case MemberState::Left:
      return " has left";
    case MemberState::Dead:
      return " is dead";
  }
  return " is dead";
}

} // namespace

MemberAgent::MemberAgent(NodeContext& aContext,
                         PeerLinks& aLinks,
                         FactReplicator& aReplicator)
  : mContext(aContext)
  , mLinks(aLinks)
  , mReplicator(aReplicator)
  , mTickTimer(aContext.mLoop, [this] { Tick(); })
  , mCandidateTimer(aContext.mLoop, [this] { TryCandidates(); })
{
}

void
MemberAgent::Start(const std::string& aAdminAddress)
{
  const NodeSettings& settings = mContext.mSettings;
  mMembership.emplace(MemberFact{ .mNode = settings.mName,
                                  .mDataCentre = settings.mDataCentre,
                                  .mRegion = settings.mRegion,
                                  .mPeerAddress = mLinks.Address(),
                                  .mAdminAddress = aAdminAddress,
                                  .mIncarnation = mContext.mIncarnation });
  Perform(mMembership->Start());
  mCandidates = settings.mSeeds;
  mTickTimer.StartRepeating(kTickPeriod);
  TryCandidates();
}

void
MemberAgent::Perform(const MembershipActions& aActions)
{
  for (const MembershipAction& action : aActions) {
    if (const auto* const heartbeat = std::get_if<SendHeartbeat>(&action)) {
      mLinks.SendToMesh(heartbeat->mPeer, Heartbeat{ heartbeat->mCount });
    } else if (const auto* const publish =
                 std::get_if<PublishMember>(&action)) {
      mReplicator.Publish(publish->mFact);
    } else if (const auto* const drop = std::get_if<DropLink>(&action)) {
      mContext.Record({ .mPart = "mesh",
                        .mKind = EventKind::LinkLost,
                        .mText = "link to " + drop->mPeer + " is silent" });
      mLinks.CloseNode(drop->mPeer, "the peer is silent");
    }
  }
}

void
MemberAgent::Tick()
{
  Perform(mMembership->Tick(SteadyNow(), mReplicator.Store()));
}

void
MemberAgent::SetCandidates(const std::vector<std::string>& aAddresses)
{
  mCandidates = mContext.mSettings.mSeeds;
  mCandidates.insert(mCandidates.end(), aAddresses.begin(), aAddresses.end());
  TryCandidates();
}

void
MemberAgent::TryCandidates()
{
  if (mLinks.MeshLinks().empty() && !mCandidates.empty() && !mLeaving) {
    for (int i = 0; i < kCandidatesAtOnce; ++i) {
      mLinks.ConnectToAddress(
        mCandidates[UniformBelow(mContext.mRandom, mCandidates.size())]);
    }
  }
  mCandidateTimer.StartOnce(mContext.Jittered(kCandidatePeriod));
}

void
MemberAgent::SetRelay(bool aIsRelay)
{
  mIsRelay = aIsRelay;
  ScheduleUpdate();
}

void
MemberAgent::OnLinkOpened(const LinkInfo& aLink)
{
  if (!aLink.mCallsOnly) {
    mMembership->OnLinkUp(SteadyNow(), aLink.mNode);
  }
}

void
MemberAgent::OnLinkLost(const LinkInfo& aLink)
{
  if (!aLink.mCallsOnly && !mLinks.HasMeshLink(aLink.mNode)) {
    mMembership->OnLinkDown(aLink.mNode);
  }
}

void
MemberAgent::OnMessageReceived(const LinkInfo& aLink)
{
  if (!aLink.mCallsOnly) {
    mMembership->OnMessage(SteadyNow(), aLink.mNode);
  }
}

void
MemberAgent::OnFact(const Fact& aFact)
{
  if (!mMembership || mLeaving) {
    return;
  }
  Perform(mMembership->OnFactMerged(SteadyNow(), aFact, mContext.mRandom));
  if (const auto* const member = std::get_if<MemberFact>(&aFact)) {
    RecordChange(*member);
    ScheduleUpdate();
  } else if (std::holds_alternative<RelayFact>(aFact)) {
    ScheduleUpdate();
  }
}

void
MemberAgent::RecordChange(const MemberFact& aMember)
{
  const auto [known, isNew] =
    mKnownStates.try_emplace(aMember.mNode, aMember.mState);
  if (!isNew && known->second == aMember.mState) {
    return;
  }
  known->second = aMember.mState;
  mContext.Record({ .mPart = "mesh",
                    .mKind = EventKind::MemberChanged,
                    .mText = aMember.mNode + Describe(aMember.mState) });
}

void
MemberAgent::ScheduleUpdate()
{
  // Facts arrive in batches; the links are selected once per batch.
  if (!mUpdateScheduled) {
    mUpdateScheduled = true;
    mContext.mLoop.Defer([this] {
      mUpdateScheduled = false;
      UpdateLinks();
    });
  }
}

void
MemberAgent::UpdateLinks()
{
  if (mLeaving) {
    return;
  }
  const FactStore& facts = mReplicator.Store();
  const MemberFact& own = mMembership->Self();
  std::map<std::string, std::string> wanted;
  for (const std::string& node :
       RingPeers(own.mNode, LiveMembers(facts, own.mDataCentre))) {
    wanted[node] = facts.Member(node)->mPeerAddress;
  }
  if (mIsRelay) {
    for (const RelayFact& relay : RelayPeers(facts, own)) {
      wanted[relay.mNode] = relay.mPeerAddress;
    }
  }
  std::vector<std::string> chosen;
  chosen.reserve(wanted.size());
  for (const auto& [node, address] : wanted) {
    chosen.push_back(node);
  }
  mMembership->SetChosenPeers(SteadyNow(), chosen);
  mLinks.SetMeshPeers(std::move(wanted));
}

void
MemberAgent::Leave()
{
  mLeaving = true;
  mTickTimer.Stop();
  mCandidateTimer.Stop();
  Perform(mMembership->Leave());
  mLinks.SetMeshPeers({});
}

} // namespace papayaway
