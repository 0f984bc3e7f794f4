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
  if (mLeft) {
    return actions;
  }
  const std::vector<std::string> order = RankOrder(mDataCentre, aLiveMembers);
  const auto own = std::find(order.begin(), order.end(), mNode);
  mRank.reset();
  if (own != order.end()) {
    mRank = static_cast<std::size_t>(own - order.begin());
  }
  Become(RoleAt(aNow), actions);

  const bool tries =
    mRole == RelayRole::Relay || (mRank && *mRank < mOptions.mCandidates);
  if (tries && !mWaiting && aNow >= mNextRequest) {
    mWaiting = true;
    mSent = aNow;
    // Jitter keeps the candidates of all data centres from writing together.
    mNextRequest =
      aNow + mOptions.mInterval * (0.75 + UniformFraction(aRandom) / 4);
    RequestLease request{ .mTtl = mOptions.mLease };
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
  mWaiting = false;
  if (std::holds_alternative<LeaseUnanswered>(aResult)) {
    if (!mUnansweredSince) {
      mUnansweredSince = mSent;
    }
  } else {
    mUnansweredSince.reset();
  }
  if (const auto* const lease = std::get_if<LeaseGranted>(&aResult)) {
    Granted(aNow, *lease, actions);
  }
  if (const auto* const refusal = std::get_if<LeaseRefused>(&aResult)) {
    mValidUntil = {};
    // The first in rank keeps asking, so that it notices an outage early.
    if (mRank != std::size_t{ 0 }) {
      mNextRequest = aNow + refusal->mRemaining +
                     mOptions.mMargin * UniformFraction(aRandom);
    }
  }
  if (!mLeft) {
    Become(RoleAt(aNow), actions);
  }
  return actions;
}

void
RelayElection::Granted(Millis aNow,
                       const LeaseGranted& aLease,
                       RelayActions& aActions)
{
  if (mLeft) {
    aActions.emplace_back(ReleaseLease{ aLease.mToken });
    return;
  }
  const bool renewed = aLease.mToken == mToken;
  mToken = aLease.mToken;
  // The platform counts from when it took the request, which is not before it
  // was sent.
  mValidUntil = mSent + aLease.mTtl - mOptions.mMargin;
  if (!renewed && mRole == RelayRole::Relay && aNow < mValidUntil) {
    // The lease lapsed in between; the fact needs the new token.
    aActions.emplace_back(ActAsRelay{ mToken });
  }
}

RelayRole
RelayElection::RoleAt(Millis aNow) const
{
  if (aNow < mValidUntil) {
    return RelayRole::Relay;
  }
  const bool platformSilent =
    mUnansweredSince && aNow - *mUnansweredSince > mOptions.mLease;
  return platformSilent && mRank == std::size_t{ 0 } ? RelayRole::Provisional
                                                     : RelayRole::None;
}

void
RelayElection::Become(RelayRole aRole, RelayActions& aActions)
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
  mLeft = true;
  mValidUntil = {};
  Become(RelayRole::None, actions);
  return actions;
}

} // namespace papayaway
