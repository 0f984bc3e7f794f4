#include <gateway/RateLimitedChoice.h>

#include <algorithm>
#include <vector>

namespace papayaway::gateway {

namespace {

bool
HasFreeSlot(const TargetCandidate& aCandidate)
{
  return ExpectedWait(aCandidate) <= Millis{};
}

/** Draws whether the request goes to one of the nearest limited targets.
 *  @return the index of that target. */
std::optional<std::size_t>
DrawLimited(std::span<const TargetCandidate> aCandidates, Random& aRandom)
{
  const Distance nearest =
    std::min_element(aCandidates.begin(),
                     aCandidates.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.mDistance < aRight.mDistance;
                     })
      ->mDistance;
  double allDemand = 0;
  double nearDemand = 0;
  double nearTargets = 0;
  for (const TargetCandidate& candidate : aCandidates) {
    const bool near = candidate.mDistance == nearest;
    allDemand += Throughput(candidate.mLoad);
    nearDemand += near ? Throughput(candidate.mLoad) : 0;
    nearTargets += near ? 1 : 0;
  }
  // If most of the nearest targets are limited, the demand for them runs
  // elsewhere; it is then estimated by their share of all targets.
  const double demand =
    std::max(nearDemand,
             allDemand * nearTargets / static_cast<double>(aCandidates.size()));
  double draw = UniformFraction(aRandom);
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const TargetCandidate& candidate = aCandidates[i];
    if (candidate.mDistance != nearest || !candidate.mLoad.mAdmissionRate) {
      continue;
    }
    const double rate = *candidate.mLoad.mAdmissionRate;
    const double evenShare = 1 / nearTargets;
    draw -= rate >= demand * evenShare ? evenShare : rate / demand;
    if (draw < 0) {
      return HasFreeSlot(candidate) ? std::optional(i) : std::nullopt;
    }
  }
  return std::nullopt;
}

} // namespace

double
Throughput(const TargetLoad& aLoad)
{
  const Millis runTime = std::max(aLoad.mMeanRunTime, Millis{ 1 });
  return aLoad.mRunning * (Seconds(1) / runTime);
}

std::optional<TargetChoice>
ChooseWithinRates(std::span<const TargetCandidate> aCandidates,
                  const RequestRequirements& aRequirements,
                  const ChoiceCosts& aCosts,
                  Random& aRandom)
{
  const auto isLimited = [](const TargetCandidate& aCandidate) {
    return aCandidate.mLoad.mAdmissionRate.has_value();
  };
  if (std::none_of(aCandidates.begin(), aCandidates.end(), isLimited) ||
      std::all_of(aCandidates.begin(), aCandidates.end(), isLimited)) {
    return ChooseTarget(aCandidates, aRequirements, aCosts, aRandom);
  }
  std::vector<std::size_t> unlimited;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (!isLimited(aCandidates[i])) {
      unlimited.push_back(i);
    }
  }
  if (const auto limited = DrawLimited(aCandidates, aRandom)) {
    auto choice = ChooseTarget(
      aCandidates.subspan(*limited, 1), aRequirements, aCosts, aRandom);
    choice->mIndex = *limited;
    return choice;
  }
  std::vector<TargetCandidate> rest;
  rest.reserve(unlimited.size());
  for (const std::size_t index : unlimited) {
    rest.push_back(aCandidates[index]);
  }
  auto choice = ChooseTarget(rest, aRequirements, aCosts, aRandom);
  choice->mIndex = unlimited[choice->mIndex];
  return choice;
}

} // namespace papayaway::gateway
