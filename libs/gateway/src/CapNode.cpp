#include <gateway/CapNode.h>

#include <algorithm>
#include <utility>

namespace papayaway::gateway {

namespace {

/** How often a coordinator asks for the parts of the caps; a third of a lease,
 *  so that one lost round does not interrupt it. */
constexpr Millis kRoundPeriod{ 300 };
/** A coordinator that has not been heard for this long is silent; the first
 *  node in order takes over, and each further one kRankDelay later. */
constexpr Millis kSilence{ 700 };
constexpr Millis kRankDelay{ 250 };
constexpr std::size_t kMaxRank = 20;
/** A new process lends nothing until the leases that its predecessor granted
 *  have expired. */
constexpr Millis kStartDelay = kCapLease + Millis{ 100 };
/** How often the stocks are checked while no request waits; a shorter period
 *  increases the messages of the coordinator. */
constexpr Millis kStockPeriod{ 100 };
/** Limits the memory for loans of other nodes. */
constexpr std::size_t kMaxLoans = 2000;

} // namespace

CapNode::CapNode(CapNodeOptions aOptions, Millis aNow)
  : mOptions(std::move(aOptions))
  , mSelf{ .mDataCentre = mOptions.mDataCentre,
           .mNode = mOptions.mNode,
           .mProcess = mOptions.mProcess }
  , mStartedAt(aNow)
  , mHeardAt(aNow)
  // An answer to a request of an earlier process matches none of this one.
  , mLastRequest(mOptions.mProcess)
{
}

void
CapNode::SetTenants(const std::vector<Tenant>& aTenants, Millis aNow)
{
  const bool hadCaps = mHasCaps;
  mTerms.clear();
  for (const Tenant& tenant : aTenants) {
    if (tenant.mRequestsPerSecond > 0) {
      mTerms[tenant.mName] =
        MakeCapTerms(tenant.mRequestsPerSecond, tenant.mBurst, mOptions.mRules);
    }
  }
  mHasCaps = !mTerms.empty();
  if (mHasCaps && !hadCaps) {
    mHeardAt = aNow;
  }
  UpdateShare(aNow);
  mPool.SetTerms(mTerms, aNow);
  mCap.SetTerms(mTerms);
}

CapDecision
CapNode::Admit(const std::string& aTenant,
               std::uint64_t aId,
               Millis aHoldUntil,
               Millis aNow)
{
  const CapDecision decision = mCap.Admit(aTenant, aId, aHoldUntil, aNow);
  if (decision.mOutcome == CapOutcome::Held) {
    ProcessRequests(aNow);
  }
  return decision;
}

void
CapNode::Credit(const std::string& aTenant, Millis aTokenExpiry, Millis aNow)
{
  mCap.Credit(aTenant, aTokenExpiry, aNow);
}

void
CapNode::Send(const std::string& aNode,
              std::variant<CapReport, CapAnswer> aMessage)
{
  mSendings.push_back({ .mNode = aNode, .mMessage = std::move(aMessage) });
}

void
CapNode::UpdateShare(Millis aNow)
{
  mPool.SetShare(mLeases.Share(aNow), aNow);
}

void
CapNode::ResignAfterFreeze(Millis aNow)
{
  if (mIsCoordinator && mRoundAt.mCount > 0 && aNow >= mRoundAt + kSilence) {
    mIsCoordinator = false;
    mHeardAt = aNow;
  }
}

void
CapNode::Tick(const CapView& aView, Millis aNow)
{
  if (!mHasCaps) {
    mIsCoordinator = false;
    return;
  }
  UpdateShare(aNow);
  ResignAfterFreeze(aNow);
  // Nodes that start together must not all take over when their delay ends.
  const Millis silentSince =
    std::max(mHeardAt, mStartedAt + kStartDelay - kSilence);
  if (!mIsCoordinator && aNow >= silentSince + kSilence) {
    const std::size_t rank = std::min(aView.mRank(), kMaxRank);
    mIsCoordinator =
      aNow >= silentSince + kSilence + kRankDelay * static_cast<double>(rank);
    mRoundAt = {};
  }
  if (mIsCoordinator && aNow >= mRoundAt + kRoundPeriod) {
    StartRound(aView, aNow);
  }
  ReportLoans();
  if (mCap.HeldRequests() > 0 || !mWaiting.empty() ||
      aNow >= mStockCheckedAt + kStockPeriod) {
    mStockCheckedAt = aNow;
    ProcessRequests(aNow);
  }
}

void
CapNode::StartRound(const CapView& aView, Millis aNow)
{
  mRoundAt = aNow;
  mOwnRound = mLeases.StartRound(aNow);
  if (mLender.TryLend(mSelf, aNow)) {
    mLeases.OnLent(
      mOwnRound, mSelf.mNode, 1.0 / static_cast<double>(aView.mNodes), aNow);
    mSource = "";
  }
  const CapAnswer round{ .mRound = CapRound{ mSelf, mOwnRound },
                         .mGrants = {} };
  mSendings.push_back(
    { .mAddressee = CapAddressee::DataCentre, .mNode = {}, .mMessage = round });
  mSendings.push_back(
    { .mAddressee = CapAddressee::Relays, .mNode = {}, .mMessage = round });
}

void
CapNode::OnRound(const std::string& aFrom,
                 bool aFromOwnDataCentre,
                 const CapRound& aRound,
                 const CapView& aView,
                 Millis aNow)
{
  const CapCoordinator& coordinator = aRound.mCoordinator;
  if (coordinator.mNode == mSelf.mNode) {
    return;
  }
  std::erase_if(mLastRounds, [&](const auto& aEntry) {
    return aNow >= aEntry.second.mReceivedAt + kCapLease;
  });
  const auto last = mLastRounds.find(coordinator);
  if (last != mLastRounds.end() && aRound.mNumber <= last->second.mNumber) {
    return;
  }
  if (mIsCoordinator && mSelf < coordinator) {
    // The other one has not received this node's rounds, for example because
    // the relay of its data centre is frozen.
    Send(aFrom,
         CapAnswer{ .mRound = CapRound{ mSelf, mOwnRound }, .mGrants = {} });
    return;
  }
  if (!mIsCoordinator && mRound && mRound->mCoordinator < coordinator &&
      aNow < mHeardAt + kSilence) {
    return;
  }
  mIsCoordinator = false;
  mLastRounds[coordinator] = { .mNumber = aRound.mNumber, .mReceivedAt = aNow };
  mRound = aRound;
  mRoundFrom = aFrom;
  mHeardAt = aNow;
  mLoans.clear();
  mReportedLoans = 0;
  if (!aFromOwnDataCentre) {
    mSendings.push_back(
      { .mAddressee = CapAddressee::DataCentre,
        .mNode = {},
        .mMessage = CapAnswer{ .mRound = aRound, .mGrants = {} } });
  }
  const bool started = aNow >= mStartedAt + kStartDelay;
  if (!started) {
    mSource = aFrom;
  } else if (mLender.TryLend(coordinator, aNow)) {
    mSource = aFrom;
    mLoans[""] = 1.0 / static_cast<double>(aView.mNodes);
    if (aFromOwnDataCentre) {
      ReportLoans();
    }
  }
}

void
CapNode::ReportLoans()
{
  double sum = 0;
  for (const auto& [node, share] : mLoans) {
    sum += share;
  }
  if (mRound && sum > mReportedLoans) {
    mReportedLoans = sum;
    Send(mRoundFrom,
         CapReport{ .mLoan = CapLoan{ .mRound = *mRound, .mShare = sum },
                    .mWanted = {} });
  }
}

void
CapNode::OnReport(const std::string& aFrom,
                  const CapReport& aReport,
                  Millis aNow)
{
  if (!mHasCaps) {
    return;
  }
  UpdateShare(aNow);
  if (aReport.mLoan) {
    const CapRound& round = aReport.mLoan->mRound;
    if (round.mCoordinator == mSelf) {
      mLeases.OnLent(round.mNumber, aFrom, aReport.mLoan->mShare, aNow);
      UpdateShare(aNow);
    } else if (mRound && round == *mRound && mLoans.size() < kMaxLoans) {
      double& share = mLoans[aFrom];
      share = std::max(share, aReport.mLoan->mShare);
    }
  }
  if (aReport.mWanted.empty()) {
    return;
  }
  for (const auto& [tenant, wanted] : aReport.mWanted) {
    if (wanted > 0) {
      AddRequest(tenant,
                 { .mNode = aFrom,
                   .mRequest = aReport.mRequest,
                   .mWanted = wanted,
                   .mReceivedAt = aNow });
    }
  }
  ProcessRequests(aNow);
}

void
CapNode::OnAnswer(const std::string& aFrom,
                  bool aFromOwnDataCentre,
                  const CapAnswer& aAnswer,
                  const CapView& aView,
                  Millis aNow)
{
  if (!mHasCaps) {
    return;
  }
  UpdateShare(aNow);
  ResignAfterFreeze(aNow);
  if (aAnswer.mRound) {
    OnRound(aFrom, aFromOwnDataCentre, *aAnswer.mRound, aView, aNow);
  }
  // A repeated or outdated answer finds no request.
  auto asked = mAsked.extract(aAnswer.mRequest);
  if (asked.empty()) {
    return;
  }
  Answers answers;
  for (const CapTenantGrant& grant : aAnswer.mGrants) {
    const auto requests = asked.mapped().mRequests.extract(grant.mTenant);
    if (!requests.empty()) {
      Distribute(grant.mTenant,
                 requests.mapped(),
                 grant.mGrant,
                 asked.mapped().mSentAt + grant.mValidFor,
                 answers,
                 aNow);
    }
  }
  for (auto& [key, answer] : answers) {
    Send(key.first, std::move(answer));
  }
  ProcessRequests(aNow);
}

std::vector<CapSending>
CapNode::TakeSendings()
{
  return std::exchange(mSendings, {});
}

std::vector<CapRelease>
CapNode::TakeReleases(Millis aNow)
{
  return mCap.TakeReleases(aNow);
}

} // namespace papayaway::gateway
