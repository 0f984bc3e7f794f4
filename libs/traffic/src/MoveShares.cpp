#include "MoveShares.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace papayaway {

std::vector<int>
Apportion(const std::vector<int>& aWeights, int aTotal)
{
  const std::int64_t sum =
    std::accumulate(aWeights.begin(), aWeights.end(), std::int64_t{ 0 });
  std::vector<int> parts(aWeights.size(), 0);
  if (sum <= 0) {
    return parts;
  }
  // Rounds the cumulative sums instead of the parts, to keep the total exact.
  std::int64_t cumulativeWeight = 0;
  int assigned = 0;
  for (std::size_t i = 0; i < aWeights.size(); ++i) {
    cumulativeWeight += aWeights[i];
    const int cumulativePart =
      static_cast<int>((cumulativeWeight * aTotal + sum / 2) / sum);
    parts[i] = cumulativePart - assigned;
    assigned = cumulativePart;
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
  const auto toIndex =
    static_cast<std::size_t>(position - aService.mVersions.begin());

  int movedShare = 0;
  switch (aMove->mState) {
    case MoveState::Running:
      movedShare = std::clamp(aMove->mShare, 0, kTotalShare);
      break;
    case MoveState::Finished:
      movedShare = kTotalShare;
      break;
    case MoveState::TakenBack:
      movedShare = 0;
      break;
  }
  shares[toIndex] = 0;
  if (std::accumulate(shares.begin(), shares.end(), 0) == 0) {
    // The document gives all other versions the share 0: divide the rest
    // equally among them.
    std::fill(shares.begin(), shares.end(), 1);
    shares[toIndex] = 0;
  }
  shares = Apportion(shares, kTotalShare - movedShare);
  shares[toIndex] = movedShare;
  return shares;
}

} // namespace papayaway
