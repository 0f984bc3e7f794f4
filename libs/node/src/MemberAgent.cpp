#include "MemberAgent.h"

#include <mesh/Overlay.h>

namespace papayaway {

namespace {

constexpr Millis kCandidatePeriod{ 300 };
/** Addresses tried at a time while this node has no link. */
constexpr int kCandidatesAtOnce = 3;

} // namespace

MemberAgent::MemberAgent(NodeContext& aContext,
                         PeerLinks& aLinks,
                         FactSpreader& aSpreader)
  : mContext(aContext)
  , mLinks(aLinks)
  , mSpreader(aSpreader)
  , mCandidateTimer(aContext.mLoop, [this] { TryCandidates(); })
{
}

void
MemberAgent::Start(const std::string& aAdminAddress)
{
  const NodeSettings& settings = mContext.mSettings;
  mOwn = { .mNode = settings.mName,
           .mDataCentre = settings.mDataCentre,
           .mRegion = settings.mRegion,
           .mPeerAddress = mLinks.Address(),
           .mAdminAddress = aAdminAddress,
           .mIncarnation = mContext.mIncarnation };
  mSpreader.Publish(mOwn);
  mCandidates = settings.mSeeds;
  TryCandidates();
}

void
MemberAgent::SetCandidates(std::vector<std::string> aAddresses)
{
  mCandidates = mContext.mSettings.mSeeds;
  mCandidates.insert(mCandidates.end(), aAddresses.begin(), aAddresses.end());
  if (mLinks.MeshLinks().empty()) {
    TryCandidates();
  }
}

void
MemberAgent::TryCandidates()
{
  if (mLinks.MeshLinks().empty() && !mCandidates.empty() && !mLeaving) {
    for (int i = 0; i < kCandidatesAtOnce; ++i) {
      mLinks.Probe(
        mCandidates[UniformBelow(mContext.mRandom, mCandidates.size())]);
    }
  }
  mCandidateTimer.StartOnce(mContext.Jittered(kCandidatePeriod));
}

void
MemberAgent::SetRelay(bool aIsRelay)
{
  mIsRelay = aIsRelay;
  UpdateLinks();
}

void
MemberAgent::OnLinkOpened(const LinkInfo&)
{
}

void
MemberAgent::OnLinkLost(const LinkInfo&)
{
}

void
MemberAgent::OnHeartbeat(const LinkInfo&, const Heartbeat&)
{
}

void
MemberAgent::OnFact(const Fact& aFact)
{
  const bool ofLinks = std::holds_alternative<MemberFact>(aFact) ||
                       std::holds_alternative<RelayFact>(aFact);
  if (!ofLinks || mLeaving) {
    return;
  }
  RefuteIfNeeded();
  if (!mUpdateScheduled) {
    mUpdateScheduled = true;
    mContext.mLoop.Defer([this] {
      mUpdateScheduled = false;
      UpdateLinks();
    });
  }
}

void
MemberAgent::RefuteIfNeeded()
{
  const MemberFact* const known =
    mSpreader.Store().Member(mContext.mSettings.mName);
  if (known == nullptr || *known == mOwn) {
    return;
  }
  mOwn.mIncarnation = std::max(mOwn.mIncarnation, known->mIncarnation) + 1;
  mSpreader.Publish(mOwn);
}

void
MemberAgent::UpdateLinks()
{
  if (mLeaving) {
    return;
  }
  const FactStore& facts = mSpreader.Store();
  std::map<std::string, std::string> wanted;
  for (const std::string& node :
       RingPeers(mOwn.mNode, LiveMembers(facts, mOwn.mDataCentre))) {
    wanted[node] = facts.Member(node)->mPeerAddress;
  }
  if (mIsRelay) {
    for (const RelayFact& relay : RelayPeers(facts, mOwn)) {
      wanted[relay.mNode] = relay.mPeerAddress;
    }
  }
  mLinks.SetWanted(std::move(wanted));
}

void
MemberAgent::Leave()
{
  mLeaving = true;
  mCandidateTimer.Stop();
  mOwn.mState = MemberState::Left;
  mSpreader.Publish(mOwn);
  mLinks.SetWanted({});
}

} // namespace papayaway
