#include <gateway/CapTerms.h>

#include <algorithm>

namespace papayaway::gateway {

namespace {

/** Tokens are issued at this fraction of the cap's rate. The rest allows longer
 *  lives of tokens and more waiting at the target's node. */
constexpr double kRateFraction = 0.96;
/** After its token was taken, a request may wait at the target's node. If the
 *  wait becomes shorter by this much within a window, the requests of a longer
 *  time run in it. */
constexpr double kWaitAllowanceSeconds = 0.25;
/** The largest fraction of the spare tokens that the allowance takes. */
constexpr double kMaxWaitAllowance = 0.3;
/** Two thirds of the spare tokens beyond the burst become life of tokens, the
 *  rest depth: a long life saves messages and outlasts a change of
 *  coordinator. */
constexpr double kLifeFraction = 2.0 / 3;
/** Tokens that their node does not use are lost until they expire, so a longer
 *  life would waste the cap of tenants with a low rate. */
constexpr double kMaxLifeSeconds = 3;

} // namespace

CapTerms
MakeCapTerms(double aRequestsPerSecond, double aBurst, const CapRules& aRules)
{
  const double window = aRules.mWindow.mCount / 1000;
  const double rate = aRequestsPerSecond * kRateFraction;
  const double allowed =
    (aRequestsPerSecond * window + aBurst) * (1 + aRules.mExcess) +
    aRules.mSlack;
  const double spare = allowed - rate * window;
  const double left =
    spare - std::min(aRequestsPerSecond * kWaitAllowanceSeconds,
                     spare * kMaxWaitAllowance);
  const double forLife =
    std::max(0.0, left - aBurst * (1 + aRules.mExcess)) * kLifeFraction;
  const double life = std::min(forLife / rate, kMaxLifeSeconds);
  return { .mRate = rate,
           .mDepth = left - rate * life,
           .mTokenLife = Seconds(life) };
}

} // namespace papayaway::gateway
