#pragma once

#include <deque>
#include <optional>

#include <base/Millis.h>

namespace papayaway::gateway {

/** The bound that holds for a cold target: in any second, over all processes of
 *  its node, at most the rate of the service times mFactor plus mSlack
 *  requests. */
struct ColdRateOptions
{
  double mFactor = 1.5;
  double mSlack = 8;
  /** A check-in of a process that seems lost is believed only this long after
   *  the evidence: one sent before the loss may arrive after it. Check-ins are
   *  1.5 s apart. */
  Millis mStaleCheckIn = Seconds(2);

  bool operator==(const ColdRateOptions&) const = default;
};

/**
 * Limits the requests that one target gets while it is cold.
 *
 * It counts the requests of the last second also while the target is warm,
 * because the target may become cold at any moment. A process that has just
 * started does not know how much its predecessor sent. In its first second it
 * admits half of what the bound leaves beside the rate, so that the bound holds
 * over two restarts within a second. The count continues when the target
 * restarts.
 *
 * Until the desired state is known the rate is unknown. The bound is at least
 * mSlack for every rate, so three processes in a second admit a third of it
 * each.
 */
class ColdRateLimiter
{
public:
  /** @param aStarted when this process started. */
  ColdRateLimiter(ColdRateOptions aOptions, Millis aStarted)
    : mOptions(aOptions)
    , mStarted(aStarted)
  {
  }

  /** Sets the rate of the desired state.
   *  @param aRate how many requests a second a cold target tolerates; 0 if
   *    there is no limit. */
  void SetRate(double aRate) { mRate = aRate; }

  /** @return whether the service limits cold targets, as far as is known. */
  [[nodiscard]] bool HasRate() const { return mRate.value_or(0) > 0; }

  /** Applies a check-in of the target.
   *  @param aColdLeft how long it stays cold.
   *  @param aNewProcess whether another process reported before. */
  void OnReport(Millis aColdLeft, bool aNewProcess, Millis aNow);

  /** Applies the time that a response reports. It only prolongs the limit,
   *  because the check-ins decide when it ends. */
  void OnResponse(Millis aColdLeft, Millis aNow);

  /** Handles evidence that the target's process has ended. */
  void OnProcessLost(Millis aNow) { mLostAt = aNow; }

  /** @return whether the requests to the target are limited now. */
  [[nodiscard]] bool IsLimited(Millis aNow) const;

  /** @return whether a request may be sent to the target now. */
  [[nodiscard]] bool MayAdmit(Millis aNow) const;

  /** Counts a request that is sent to the target. */
  void OnSent(Millis aNow);

  /** Counts a request that was handed back because of the limit. */
  void OnHandedBack(Millis aNow);

  /** Takes a request out of the count that did not reach the target's process
   *  or that it answered with 421.
   *  @param aSentAt when it was sent. */
  void OnNotCounted(Millis aSentAt);

  /** @return how long until a request may be sent. */
  [[nodiscard]] Millis TimeToAdmission(Millis aNow) const;

  /** @return how many requests a second are admitted at most; nullopt if there
   *    is no limit now. */
  [[nodiscard]] std::optional<double> Rate(Millis aNow) const;

  /** The rate that other nodes are told. It is lower than the admitted rate
   *  while more requests than that arrive.
   *  @return requests a second; nullopt if there is no limit now. */
  [[nodiscard]] std::optional<double> AdvisedRate(Millis aNow) const;

private:
  /** @return how many requests may be sent in the second that ends now. */
  [[nodiscard]] int Limit(Millis aNow) const;

  ColdRateOptions mOptions;
  Millis mStarted;
  /** nullopt until the desired state is known. */
  std::optional<double> mRate;
  Millis mColdUntil;
  std::optional<Millis> mLostAt;
  /** When the requests of about the last second were sent, oldest first. */
  std::deque<Millis> mSent;
  std::deque<Millis> mHandedBack;
};

} // namespace papayaway::gateway
