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
Membership::SetChosenPeers(Millis aNow, const std::vector<std::string>& aPeers)
{
  for (auto& [peer, monitored] : mMonitoredPeers) {
    monitored.mChosen = false;
  }
  for (const std::string& peer : aPeers) {
    const auto [item, added] = mMonitoredPeers.try_emplace(peer);
    item->second.mChosen = true;
    if (added) {
      item->second.mSilentSince = aNow + mOptions.mConnectTimeout;
    }
  }
  std::erase_if(mMonitoredPeers, [](const auto& aItem) {
    return !aItem.second.mChosen && !aItem.second.mLinked;
  });
}

void
Membership::OnLinkUp(Millis aNow, const std::string& aPeer)
{
  MonitoredPeer& monitored = mMonitoredPeers[aPeer];
  monitored.mLinked = true;
  monitored.mSilentSince = aNow;
}

void
Membership::OnLinkDown(const std::string& aPeer)
{
  const auto found = mMonitoredPeers.find(aPeer);
  if (found == mMonitoredPeers.end()) {
    return;
  }
  found->second.mLinked = false;
  // A link that only the peer chose may be closed because the peer chose
  // another one, so the peer is no longer monitored.
  if (!found->second.mChosen) {
    mMonitoredPeers.erase(found);
  }
}

void
Membership::OnMessage(Millis aNow, const std::string& aPeer)
{
  const auto found = mMonitoredPeers.find(aPeer);
  if (found != mMonitoredPeers.end()) {
    found->second.mSilentSince = aNow;
  }
}

MembershipActions
Membership::OnFactMerged(Millis aNow, const Fact& aFact, Random& aRandom)
{
  MembershipActions actions;
  const auto* const member = std::get_if<MemberFact>(&aFact);
  if (member == nullptr) {
    return actions;
  }
  if (member->mNode != mSelf.mNode) {
    UpdateSuspicions(aNow, *member, aRandom);
  } else if (mSelf.mState == MemberState::Alive && *member != mSelf) {
    mIncarnationToRefute =
      std::max(mIncarnationToRefute.value_or(0), member->mIncarnation);
    Refute(aNow, actions);
  }
  return actions;
}

void
Membership::Refute(Millis aNow, MembershipActions& aActions)
{
  const bool tooSoon = mLastRefutation && aNow - *mLastRefutation <
                                            mOptions.mMinRefutationInterval;
  if (!mIncarnationToRefute || tooSoon) {
    return;
  }
  mSelf.mIncarnation = std::max(mSelf.mIncarnation, *mIncarnationToRefute) + 1;
  mIncarnationToRefute.reset();
  mLastRefutation = aNow;
  aActions.emplace_back(PublishMember{ mSelf });
}

void
Membership::UpdateSuspicions(Millis aNow,
                             const MemberFact& aFact,
                             Random& aRandom)
{
  const auto raised = mRaisedSuspicions.find(aFact.mNode);
  if (aFact.mState == MemberState::Suspect) {
    const bool isOwn = raised != mRaisedSuspicions.end() &&
                       raised->second.mPending &&
                       raised->second.mIncarnation == aFact.mIncarnation;
    // Jitter keeps the members that did not raise the suspicion from declaring
    // the member dead all at the same time.
    const Millis backupDelay =
      mOptions.mBackupDelay * (isOwn ? 0.0 : 1 + UniformFraction(aRandom));
    mSuspicions.insert_or_assign(
      aFact.mNode,
      Suspicion{
        aFact.mIncarnation, aNow, mOptions.mRefutationTimeout + backupDelay });
    return;
  }
  mSuspicions.erase(aFact.mNode);
  if (aFact.mState != MemberState::Alive) {
    mRaisedSuspicions.erase(aFact.mNode);
    return;
  }
  if (raised != mRaisedSuspicions.end() && raised->second.mPending) {
    RaisedSuspicion& refuted = raised->second;
    refuted.mPending = false;
    refuted.mSuspectBackoff =
      refuted.mSuspectBackoff == Millis{}
        ? mOptions.mFirstSuspectBackoff
        : std::min(refuted.mSuspectBackoff * 2, mOptions.mMaxSuspectBackoff);
    refuted.mNextAllowed = aNow + refuted.mSuspectBackoff;
  }
}

MembershipActions
Membership::Tick(Millis aNow, const FactStore& aFacts)
{
  MembershipActions actions;
  if (mSelf.mState != MemberState::Alive) {
    return actions;
  }
  if (mLastTick && aNow - *mLastTick > mOptions.mMaxTickGap) {
    // Messages that arrived during the pause may not have been read yet.
    RestartTimeouts(aNow);
  }
  mLastTick = aNow;
  if (aNow >= mNextHeartbeat) {
    mNextHeartbeat = aNow + mOptions.mHeartbeatPeriod;
    ++mHeartbeats;
    for (const auto& [peer, monitored] : mMonitoredPeers) {
      if (monitored.mLinked) {
        actions.emplace_back(SendHeartbeat{ peer, mHeartbeats });
      }
    }
  }
  Refute(aNow, actions);
  SuspectSilentPeers(aNow, aFacts, actions);
  DeclareDead(aNow, aFacts, actions);
  return actions;
}

void
Membership::RestartTimeouts(Millis aNow)
{
  ++mLateTicks;
  for (auto& [peer, monitored] : mMonitoredPeers) {
    monitored.mSilentSince = std::max(monitored.mSilentSince, aNow);
  }
  for (auto& [node, suspicion] : mSuspicions) {
    suspicion.mRaised = aNow;
  }
}

void
Membership::SuspectSilentPeers(Millis aNow,
                               const FactStore& aFacts,
                               MembershipActions& aActions)
{
  for (auto& [peer, monitored] : mMonitoredPeers) {
    if (aNow - monitored.mSilentSince < mOptions.mSuspectTimeout) {
      continue;
    }
    if (monitored.mLinked) {
      monitored.mLinked = false;
      aActions.emplace_back(DropLink{ peer });
    }
    const MemberFact* const member = aFacts.Member(peer);
    if (member == nullptr || member->mState != MemberState::Alive) {
      continue;
    }
    RaisedSuspicion& raised = mRaisedSuspicions[peer];
    if (aNow < raised.mNextAllowed) {
      continue;
    }
    raised.mIncarnation = member->mIncarnation;
    raised.mPending = true;
    MemberFact suspect = *member;
    suspect.mState = MemberState::Suspect;
    aActions.emplace_back(PublishMember{ std::move(suspect) });
  }
  std::erase_if(mRaisedSuspicions, [&](const auto& aItem) {
    return !aItem.second.mPending &&
           aItem.second.mNextAllowed + mOptions.mMaxSuspectBackoff < aNow;
  });
}

void
Membership::DeclareDead(Millis aNow,
                        const FactStore& aFacts,
                        MembershipActions& aActions)
{
  std::erase_if(mSuspicions, [&](const auto& aItem) {
    const auto& [node, suspicion] = aItem;
    if (aNow - suspicion.mRaised < suspicion.mTimeout) {
      return false;
    }
    const MemberFact* const member = aFacts.Member(node);
    if (member != nullptr && member->mState == MemberState::Suspect &&
        member->mIncarnation == suspicion.mIncarnation) {
      MemberFact dead = *member;
      dead.mState = MemberState::Dead;
      aActions.emplace_back(PublishMember{ std::move(dead) });
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
