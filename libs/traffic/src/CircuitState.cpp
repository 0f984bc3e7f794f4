#include <traffic/CircuitState.h>

#include <algorithm>

namespace papayaway {

namespace {

constexpr int kFailuresToOpen = 3;
// Refusals also come from ownership and quarantine checks, which are no fault
// of the endpoint, so more of them are needed.
constexpr int kRefusalsToOpen = 10;
constexpr Millis kFirstBackOff{ 500 };
constexpr Millis kLongestBackOff = Seconds(10);

} // namespace

void
CircuitState::OnSent(Millis aNow)
{
  if (mOpen && (!mProbing || aNow >= mProbeAt)) {
    mProbing = true;
    // If the result of the probe is never told, another one is sent then.
    mProbeAt = aNow + kLongestBackOff;
  }
}

void
CircuitState::OnSuccess()
{
  *this = CircuitState();
}

void
CircuitState::OnFailure(Millis aNow, Random& aRandom)
{
  ++mFailures;
  if (mProbing || (!mOpen && mFailures >= kFailuresToOpen)) {
    Open(aNow, aRandom);
  }
}

void
CircuitState::OnRefusal(Millis aNow, Random& aRandom)
{
  ++mRefusals;
  if (mProbing || (!mOpen && mRefusals >= kRefusalsToOpen)) {
    Open(aNow, aRandom);
  }
}

void
CircuitState::OnAbandoned(Millis aNow)
{
  if (mProbing) {
    mProbing = false;
    mProbeAt = aNow;
  }
}

void
CircuitState::Open(Millis aNow, Random& aRandom)
{
  mBackOff = mOpen ? std::min(mBackOff * 2, kLongestBackOff) : kFirstBackOff;
  mOpen = true;
  mProbing = false;
  // Jitter keeps the entry nodes from probing at the same time.
  mProbeAt = aNow + mBackOff * (0.5 + UniformFraction(aRandom));
}

} // namespace papayaway
