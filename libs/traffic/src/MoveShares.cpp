#include "MoveShares.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace papayaway {

std::vector<int>
Proportional(const std::vector<int>& aWeights, int aTotal)
{
  const std::int64_t sum =
    std::accumulate(aWeights.begin(), aWeights.end(), std::int64_t{ 0 });
  std::vector<int> parts(aWeights.size(), 0);
  if (sum <= 0) {
    return parts;
  }
  // Rounding the running sums keeps the total exact.
  std::int64_t before = 0;
  int given = 0;
  for (std::size_t i = 0; i < aWeights.size(); ++i) {
    before += aWeights[i];
    const int upTo = static_cast<int>((before * aTotal + sum / 2) / sum);
    parts[i] = upTo - given;
    given = upTo;
  }
  return parts;
}

bool
IsCurrentMove(const Service& aService, const MoveFact& aFact)
{
  return aService.mMove && aFact.mService == aService.mName &&
         aFact.mTo == aService.mMove->mTo &&
         aFact.mAttempt == aService.mMove->mAttempt;
}

std::vector<int>
SharesAfterMove(const Service& aService, const MoveFact* aMove)
{
  std::vector<int> shares;
  shares.reserve(aService.mVersions.size());
  for (const VersionShare& version : aService.mVersions) {
    shares.push_back(version.mShare);
  }
  if (aMove == nullptr) {
    return shares;
  }
  const auto position = std::find_if(
    aService.mVersions.begin(),
    aService.mVersions.end(),
    [&](const VersionShare& aVersion) { return aVersion.mName == aMove->mTo; });
  if (position == aService.mVersions.end()) {
    return shares;
  }
  const auto to =
    static_cast<std::size_t>(position - aService.mVersions.begin());

  int moved = 0;
  switch (aMove->mState) {
    case MoveState::Running:
      moved = std::clamp(aMove->mShare, 0, kWholeShare);
      break;
    case MoveState::Finished:
      moved = kWholeShare;
      break;
    case MoveState::TakenBack:
      moved = 0;
      break;
  }
  shares[to] = 0;
  if (std::accumulate(shares.begin(), shares.end(), 0) == 0) {
    // The document gives the other versions nothing to scale by.
    std::fill(shares.begin(), shares.end(), 1);
    shares[to] = 0;
  }
  shares = Proportional(shares, kWholeShare - moved);
  shares[to] = moved;
  return shares;
}

} // namespace papayaway
