#include <gateway/RetryBudget.h>

#include <algorithm>

namespace papayaway::gateway {

RetryBudget::Tokens&
RetryBudget::TokensOf(const std::string& aService, Millis aNow)
{
  const auto [entry, added] = mTokens.try_emplace(
    aService, Tokens{ .mReserve = mOptions.mReserve, .mRefilledAt = aNow });
  Tokens& tokens = entry->second;
  if (!added) {
    tokens.mReserve = std::min(
      mOptions.mReserve,
      tokens.mReserve + mOptions.mReserve * ((aNow - tokens.mRefilledAt) /
                                             mOptions.mReserveRefill));
    tokens.mRefilledAt = aNow;
  }
  return tokens;
}

void
RetryBudget::OnRequest(const std::string& aService, Millis aNow)
{
  Tokens& tokens = TokensOf(aService, aNow);
  tokens.mEarned =
    std::min(mOptions.mMaxEarned, tokens.mEarned + mOptions.mTokensPerRequest);
}

bool
RetryBudget::TryRetry(const std::string& aService, int aPriority, Millis aNow)
{
  Tokens& tokens = TokensOf(aService, aNow);
  const double headroom = mOptions.mHeadroomPerPriority *
                          std::clamp(aPriority, 0, mOptions.mLowestPriority);
  double& source =
    tokens.mEarned >= 1 + headroom ? tokens.mEarned : tokens.mReserve;
  if (source < 1) {
    return false;
  }
  source -= 1;
  return true;
}

} // namespace papayaway::gateway
