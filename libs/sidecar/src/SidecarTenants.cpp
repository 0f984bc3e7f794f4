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
Sidecar::Impl::MustCatchUp() const
{
  return mRoutingTable && mRoutingTable->Tenants()->IsActive() &&
         mFreshness.IsStarting();
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
