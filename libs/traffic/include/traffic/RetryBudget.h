#pragma once

#include <cstdint>

#include <base/Millis.h>
#include <wire/Messages.h>

namespace papayaway {

/** The state of a call that an entry node may send again. */
struct RetryQuestion
{
  /** The attempt that the call arrived with (Papayaway-Attempt): above 0, it
   *  is part of a retry further up the chain. */
  int mArrivedAttempt = 0;
  /** How often this entry node already sent the call again. */
  int mRetries = 0;
  Outcome mOutcome = Outcome::Unknown;
  bool mIdempotent = false;
};

/**
 * Decides on retries and keeps them at 10% of the calls of an entry node.
 *
 * Each first call adds a tenth of a token, each retry takes one. A small
 * reserve, refilled by time, serves low rates.
 *
 * Over a chain of calls the retries of the hops add up, but do not multiply,
 * because the calls below a retry are not retried: hop k gets at most
 * 1 + k/10 times the calls of the first hop, plus the reserves.
 */
class RetryBudget
{
public:
  static constexpr double kShare = 0.1;
  static constexpr double kMaxTokens = 50;
  static constexpr double kReserve = 3;
  static constexpr Millis kReserveRefill = Seconds(10);

  /** Tells of a call that arrived with attempt 0. */
  void OnFirstCall();

  /** Takes a token if the call may be sent again.
   *  @return whether to send it, with attempt mArrivedAttempt + 1. */
  [[nodiscard]] bool TryRetry(const RetryQuestion& aQuestion, Millis aNow);

  /** @return retries refused because the budget was used up. */
  [[nodiscard]] std::uint64_t Exhausted() const { return mExhausted; }

private:
  double mTokens = 0;
  double mReserve = kReserve;
  Millis mRefilledAt;
  std::uint64_t mExhausted = 0;
};

} // namespace papayaway
