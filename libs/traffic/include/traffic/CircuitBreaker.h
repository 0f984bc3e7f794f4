#pragma once

#include <base/Millis.h>
#include <base/Random.h>

namespace papayaway {

/**
 * Circuit breaker of one endpoint: decides from the results of recent calls
 * whether the endpoint gets calls.
 *
 * Consecutive failures open the circuit, and the endpoint gets no calls. After
 * a jittered back-off one call is allowed as a probe. Its result closes the
 * circuit or doubles the back-off.
 */
class CircuitBreaker
{
public:
  /** @return whether the circuit is open, also while a probe is due. */
  [[nodiscard]] bool IsOpen() const { return mOpen; }

  /** @return whether the endpoint may get a call at aNow. */
  [[nodiscard]] bool Allows(Millis aNow) const
  {
    return !mOpen || aNow >= mProbeAt;
  }

  /** Records that a call was sent. While the circuit is open, this call is
   *  the probe. */
  void OnSent(Millis aNow);

  void OnSuccess();

  /** Records a failed call: the link was lost, the deadline passed, or the
   *  outcome is unknown. */
  void OnFailure(Millis aNow, Random& aRandom);

  /** Records a refusal by an endpoint with free slots. An endpoint whose
   *  target has exited refuses at once and reports a low load, so without this
   *  check it would attract calls. */
  void OnRefusal(Millis aNow, Random& aRandom);

  /** Records that a call ended without showing whether the endpoint works,
   *  for example because it was cancelled. */
  void OnAbandoned(Millis aNow);

private:
  void Open(Millis aNow, Random& aRandom);

  int mConsecutiveFailures = 0;
  int mConsecutiveRefusals = 0;
  bool mOpen = false;
  bool mProbing = false;
  Millis mProbeAt;
  Millis mBackOff;
};

} // namespace papayaway
