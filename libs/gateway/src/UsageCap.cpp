#include <gateway/UsageCap.h>

#include <algorithm>
#include <cmath>

namespace papayaway::gateway {

namespace {

/** The time after which an arrival counts 1/e in the expected demand. */
constexpr Millis kDemandDecay{ 500 };
/** The stock covers the expected demand of half the life of tokens, but at most
 *  this time, so that most tokens are used before they expire. */
constexpr Millis kMaxStockTime = Seconds(1);
/** For how long no tokens are requested after the cap was used up. The upper
 *  limit is below the time in which a bucket of the shortest depth fills. */
constexpr Millis kMinUsedUp{ 20 };
constexpr Millis kMaxUsedUp{ 100 };
/** When tokens are expected if a request for them was not answered: another
 *  coordinator takes over within about a second. */
constexpr Millis kNoAnswerWait{ 400 };
constexpr Millis kMinRetryAfter{ 50 };
constexpr Millis kMaxRetryAfter = Seconds(5);
/** Limits the memory of held requests. */
constexpr std::size_t kMaxHeld = 256;
constexpr std::uint32_t kMaxWanted = 100'000;

} // namespace

void
UsageCap::SetTerms(const std::map<std::string, CapTerms>& aTerms)
{
  std::unordered_map<std::string, TenantState> tenants;
  for (const auto& [tenant, terms] : aTerms) {
    TenantState& state = tenants[tenant];
    if (const auto known = mTenants.find(tenant); known != mTenants.end()) {
      state = std::move(known->second);
      mTenants.erase(known);
    }
    state.mTerms = terms;
  }
  // The other tenants no longer have a cap.
  for (const auto& [tenant, state] : mTenants) {
    for (const HeldRequest& held : state.mHeld) {
      mReleases.push_back(
        { .mId = held.mId, .mDecision = { .mTokenExpiry = Never() } });
      --mHeldRequests;
    }
  }
  mTenants = std::move(tenants);
}

void
UsageCap::DropExpired(TenantState& aTenant, Millis aNow) const
{
  while (!aTenant.mStock.empty() && aTenant.mStock.front().mExpiry <= aNow) {
    aTenant.mStockCount -= aTenant.mStock.front().mCount;
    aTenant.mStock.erase(aTenant.mStock.begin());
  }
}

Millis
UsageCap::Take(TenantState& aTenant, Millis aNow) const
{
  DropExpired(aTenant, aNow);
  if (aTenant.mStock.empty()) {
    return {};
  }
  Tokens& first = aTenant.mStock.front();
  const Millis expiry = first.mExpiry;
  --aTenant.mStockCount;
  if (--first.mCount == 0) {
    aTenant.mStock.erase(aTenant.mStock.begin());
  }
  return expiry;
}

void
UsageCap::AddTokens(TenantState& aTenant, Tokens aTokens) const
{
  const auto place = std::upper_bound(aTenant.mStock.begin(),
                                      aTenant.mStock.end(),
                                      aTokens.mExpiry,
                                      [](Millis aExpiry, const Tokens& aOther) {
                                        return aExpiry < aOther.mExpiry;
                                      });
  if (place != aTenant.mStock.begin() &&
      std::prev(place)->mExpiry == aTokens.mExpiry) {
    std::prev(place)->mCount += aTokens.mCount;
  } else {
    aTenant.mStock.insert(place, aTokens);
  }
  aTenant.mStockCount += aTokens.mCount;
}

CapDecision
UsageCap::Refuse(TenantState& aTenant, Millis aNow) const
{
  // Each refused caller is sent back for a different expected token.
  aTenant.mPromisedUntil =
    std::min(std::max({ aTenant.mPromisedUntil, aTenant.mExpectedAt, aNow }) +
               Seconds(1 / aTenant.mTerms.mRate),
             aNow + kMaxRetryAfter);
  return { .mOutcome = CapOutcome::Refused,
           .mRetryAfter =
             std::max(kMinRetryAfter, aTenant.mPromisedUntil - aNow) };
}

CapDecision
UsageCap::Admit(const std::string& aTenant,
                std::uint64_t aId,
                Millis aHoldUntil,
                Millis aNow)
{
  const auto found = mTenants.find(aTenant);
  if (found == mTenants.end()) {
    return { .mTokenExpiry = Never() };
  }
  TenantState& tenant = found->second;
  tenant.mArrivals =
    tenant.mArrivals * std::exp(-((aNow - tenant.mArrivedAt) / kDemandDecay)) +
    1;
  tenant.mArrivedAt = aNow;
  if (tenant.mHeld.empty()) {
    if (const Millis expiry = Take(tenant, aNow); expiry.mCount > 0) {
      return { .mTokenExpiry = expiry };
    }
  }
  if (aNow < tenant.mUsedUpUntil || aNow >= aHoldUntil ||
      mHeldRequests >= kMaxHeld) {
    return Refuse(tenant, aNow);
  }
  tenant.mHeld.push_back({ .mId = aId, .mUntil = aHoldUntil });
  ++mHeldRequests;
  return { .mOutcome = CapOutcome::Held };
}

void
UsageCap::Credit(const std::string& aTenant, Millis aTokenExpiry, Millis aNow)
{
  const auto found = mTenants.find(aTenant);
  if (found != mTenants.end() && aTokenExpiry > aNow &&
      aTokenExpiry < Never()) {
    AddTokens(found->second, { .mExpiry = aTokenExpiry, .mCount = 1 });
  }
}

std::map<std::string, std::uint32_t>
UsageCap::Wanted(Millis aNow)
{
  std::map<std::string, std::uint32_t> wanted;
  // If one tenant needs tokens, the stocks of all are filled by one message.
  bool isNeeded = false;
  for (auto& [name, tenant] : mTenants) {
    DropExpired(tenant, aNow);
    if (tenant.mArrivals == 0 || aNow < tenant.mUsedUpUntil) {
      continue;
    }
    const Millis stockTime =
      std::min(tenant.mTerms.mTokenLife * 0.5, kMaxStockTime);
    const double expected =
      tenant.mArrivals *
      std::exp(-((aNow - tenant.mArrivedAt) / kDemandDecay)) *
      (stockTime / kDemandDecay);
    const double held = static_cast<double>(tenant.mHeld.size());
    // Rounded up, a quarter of the tokens of a tenant with few requests at each
    // node would expire unused.
    const double stock = std::round(expected);
    isNeeded = isNeeded || held > 0 || tenant.mStockCount < stock / 2;
    if (stock + held > tenant.mStockCount) {
      wanted[name] = static_cast<std::uint32_t>(
        std::min<double>(stock + held - tenant.mStockCount, kMaxWanted));
    }
  }
  if (!isNeeded) {
    wanted.clear();
  }
  return wanted;
}

void
UsageCap::OnGrant(const std::string& aTenant,
                  std::uint32_t aRequested,
                  std::uint32_t aGranted,
                  Millis aExpiry,
                  Millis aWait,
                  Millis aNow)
{
  const auto found = mTenants.find(aTenant);
  if (found == mTenants.end()) {
    return;
  }
  TenantState& tenant = found->second;
  if (aGranted > 0 && aExpiry > aNow) {
    AddTokens(tenant, { .mExpiry = aExpiry, .mCount = aGranted });
  }
  if (aGranted < aRequested) {
    tenant.mUsedUpUntil = aNow + std::clamp(aWait, kMinUsedUp, kMaxUsedUp);
    tenant.mExpectedAt = aNow + aWait;
  } else {
    tenant.mExpectedAt = aNow;
    tenant.mPromisedUntil = aNow;
  }
}

void
UsageCap::ReleaseHeld(TenantState& aTenant,
                      std::vector<CapRelease>& aReleases,
                      Millis aNow)
{
  while (!aTenant.mHeld.empty()) {
    const Millis expiry = Take(aTenant, aNow);
    if (expiry.mCount == 0) {
      break;
    }
    aReleases.push_back({ .mId = aTenant.mHeld.front().mId,
                          .mDecision = { .mTokenExpiry = expiry } });
    aTenant.mHeld.erase(aTenant.mHeld.begin());
    --mHeldRequests;
  }
  // A request for which no token can arrive in time is refused at once.
  const bool usedUp = aNow < aTenant.mUsedUpUntil;
  std::erase_if(aTenant.mHeld, [&](const HeldRequest& aHeld) {
    const bool late =
      aHeld.mUntil <= aNow || (usedUp && aHeld.mUntil <= aTenant.mExpectedAt);
    if (late) {
      if (!usedUp) {
        aTenant.mExpectedAt =
          std::max(aTenant.mExpectedAt, aNow + kNoAnswerWait);
      }
      aReleases.push_back(
        { .mId = aHeld.mId, .mDecision = Refuse(aTenant, aNow) });
      --mHeldRequests;
    }
    return late;
  });
}

std::vector<CapRelease>
UsageCap::TakeReleases(Millis aNow)
{
  std::vector<CapRelease> releases = std::move(mReleases);
  mReleases.clear();
  if (mHeldRequests == 0) {
    return releases;
  }
  for (auto& entry : mTenants) {
    ReleaseHeld(entry.second, releases, aNow);
  }
  return releases;
}

} // namespace papayaway::gateway
