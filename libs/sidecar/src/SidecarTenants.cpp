// Sidecar: whether the store has confirmed what this node knows, and whether
// the desired state in force is new enough to accept tenants.

#include <algorithm>

#include "SidecarImpl.h"

namespace papayaway::sidecar {

std::uint64_t
Sidecar::Impl::StateVersion() const
{
  return mRoutingTable ? mRoutingTable->State().mVersion : 0;
}

bool
Sidecar::Impl::HasTenants() const
{
  return mRoutingTable && mRoutingTable->Tenants()->IsActive();
}

gateway::FollowState
Sidecar::Impl::OwnFollowState() const
{
  // A node that has not read the nodes' table does not follow, so others would
  // take it for one that will.
  return HasTenants() && !mSync.NodesRead() && !mSync.StoreAvailable()
           ? gateway::FollowState::Failing
           : FollowStateOf(mSettings.mName);
}

gateway::FollowState
Sidecar::Impl::FollowStateOf(const std::string& aNode) const
{
  const auto found = mFollowStates.find(aNode);
  const gateway::FollowState reported =
    aNode == mSettings.mName       ? mSync.FollowingState()
    : found == mFollowStates.end() ? gateway::FollowState::Idle
                                   : found->second;
  // A call that waits at the store fails long after the store was lost.
  return reported == gateway::FollowState::Working &&
             !mConfirmations.IsConfirmed(aNode, BootNow())
           ? gateway::FollowState::Failing
           : reported;
}

void
Sidecar::Impl::OnStoreConfirmed(Millis aAt)
{
  const Millis now = BootNow();
  mFreshness.OnStoreAnswer(aAt, now);
  mConfirmations.OnConfirmed(mSettings.mName, aAt, now);
  if (!mSync.IsFollowing()) {
    return;
  }
  const ConfirmationMessage message{ .mNode = mSettings.mName,
                                     .mAgo = now - aAt,
                                     .mStateVersion = StateVersion() };
  SendInDataCentre(message);
  for (const std::string& dataCentre : mTopology.OtherDataCentres(false)) {
    SendToLinkNodes(dataCentre, message);
  }
}

void
Sidecar::Impl::OnConfirmation(LinkId aLink,
                              const std::string& aFrom,
                              const ConfirmationMessage& aMessage)
{
  const Millis now = BootNow();
  if (mFreshness.IgnoresReports(now) || !InOwnRegion(aMessage.mNode)) {
    return;
  }
  if (mConfirmations.OnConfirmed(
        aMessage.mNode, now - std::max(Millis{}, aMessage.mAgo), now) &&
      !InOwnDataCentre(aFrom)) {
    SendInDataCentre(aMessage);
  }
  QueryIfBehind(aLink, aFrom, aMessage.mStateVersion);
}

bool
Sidecar::Impl::LinkNodesFail(Millis aNow) const
{
  if (mTopology.IsLinkNode()) {
    return false;
  }
  const std::optional<Millis> overdueFor = mConfirmations.OverdueFor(BootNow());
  if (overdueFor && *overdueFor >= mFollowSchedule.mTakeoverTime * 0.5) {
    return true;
  }
  if (!HasTenants()) {
    return false;
  }
  bool failing = false;
  for (const std::string& node : mTopology.LinkNodes(mSettings.mDataCentre)) {
    if (!mFollowStates.contains(node) || !mMesh.Reachable(node, aNow)) {
      continue;
    }
    const gateway::FollowState state = FollowStateOf(node);
    if (state == gateway::FollowState::Working) {
      return false;
    }
    failing = failing || state == gateway::FollowState::Failing;
  }
  return failing;
}

bool
Sidecar::Impl::MustCatchUp() const
{
  return HasTenants() && mFreshness.IsStarting();
}

void
Sidecar::Impl::KeepAppliedState(const Row& aOld)
{
  if (aOld.mVersion.Exists() && aOld.mVersion == mAppliedRowVersion) {
    mReplacedState = aOld;
  }
}

void
Sidecar::Impl::OnStateApplied(gateway::StoreVersion aRowVersion)
{
  mAppliedRowVersion = aRowVersion;
  mReplacedState.reset();
}

} // namespace papayaway::sidecar
