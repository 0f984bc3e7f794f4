// Dispatcher: who sent a request, and the end of waiting requests whose sender
// is no longer accepted.

#include <sidecar/Dispatcher.h>

namespace papayaway::sidecar {

gateway::CallerIdentity
Dispatcher::Identify(const HttpMessage& aRequest, bool aPublic) const
{
  std::vector<std::string_view> keys;
  for (const auto& [name, value] : aRequest.mHeaders.Fields()) {
    if (EqualIgnoringCase(name,
                          mDependencies.mProtocol.Headers().mCredential)) {
      keys.emplace_back(value);
    }
  }
  return mTable->Tenants()->Identify(keys, aPublic);
}

bool
Dispatcher::RefuseInDoubt(const std::shared_ptr<CallerExchange>& aExchange,
                          Millis aArrivedAt,
                          const std::string& aRequestId,
                          const gateway::CallerIdentity& aIdentity)
{
  if (aIdentity.mAccepted && aIdentity.mTenant == nullptr) {
    return false;
  }
  const char* reason = nullptr;
  switch (mDependencies.mStateDoubt()) {
    case gateway::StateDoubt::None:
      return false;
    case gateway::StateDoubt::Outdated:
      // The newer state may also have keys that this one lacks.
      reason = "state_outdated";
      break;
    case gateway::StateDoubt::Unconfirmed:
      if (!aIdentity.mAccepted) {
        return false;
      }
      reason = "state_unconfirmed";
      break;
  }
  if (!TryHold(aExchange, aArrivedAt)) {
    Refuse(*aExchange, aRequestId, 503, reason, kDefaultRetryAfter);
  }
  return true;
}

void
Dispatcher::RevokeRequests()
{
  if (!mTable->Tenants()->IsActive()) {
    return;
  }
  std::vector<std::uint64_t> revoked;
  for (auto& [id, active] : mActiveRequests) {
    if (active.mTenant.empty() || active.mRevoked) {
      continue;
    }
    const gateway::Tenant* const tenant =
      Identify(active.mExchange->Request(), false).mTenant;
    if (tenant == nullptr || tenant->mName != active.mTenant) {
      active.mRevoked = true;
      revoked.push_back(id);
    }
  }
  for (const std::uint64_t id : revoked) {
    // Answering one request may close the connection that others came on, which
    // removes those.
    const auto found = mActiveRequests.find(id);
    if (found == mActiveRequests.end()) {
      continue;
    }
    if (found->second.mIsLocal) {
      mDependencies.mLocalTarget.Withdraw(found->second.mLocalCall);
    } else if (found->second.mLink != 0) {
      mDependencies.mMesh.Reply(found->second.mLink,
                                WithdrawMessage{ .mId = id });
    }
  }
}

void
Dispatcher::AnswerRevoked(std::uint64_t aId)
{
  if (mActiveRequests.at(aId).mMayHaveRun) {
    AnswerFromLastReply(aId);
  } else {
    AnswerError(aId, 401, kUnknownCredential);
  }
}

} // namespace papayaway::sidecar
