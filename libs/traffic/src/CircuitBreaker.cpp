#include <traffic/CircuitBreaker.h>

#include <algorithm>

namespace papayaway {

namespace {

constexpr int kFailuresToOpen = 3;
// Ownership and quarantine checks also refuse calls at a working endpoint, so
// the threshold for refusals is higher than the one for failures.
constexpr int kRefusalsToOpen = 10;
constexpr Millis kFirstBackOff{ 500 };
constexpr Millis kLongestBackOff = Seconds(10);

} // namespace

void
CircuitBreaker::OnSent(Millis aNow)
{
  if (mOpen && (!mProbing || aNow >= mProbeAt)) {
    mProbing = true;
    // If the result of the probe is never recorded, another probe is allowed
    // at this time.
    mProbeAt = aNow + kLongestBackOff;
  }
}

void
CircuitBreaker::OnSuccess()
{
  *this = CircuitBreaker();
}

void
CircuitBreaker::OnFailure(Millis aNow, Random& aRandom)
{
  ++mConsecutiveFailures;
  if (mProbing || (!mOpen && mConsecutiveFailures >= kFailuresToOpen)) {
    Open(aNow, aRandom);
  }
}

void
CircuitBreaker::OnRefusal(Millis aNow, Random& aRandom)
{
  ++mConsecutiveRefusals;
  if (mProbing || (!mOpen && mConsecutiveRefusals >= kRefusalsToOpen)) {
    Open(aNow, aRandom);
  }
}

void
CircuitBreaker::OnAbandoned(Millis aNow)
{
  if (mProbing) {
    mProbing = false;
    mProbeAt = aNow;
  }
}

void
CircuitBreaker::Open(Millis aNow, Random& aRandom)
{
  mBackOff = mOpen ? std::min(mBackOff * 2, kLongestBackOff) : kFirstBackOff;
  mOpen = true;
  mProbing = false;
  // Jitter keeps the entry nodes from all probing at the same time.
  mProbeAt = aNow + mBackOff * (0.5 + UniformFraction(aRandom));
}

} // namespace papayaway
