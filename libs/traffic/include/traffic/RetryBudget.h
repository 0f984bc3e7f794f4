#pragma once

#include <cstdint>

#include <base/Millis.h>
#include <wire/Messages.h>

namespace papayaway {

/** The state of a call from which RetryBudget decides whether to retry it. */
struct RetryContext
{
  /** The attempt number with which the call arrived (Papayaway-Attempt). Above
   *  0, the call is part of a retry by an earlier hop of the chain. */
  int mArrivedAttempt = 0;
  /** How often this entry node has already retried the call. */
  int mRetries = 0;
  Outcome mOutcome = Outcome::Unknown;
  bool mIdempotent = false;
};

/**
 * Token bucket that limits the retries of an entry node to 10% of its calls.
 *
 * Each first call adds a tenth of a token, and each retry takes one. A small
 * reserve, refilled over time, allows retries at low call rates.
 *
 * In a chain of calls the retries of the hops add up, but do not multiply,
 * because a call that results from a retry is not retried by later hops: hop k
 * gets at most 1 + k/10 times the calls of the first hop, plus the reserves.
 */
class RetryBudget
{
public:
  static constexpr double kRetryRatio = 0.1;
  static constexpr double kMaxTokens = 50;
  /** The size of the reserve in tokens. */
  static constexpr double kReserve = 3;
  /** The time in which the reserve gains one token. */
  static constexpr Millis kReserveRefill = Seconds(10);

  /** Records a call that arrived with attempt 0. */
  void OnFirstCall();

  /** Takes a token if the call may be retried.
   *  @return whether to retry it, with attempt mArrivedAttempt + 1. */
  [[nodiscard]] bool TryRetry(const RetryContext& aContext, Millis aNow);

  /** @return the number of retries refused for lack of tokens. */
  [[nodiscard]] std::uint64_t RefusedRetries() const { return mRefusedRetries; }

private:
  double mTokens = 0;
  double mReserve = kReserve;
  Millis mRefilledAt;
  std::uint64_t mRefusedRetries = 0;
};

} // namespace papayaway
