// Sidecar: whether the desired state in force is new enough to accept tenants.

#include <ctime>

#include "SidecarImpl.h"

namespace papayaway::sidecar {

Millis
BootNow()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Seconds(static_cast<double>(time.tv_sec)) +
         Millis{ static_cast<double>(time.tv_nsec) / 1e6 };
}

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
           : mSync.FollowingState();
}

bool
Sidecar::Impl::LinkNodesFail(Millis aNow) const
{
  if (!HasTenants() || mTopology.IsLinkNode()) {
    return false;
  }
  bool failing = false;
  for (const std::string& node : mTopology.LinkNodes(mSettings.mDataCentre)) {
    const auto state = mFollowStates.find(node);
    if (state == mFollowStates.end() || !mMesh.Reachable(node, aNow)) {
      continue;
    }
    if (state->second == gateway::FollowState::Working) {
      return false;
    }
    failing = failing || state->second == gateway::FollowState::Failing;
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
  if (aOld.mVersion != 0 && aOld.mVersion == mAppliedRowVersion) {
    mReplacedState = aOld;
  }
}

void
Sidecar::Impl::OnStateApplied(std::uint64_t aRowVersion)
{
  mAppliedRowVersion = aRowVersion;
  mReplacedState.reset();
}

} // namespace papayaway::sidecar
