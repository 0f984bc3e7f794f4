#include <mesh/Membership.h>

#include <algorithm>
#include <utility>

namespace papayaway {

Membership::Membership(MemberFact aSelf, MembershipOptions aOptions)
  : mSelf(std::move(aSelf))
  , mOptions(aOptions)
{
}

MembershipActions
Membership::Start()
{
  return { PublishMember{ mSelf } };
}

void
Membership::SetChosen(Millis aNow, const std::vector<std::string>& aPeers)
{
  for (auto& [peer, watched] : mWatched) {
    watched.mChosen = false;
  }
  for (const std::string& peer : aPeers) {
    const auto [item, added] = mWatched.try_emplace(peer);
    item->second.mChosen = true;
    if (added) {
      item->second.mSince = aNow + mOptions.mConnect;
    }
  }
  std::erase_if(mWatched, [](const auto& aItem) {
    return !aItem.second.mChosen && !aItem.second.mLinked;
  });
}

void
Membership::LinkUp(Millis aNow, const std::string& aPeer)
{
  Watched& watched = mWatched[aPeer];
  watched.mLinked = true;
  watched.mSince = aNow;
}

void
Membership::LinkDown(const std::string& aPeer)
{
  const auto found = mWatched.find(aPeer);
  if (found == mWatched.end()) {
    return;
  }
  found->second.mLinked = false;
  // A peer that chose this node may close the link because it chooses another.
  if (!found->second.mChosen) {
    mWatched.erase(found);
  }
}

void
Membership::Heard(Millis aNow, const std::string& aPeer)
{
  const auto found = mWatched.find(aPeer);
  if (found != mWatched.end()) {
    found->second.mSince = aNow;
  }
}

MembershipActions
Membership::Merged(Millis aNow, const Fact& aFact, Random& aRandom)
{
  MembershipActions actions;
  const auto* const member = std::get_if<MemberFact>(&aFact);
  if (member == nullptr) {
    return actions;
  }
  if (member->mNode != mSelf.mNode) {
    Track(aNow, *member, aRandom);
  } else if (mSelf.mState == MemberState::Alive && *member != mSelf) {
    mToRefute = std::max(mToRefute.value_or(0), member->mIncarnation);
    Refute(aNow, actions);
  }
  return actions;
}

void
Membership::Refute(Millis aNow, MembershipActions& aOut)
{
  const bool tooSoon =
    mLastRefutation && aNow - *mLastRefutation < mOptions.mRefutationGap;
  if (!mToRefute || tooSoon) {
    return;
  }
  mSelf.mIncarnation = std::max(mSelf.mIncarnation, *mToRefute) + 1;
  mToRefute.reset();
  mLastRefutation = aNow;
  aOut.emplace_back(PublishMember{ mSelf });
}

void
Membership::Track(Millis aNow, const MemberFact& aFact, Random& aRandom)
{
  const auto accusation = mAccusations.find(aFact.mNode);
  if (aFact.mState == MemberState::Suspect) {
    const bool own = accusation != mAccusations.end() &&
                     accusation->second.mOpen &&
                     accusation->second.mIncarnation == aFact.mIncarnation;
    // The jitter spreads the members that act in place of the accuser.
    const Millis later =
      mOptions.mBackup * (own ? 0.0 : 1 + UniformFraction(aRandom));
    mSuspicions.insert_or_assign(
      aFact.mNode,
      Suspicion{ aFact.mIncarnation, aNow, mOptions.mRefutation + later });
    return;
  }
  mSuspicions.erase(aFact.mNode);
  if (aFact.mState != MemberState::Alive) {
    mAccusations.erase(aFact.mNode);
    return;
  }
  if (accusation != mAccusations.end() && accusation->second.mOpen) {
    Accusation& refuted = accusation->second;
    refuted.mOpen = false;
    refuted.mHold = refuted.mHold == Millis{}
                      ? mOptions.mFirstHold
                      : std::min(refuted.mHold * 2, mOptions.mLongestHold);
    refuted.mNotBefore = aNow + refuted.mHold;
  }
}

MembershipActions
Membership::Tick(Millis aNow, const FactStore& aFacts)
{
  MembershipActions actions;
  if (mSelf.mState != MemberState::Alive) {
    return actions;
  }
  if (mLastTick && aNow - *mLastTick > mOptions.mLateTick) {
    // Messages that arrived meanwhile may not have been read yet.
    ClearSilence(aNow);
  }
  mLastTick = aNow;
  if (aNow >= mNextHeartbeat) {
    mNextHeartbeat = aNow + mOptions.mHeartbeat;
    ++mHeartbeats;
    for (const auto& [peer, watched] : mWatched) {
      if (watched.mLinked) {
        actions.emplace_back(SendHeartbeat{ peer, mHeartbeats });
      }
    }
  }
  Refute(aNow, actions);
  Suspect(aNow, aFacts, actions);
  Bury(aNow, aFacts, actions);
  return actions;
}

void
Membership::ClearSilence(Millis aNow)
{
  ++mLateTicks;
  for (auto& [peer, watched] : mWatched) {
    watched.mSince = std::max(watched.mSince, aNow);
  }
  for (auto& [node, suspicion] : mSuspicions) {
    suspicion.mRaised = aNow;
  }
}

void
Membership::Suspect(Millis aNow,
                    const FactStore& aFacts,
                    MembershipActions& aOut)
{
  for (auto& [peer, watched] : mWatched) {
    if (aNow - watched.mSince < mOptions.mSilence) {
      continue;
    }
    if (watched.mLinked) {
      watched.mLinked = false;
      aOut.emplace_back(DropLink{ peer });
    }
    const MemberFact* const member = aFacts.Member(peer);
    if (member == nullptr || member->mState != MemberState::Alive) {
      continue;
    }
    Accusation& accusation = mAccusations[peer];
    if (aNow < accusation.mNotBefore) {
      continue;
    }
    accusation.mIncarnation = member->mIncarnation;
    accusation.mOpen = true;
    MemberFact suspect = *member;
    suspect.mState = MemberState::Suspect;
    aOut.emplace_back(PublishMember{ std::move(suspect) });
  }
  std::erase_if(mAccusations, [&](const auto& aItem) {
    return !aItem.second.mOpen &&
           aItem.second.mNotBefore + mOptions.mLongestHold < aNow;
  });
}

void
Membership::Bury(Millis aNow, const FactStore& aFacts, MembershipActions& aOut)
{
  std::erase_if(mSuspicions, [&](const auto& aItem) {
    const auto& [node, suspicion] = aItem;
    if (aNow - suspicion.mRaised < suspicion.mPatience) {
      return false;
    }
    const MemberFact* const member = aFacts.Member(node);
    if (member != nullptr && member->mState == MemberState::Suspect &&
        member->mIncarnation == suspicion.mIncarnation) {
      MemberFact dead = *member;
      dead.mState = MemberState::Dead;
      aOut.emplace_back(PublishMember{ std::move(dead) });
    }
    return true;
  });
}

MembershipActions
Membership::Leave()
{
  mSelf.mState = MemberState::Left;
  return { PublishMember{ mSelf } };
}

} // namespace papayaway
