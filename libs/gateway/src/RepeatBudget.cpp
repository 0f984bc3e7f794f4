#include <gateway/RepeatBudget.h>

#include <algorithm>

namespace papayaway::gateway {

RepeatBudget::Account&
RepeatBudget::Of(const std::string& aService, Millis aNow)
{
  const auto [place, added] = mAccounts.try_emplace(
    aService, Account{ .mReserve = mOptions.mReserve, .mRefilled = aNow });
  Account& account = place->second;
  if (!added) {
    account.mReserve = std::min(
      mOptions.mReserve,
      account.mReserve + mOptions.mReserve * ((aNow - account.mRefilled) /
                                              mOptions.mReserveRefill));
    account.mRefilled = aNow;
  }
  return account;
}

void
RepeatBudget::OnRequest(const std::string& aService, Millis aNow)
{
  Account& account = Of(aService, aNow);
  account.mSaved =
    std::min(mOptions.mMaxSaved, account.mSaved + mOptions.mShare);
}

bool
RepeatBudget::TryRepeat(const std::string& aService, int aPriority, Millis aNow)
{
  Account& account = Of(aService, aNow);
  const double left =
    mOptions.mLeftByRank * std::clamp(aPriority, 0, mOptions.mLastRank);
  double& source =
    account.mSaved >= 1 + left ? account.mSaved : account.mReserve;
  if (source < 1) {
    return false;
  }
  source -= 1;
  return true;
}

} // namespace papayaway::gateway
