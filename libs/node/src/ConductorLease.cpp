#include "ConductorLease.h"

namespace papayaway {

namespace {

const std::string kLeaseName = "conductor";
constexpr Millis kDuration = Seconds(6);
constexpr Millis kRenewPeriod = Seconds(2);
/** The holder treats the lease as expired this long before its end, in case its
 *  clock is slower than the platform's. */
constexpr Millis kClockRateMargin{ 500 };

} // namespace

ConductorLease::ConductorLease(NodeContext& aContext,
                               PlatformClient& aClient,
                               std::string aAddress,
                               std::function<void()> aOnGranted)
  : mContext(aContext)
  , mClient(aClient)
  , mAddress(std::move(aAddress))
  , mOnGranted(std::move(aOnGranted))
{
}

bool
ConductorLease::IsHeld() const
{
  return mGrant && SteadyNow() + kClockRateMargin < mGrant->mValidUntil;
}

std::uint64_t
ConductorLease::Token() const
{
  return IsHeld() ? mGrant->mToken : 0;
}

void
ConductorLease::Tick(bool aCompete)
{
  const Millis now = SteadyNow();
  if (!aCompete || mRequestPending || now < mNextRequest) {
    return;
  }
  mRequestPending = true;
  mNextRequest = now + mContext.Jittered(kRenewPeriod);
  const LeaseClaim claim{ .mName = kLeaseName,
                          .mHolder = mContext.mSettings.mName,
                          .mValue = mAddress,
                          .mDuration = kDuration };
  const auto onAnswer = [this](const Expected<LeaseClaimResult>& aAnswer) {
    OnAnswer(aAnswer);
  };
  if (IsHeld()) {
    mClient.RenewLease(claim, mGrant->mToken, onAnswer);
  } else {
    mClient.AcquireLease(claim, onAnswer);
  }
}

void
ConductorLease::OnAnswer(const Expected<LeaseClaimResult>& aAnswer)
{
  mRequestPending = false;
  if (!aAnswer) {
    return;
  }
  const auto* const grant = std::get_if<LeaseGrant>(&*aAnswer);
  if (grant == nullptr) {
    mGrant.reset();
    return;
  }
  const bool isNew = !mGrant || mGrant->mToken != grant->mToken;
  mGrant = *grant;
  if (isNew) {
    mOnGranted();
  }
}

void
ConductorLease::Release()
{
  if (mGrant) {
    mClient.ReleaseLease(
      kLeaseName, mContext.mSettings.mName, mGrant->mToken, [](const auto&) {});
    mGrant.reset();
  }
}

} // namespace papayaway
