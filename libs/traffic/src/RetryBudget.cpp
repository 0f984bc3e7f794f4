#include <traffic/RetryBudget.h>

#include <algorithm>

namespace papayaway {

void
RetryBudget::OnFirstCall()
{
  mTokens = std::min(kMaxTokens, mTokens + kShare);
}

bool
RetryBudget::TryRetry(const RetryQuestion& aQuestion, Millis aNow)
{
  if (aQuestion.mArrivedAttempt > 0 || aQuestion.mRetries > 0) {
    return false;
  }
  if (aQuestion.mOutcome != Outcome::NotRun && !aQuestion.mIdempotent) {
    return false;
  }
  mReserve =
    std::min(kReserve, mReserve + (aNow - mRefilledAt) / kReserveRefill);
  mRefilledAt = aNow;
  // Ten additions of 0.1 give slightly less than 1.
  constexpr double kWholeToken = 1 - 1e-9;
  for (double* tokens : { &mTokens, &mReserve }) {
    if (*tokens >= kWholeToken) {
      *tokens -= 1;
      return true;
    }
  }
  ++mExhausted;
  return false;
}

} // namespace papayaway
