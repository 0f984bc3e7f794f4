#include "Leases.h"

namespace papayaway {

std::optional<Leases::Token>
Leases::Acquire(const std::string& aName, const Claim& aClaim, Millis aNow)
{
  Lease& lease = mLeases[aName];
  const bool isRenewal = aClaim.mToken.has_value() &&
                         lease.mHolder == aClaim.mHolder &&
                         lease.mToken == *aClaim.mToken;
  const bool isHeld = !lease.mHolder.empty() && lease.mExpiry > aNow;
  const bool isReclaim =
    lease.mHolder == aClaim.mHolder && !aClaim.mToken.has_value();
  if (isHeld && !isRenewal && !isReclaim) {
    return std::nullopt;
  }
  if (!isRenewal) {
    ++lease.mToken;
    lease.mHolder = aClaim.mHolder;
  }
  lease.mValue = aClaim.mValue;
  lease.mExpiry = aNow + aClaim.mDuration;
  return lease.mToken;
}

bool
Leases::Release(std::string_view aName, std::string_view aHolder, Token aToken)
{
  const auto found = mLeases.find(aName);
  if (found == mLeases.end() || found->second.mHolder != aHolder ||
      found->second.mToken != aToken) {
    return false;
  }
  found->second.mHolder.clear();
  found->second.mExpiry = {};
  return true;
}

const Leases::Lease*
Leases::Read(std::string_view aName, Millis aNow) const
{
  const auto found = mLeases.find(aName);
  const bool isHeld = found != mLeases.end() &&
                      !found->second.mHolder.empty() &&
                      found->second.mExpiry > aNow;
  return isHeld ? &found->second : nullptr;
}

bool
Leases::Holds(std::string_view aName, Token aToken, Millis aNow) const
{
  const Lease* const lease = Read(aName, aNow);
  return lease != nullptr && lease->mToken == aToken;
}

} // namespace papayaway
