#pragma once

#include <base/Millis.h>
#include <base/Random.h>

namespace papayaway {

/**
 * Whether an endpoint is used, judged by its recent results.
 *
 * Failures in a row open the circuit: the endpoint gets no calls. After a
 * jittered back-off one probe is let through; its result closes the circuit
 * or doubles the back-off.
 */
class CircuitState
{
public:
  /** @return whether the circuit is open, whether or not a probe is due. */
  [[nodiscard]] bool IsOpen() const { return mOpen; }

  /** @return whether the endpoint may get a call at aNow. */
  [[nodiscard]] bool Allows(Millis aNow) const
  {
    return !mOpen || aNow >= mProbeAt;
  }

  /** Tells that a call was sent; while open it is the probe. */
  void OnSent(Millis aNow);

  void OnSuccess();

  /** Tells of a call that failed: the link was lost, the deadline passed, or
   *  the outcome is unknown. */
  void OnFailure(Millis aNow, Random& aRandom);

  /** Tells of a refusal by an endpoint that was not busy. A target that died
   *  refuses fast and looks idle, so it would attract calls. */
  void OnRefusal(Millis aNow, Random& aRandom);

  /** Tells that a call ended without a judgement, for example cancelled. */
  void OnAbandoned(Millis aNow);

private:
  void Open(Millis aNow, Random& aRandom);

  int mFailures = 0;
  int mRefusals = 0;
  bool mOpen = false;
  bool mProbing = false;
  Millis mProbeAt;
  Millis mBackOff;
};

} // namespace papayaway
