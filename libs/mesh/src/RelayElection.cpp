#include <mesh/RelayElection.h>

#include <algorithm>
#include <utility>

#include <mesh/Overlay.h>

namespace papayaway {

RelayElection::RelayElection(std::string aNode,
                             std::string aDataCentre,
                             RelayElectionOptions aOptions)
  : mNode(std::move(aNode))
  , mDataCentre(std::move(aDataCentre))
  , mOptions(aOptions)
{
}

RelayActions
RelayElection::Tick(Millis aNow,
                    const std::vector<std::string>& aLiveMembers,
                    Random& aRandom)
{
  RelayActions actions;
  if (mStopped) {
    return actions;
  }
  const std::vector<std::string> ranking =
    RelayRankOrder(mDataCentre, aLiveMembers);
  const auto ownPosition = std::find(ranking.begin(), ranking.end(), mNode);
  mRank.reset();
  if (ownPosition != ranking.end()) {
    mRank = static_cast<std::size_t>(ownPosition - ranking.begin());
  }
  SetRole(RoleAt(aNow), actions);

  const bool isCandidate =
    mRole == RelayRole::Relay || (mRank && *mRank < mOptions.mMaxCandidates);
  if (isCandidate && !mRequestPending && aNow >= mNextRequest) {
    mRequestPending = true;
    mRequestSent = aNow;
    // Jitter spreads the requests of the candidates of all data centres.
    mNextRequest =
      aNow + mOptions.mRequestInterval * (0.75 + UniformFraction(aRandom) / 4);
    RequestLease request{ .mTtl = mOptions.mLeaseDuration };
    if (mRole == RelayRole::Relay) {
      request.mToken = mToken;
    }
    actions.emplace_back(request);
  }
  return actions;
}

RelayActions
RelayElection::OnResult(Millis aNow,
                        const LeaseResult& aResult,
                        Random& aRandom)
{
  RelayActions actions;
  mRequestPending = false;
  if (std::holds_alternative<LeaseRequestFailed>(aResult)) {
    if (!mUnansweredSince) {
      mUnansweredSince = mRequestSent;
    }
  } else {
    mUnansweredSince.reset();
  }
  if (const auto* const lease = std::get_if<LeaseGranted>(&aResult)) {
    ApplyGrant(aNow, *lease, actions);
  }
  if (const auto* const refusal = std::get_if<LeaseRefused>(&aResult)) {
    mValidUntil = {};
    // The first member in rank order keeps its request interval, so that it
    // detects an outage of the platform early. The others wait until the lease
    // of the holder has ended.
    if (mRank != std::size_t{ 0 }) {
      mNextRequest = aNow + refusal->mRemaining +
                     mOptions.mExpiryMargin * UniformFraction(aRandom);
    }
  }
  if (!mStopped) {
    SetRole(RoleAt(aNow), actions);
  }
  return actions;
}

void
RelayElection::ApplyGrant(Millis aNow,
                          const LeaseGranted& aLease,
                          RelayActions& aActions)
{
  if (mStopped) {
    aActions.emplace_back(ReleaseLease{ aLease.mToken });
    return;
  }
  const bool renewed = aLease.mToken == mToken;
  mToken = aLease.mToken;
  // The platform counts the lease from when it handled the request, which is
  // not before the request was sent. The end computed here is therefore never
  // later than the end at the platform.
  mValidUntil = mRequestSent + aLease.mTtl - mOptions.mExpiryMargin;
  if (!renewed && mRole == RelayRole::Relay && aNow < mValidUntil) {
    // The previous lease ended before this grant, so the relay fact has to be
    // published with the new token.
    aActions.emplace_back(ActAsRelay{ mToken });
  }
}

RelayRole
RelayElection::RoleAt(Millis aNow) const
{
  if (aNow < mValidUntil) {
    return RelayRole::Relay;
  }
  const bool platformUnavailable =
    mUnansweredSince && aNow - *mUnansweredSince > mOptions.mLeaseDuration;
  return platformUnavailable && mRank == std::size_t{ 0 }
           ? RelayRole::Provisional
           : RelayRole::None;
}

void
RelayElection::SetRole(RelayRole aRole, RelayActions& aActions)
{
  if (aRole == mRole) {
    return;
  }
  mRole = aRole;
  switch (aRole) {
    case RelayRole::None:
      aActions.emplace_back(StopRelay{});
      break;
    case RelayRole::Relay:
      aActions.emplace_back(ActAsRelay{ mToken });
      break;
    case RelayRole::Provisional:
      aActions.emplace_back(ActProvisionally{});
      break;
  }
}

RelayActions
RelayElection::Leave(Millis aNow)
{
  RelayActions actions;
  if (aNow < mValidUntil) {
    actions.emplace_back(ReleaseLease{ mToken });
  }
  mStopped = true;
  mValidUntil = {};
  SetRole(RelayRole::None, actions);
  return actions;
}

} // namespace papayaway
