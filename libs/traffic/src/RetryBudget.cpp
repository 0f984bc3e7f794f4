#include <traffic/RetryBudget.h>

#include <algorithm>

namespace papayaway {

void
RetryBudget::OnFirstCall()
{
  mTokens = std::min(kMaxTokens, mTokens + kRetryRatio);
}

bool
RetryBudget::TryRetry(const RetryContext& aContext, Millis aNow)
{
  if (aContext.mArrivedAttempt > 0 || aContext.mRetries > 0) {
    return false;
  }
  if (aContext.mOutcome != Outcome::NotRun && !aContext.mIdempotent) {
    return false;
  }
  mReserve =
    std::min(kReserve, mReserve + (aNow - mRefilledAt) / kReserveRefill);
  mRefilledAt = aNow;
  // Ten additions of 0.1 give slightly less than 1 in floating point.
  constexpr double kWholeToken = 1 - 1e-9;
  for (double* tokens : { &mTokens, &mReserve }) {
    if (*tokens >= kWholeToken) {
      *tokens -= 1;
      return true;
    }
  }
  ++mRefusedRetries;
  return false;
}

} // namespace papayaway
