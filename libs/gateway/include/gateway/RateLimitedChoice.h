#pragma once

#include <optional>
#include <span>

#include <base/Random.h>
#include <gateway/TargetChoice.h>

namespace papayaway::gateway {

/** @return how many requests a second the target answers, estimated from the
 *    running requests and their mean run time. */
double Throughput(const TargetLoad& aLoad);

/**
 * Chooses a target as ChooseTarget() does, but sends a target whose node limits
 * the admitted rate only the fraction of the requests that it admits.
 *
 * All entry nodes together must keep to the rate without agreeing on it. Each
 * therefore picks the limited target with the same probability: the admitted
 * rate divided by the demand for the targets at that distance, which follows
 * from the reported loads (running requests divided by run time). No limited
 * target gets more than an even share. Only the nearest targets are considered
 * for this. All other requests go to targets without a limit, or, if there are
 * none, to any.
 *
 * @return the choice, or nullopt if there are no candidates.
 */
std::optional<TargetChoice> ChooseWithinRates(
  std::span<const TargetCandidate> aCandidates,
  const RequestRequirements& aRequirements,
  const ChoiceCosts& aCosts,
  Random& aRandom);

} // namespace papayaway::gateway
