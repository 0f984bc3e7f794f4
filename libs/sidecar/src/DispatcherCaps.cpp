// Dispatcher: the usage caps of tenants.

#include <algorithm>

#include <sidecar/Dispatcher.h>

namespace papayaway::sidecar {

namespace {

/** A request waits for a token of its tenant at most this fraction of its
 *  latency objective; a refusal after more than an eighth has less worth. */
constexpr double kHoldFraction = 0.1;

} // namespace

void
Dispatcher::AdmitAndDispatch(std::uint64_t aId)
{
  ActiveRequest& active = mActiveRequests.at(aId);
  const std::string tenant = active.mTenant;
  active.mWaitsForToken = true;
  mDependencies.mCaps.Admit(
    tenant,
    std::min(active.mRule->mObjective * kHoldFraction,
             (active.mDeadline - SteadyNow()) * kHoldFraction),
    [this, aId, tenant](const gateway::CapDecision& aDecision) {
      const auto found = mActiveRequests.find(aId);
      if (found == mActiveRequests.end()) {
        // The caller has disconnected, or the deadline has passed.
        mDependencies.mCaps.Credit(tenant, aDecision.mTokenExpiry);
        return;
      }
      found->second.mWaitsForToken = false;
      found->second.mTokenExpiry = aDecision.mTokenExpiry;
      if (aDecision.mOutcome == gateway::CapOutcome::Refused) {
        AnswerOverCap(aId, aDecision.mRetryAfter);
        return;
      }
      mBudget.OnRequest(found->second.mService, SteadyNow());
      Dispatch(aId);
    });
}

void
Dispatcher::AdmitAndRetry(std::uint64_t aId)
{
  ActiveRequest& active = mActiveRequests.at(aId);
  if (active.mTenant.empty()) {
    Dispatch(aId);
    return;
  }
  const std::string tenant = active.mTenant;
  // Nothing that still arrives about the last attempt applies to the next one.
  active.mNode.clear();
  active.mLink = 0;
  active.mIsLocal = false;
  active.mWaitsForToken = true;
  mDependencies.mCaps.Admit(
    tenant,
    (active.mDeadline - SteadyNow()) * kHoldFraction,
    [this, aId, tenant](const gateway::CapDecision& aDecision) {
      const auto found = mActiveRequests.find(aId);
      if (found == mActiveRequests.end()) {
        mDependencies.mCaps.Credit(tenant, aDecision.mTokenExpiry);
        return;
      }
      found->second.mWaitsForToken = false;
      if (aDecision.mOutcome == gateway::CapOutcome::Refused) {
        AnswerFromLastReply(aId);
      } else {
        Dispatch(aId);
      }
    });
}

} // namespace papayaway::sidecar
