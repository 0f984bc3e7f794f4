#pragma once

#include <cstdint>
#include <string>

#include <base/Millis.h>

namespace papayaway::gateway {

/** How far the requests of a tenant may exceed its usage cap: in any window, no
 *  more than (rate x window + burst) x (1 + mExcess) + mSlack of them run. */
struct CapRules
{
  Millis mWindow = Seconds(5);
  double mExcess = 0.1;
  double mSlack = 20;

  bool operator==(const CapRules&) const = default;
};

/**
 * How the tokens of one tenant are issued, over all nodes together.
 *
 * A token allows one request until it expires. All buckets together hold at
 * most mDepth tokens and gain mRate tokens a second. Tokens that have been
 * issued and not used yet are therefore at most mDepth + mRate x mTokenLife,
 * less what the buckets still hold, and in any window at most mDepth + mRate x
 * (mTokenLife + window) tokens are used.
 */
struct CapTerms
{
  /** Tokens a second. */
  double mRate = 0;
  double mDepth = 0;
  Millis mTokenLife;

  bool operator==(const CapTerms&) const = default;
};

/** Divides what the rules allow into the rate, the depth of the buckets, the
 *  life of tokens, and an allowance for requests that wait at the target's node
 *  after their token was taken.
 *  @param aRequestsPerSecond the rate of the cap; above 0.
 *  @param aBurst how many requests may exceed the rate at once. */
CapTerms MakeCapTerms(double aRequestsPerSecond,
                      double aBurst,
                      const CapRules& aRules);

/** The identity of a coordinator: one process that issues tokens. */
struct CapCoordinator
{
  std::string mDataCentre;
  std::string mNode;
  /** Differs for each process of the node. */
  std::uint64_t mProcess = 0;

  /** The order decides which of two coordinators continues. */
  // clang-tidy 14 reports the 0 that the compiler puts into "(a <=> b) < 0".
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const CapCoordinator&) const = default;
};

} // namespace papayaway::gateway
