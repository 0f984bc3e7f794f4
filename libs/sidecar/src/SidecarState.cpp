// Sidecar: operator rows, and the desired state in force.

#include <utility>

#include <malloc.h>

#include "SidecarImpl.h"

namespace papayaway::sidecar {

namespace {

/** The shortest time between two desired states that are put in force. In a
 *  series of changes each replaces the one before. */
constexpr Millis kMinStateInterval{ 400 };

} // namespace

void
Sidecar::Impl::OnOperatorRow(const Row& aOld, const Row& aRow)
{
  const OperatorNames& names = mProtocol.Operator();
  if (!mRowFromPeer) {
    BroadcastOperatorRow(aOld, aRow);
  }
  if (aRow.mKey == names.mDesiredStateKey) {
    KeepAppliedState(aOld);
    mPendingStateSource = mRowFromPeer ? "peer" : "store";
    ApplyPendingState(SteadyNow());
    return;
  }
  if (!aRow.mKey.starts_with(names.mRolloutPrefix) || aRow.mDeleted) {
    return;
  }
  Expected<gateway::RolloutOrder> order =
    mProtocol.DecodeRolloutOrder(aRow.mValue);
  if (!order) {
    mMetrics.mBadInput.Increment();
    mLog.WriteStateChange(
      "store",
      "bad_row",
      { { "key", aRow.mKey }, { "reason", order.error().mMessage } });
    return;
  }
  order->mOrderVersion = aRow.mVersion;
  mRollouts.OnOrder(*order);
}

void
Sidecar::Impl::ApplyPendingState(Millis aNow)
{
  const bool recent =
    mRoutingTable && aNow - mStateAppliedAt < kMinStateInterval;
  const auto row =
    mSync.OperatorRows().find(mProtocol.Operator().mDesiredStateKey);
  if (mPendingStateSource == nullptr || recent ||
      row == mSync.OperatorRows().end()) {
    return;
  }
  if (ApplyState(row->second, std::exchange(mPendingStateSource, nullptr))) {
    OnStateApplied(row->second.mVersion);
  }
}

void
Sidecar::Impl::ApplyServiceRules(const gateway::DesiredState& aState)
{
  const auto own = aState.mServices.find(mSettings.mService);
  mLocalTarget.SetServiceRule(own == aState.mServices.end() ? nullptr
                                                            : &own->second);
  mTargets.SetServiceRules(aState.mServices);
}

std::weak_ordering
Sidecar::Impl::CompareValues(const Row& aOne, const Row& aOther) const
{
  if (aOne.mKey != mProtocol.Operator().mDesiredStateKey) {
    return std::weak_ordering::equivalent;
  }
  const auto one = mProtocol.DecodeDesiredState(aOne.mValue);
  const auto other = mProtocol.DecodeDesiredState(aOther.mValue);
  if (!one || !other) {
    return std::weak_ordering::equivalent;
  }
  return one->mVersion <=> other->mVersion;
}

bool
Sidecar::Impl::ApplyState(const Row& aRow, const char* aSource)
{
  const Expected<gateway::DesiredState> state =
    mProtocol.DecodeDesiredState(aRow.mValue);
  if (!state) {
    mMetrics.mBadInput.Increment();
    mLog.WriteStateChange(
      "state",
      "bad_desired_state",
      { { "source", aSource }, { "reason", state.error().mMessage } });
    return false;
  }
  const std::uint64_t current = StateVersion();
  if (mRoutingTable && state->mVersion <= current) {
    const bool writtenAgain = state->mVersion == current &&
                              aRow.mVersion.Era() > mAppliedRowVersion.Era();
    if (!writtenAgain || *state == mRoutingTable->State()) {
      return writtenAgain;
    }
  }
  const bool first = mRoutingTable == nullptr;
  mRoutingTable = std::make_shared<gateway::RoutingTable>(*state);
  mStateAppliedAt = SteadyNow();
  mCaps.SetTenants(state->mTenants);
  mLocalTarget.SetLoadControl(!state->mTenants.empty());
  mDispatcher.SetRoutingTable(mRoutingTable);
  ApplyServiceRules(*state);
  mLocalTarget.RefuseMisplaced();
  const gateway::RequestLimits& limits = state->mLimits;
  mCallerServer->SetLimits(
    { .mSizes = { .mMaxHeaderBytes = limits.mMaxHeaderBytes,
                  .mMaxBodyBytes = limits.mMaxBodyBytes },
      .mHeaderTimeout = limits.mHeaderTimeout,
      .mIdleTimeout = limits.mIdleTimeout });
  if (first) {
    // Decoding all rules takes several times their size in memory; return it to
    // the operating system.
    malloc_trim(0);
  }
  mMetrics.mStateVersion.Set(static_cast<double>(state->mVersion));
  mLog.WriteStateChange("state",
                        "desired_state_in_force",
                        { { "version", state->mVersion },
                          { "before", current },
                          { "row_version", aRow.mVersion.ToString() },
                          { "source", aSource },
                          { "hosts", state->mHosts.size() },
                          { "services", state->mServices.size() } });
  if (first) {
    // Nodes that started at the same time see the version in the load message
    // and query this node for the state.
    SendInDataCentre(OwnLoad());
  }
  return true;
}

} // namespace papayaway::sidecar
