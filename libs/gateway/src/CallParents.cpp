#include <gateway/CallParents.h>

#include <cmath>
#include <vector>

namespace papayaway::gateway {

namespace {

/** The weight that the earlier requests of a route lose with each new one, so
 *  that the counts cover about the last 50. */
constexpr double kCountDecay = 0.98;
/** One matching and one other request are assumed for each route, so that a few
 *  requests do not decide. */
constexpr double kAssumedMatches = 1;
constexpr double kAssumedRequests = 2;

} // namespace

void
CallParents::OnStarted(std::uint64_t aId, RunningParent aParent)
{
  if (mRunning.size() < mOptions.mMaxParents) {
    mRunning.insert_or_assign(aId, std::move(aParent));
  }
}

void
CallParents::OnEnded(std::uint64_t aId)
{
  mRunning.erase(aId);
}

CallParents::RouteCounts&
CallParents::CountsOf(const std::string& aRoute)
{
  if (mRoutes.size() >= mOptions.mMaxRoutes && !mRoutes.contains(aRoute)) {
    // Routes of earlier desired states are forgotten; the others are counted
    // anew.
    mRoutes.clear();
  }
  return mRoutes[aRoute];
}

std::optional<RunningParent>
CallParents::Match(const std::string& aRoute,
                   std::optional<Millis> aTimeLeft,
                   Millis aNow)
{
  RouteCounts& counts = CountsOf(aRoute);
  counts.mRequests = counts.mRequests * kCountDecay + 1;
  counts.mMatches *= kCountDecay;
  if (!aTimeLeft) {
    return std::nullopt;
  }
  const Millis deadline = aNow + *aTimeLeft;
  const RunningParent* best = nullptr;
  double bestCount = 0;
  Millis bestDistance;
  bool oneRoute = true;
  for (const auto& [id, parent] : mRunning) {
    const Millis later = deadline - parent.mDeadline;
    if (*aTimeLeft > parent.mTimeLeft || later > mOptions.mMaxLater ||
        later < mOptions.mMaxEarlier * -1) {
      continue;
    }
    const auto found = counts.mParentRoutes.find(parent.mRoute);
    const double count =
      found == counts.mParentRoutes.end() ? 0 : found->second;
    const Millis distance{ std::abs(later.mCount) };
    oneRoute = oneRoute && (best == nullptr || best->mRoute == parent.mRoute);
    if (best == nullptr || count > bestCount ||
        (count == bestCount && distance < bestDistance)) {
      best = &parent;
      bestCount = count;
      bestDistance = distance;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  counts.mMatches += 1;
  if (oneRoute && (counts.mParentRoutes.size() < mOptions.mMaxRoutes ||
                   counts.mParentRoutes.contains(best->mRoute))) {
    double& matches = counts.mParentRoutes[best->mRoute];
    matches = matches * kCountDecay + 1;
  }
  const double fraction =
    (counts.mMatches + kAssumedMatches) / (counts.mRequests + kAssumedRequests);
  return fraction > mOptions.mMinMatchFraction ? std::optional(*best)
                                               : std::nullopt;
}

} // namespace papayaway::gateway
