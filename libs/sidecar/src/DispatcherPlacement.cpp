// Dispatcher: where the targets of a request may be.

#include <sidecar/Dispatcher.h>

namespace papayaway::sidecar {

using gateway::Placement;

namespace {

/** The Retry-After value while no target in an allowed place can be reached. An
 *  outage of a region lasts for seconds. */
constexpr Millis kUnreachableRetryAfter = Seconds(1);
/** The Retry-After value if no node is in an allowed place, which only an
 *  operator can change; like all values it is reduced to what callers obey. */
constexpr Millis kNoPlaceRetryAfter = Seconds(10);

} // namespace

Placement
Dispatcher::PlacementOf(const gateway::RouteRule& aRule,
                        const std::string& aTenant) const
{
  return { .mRegions = mTable->Placements().For(aRule, aTenant),
           .mEvacuations = &mDependencies.mEvacuations };
}

Placement
Dispatcher::PlacementOf(const ActiveRequest& aActive) const
{
  Placement placement{ .mRegions = aActive.mTable->Placements().For(
                         *aActive.mRule, aActive.mTenant),
                       .mEvacuations = &mDependencies.mEvacuations };
  if (aActive.mTable != mTable) {
    const HttpMessage& request = aActive.mExchange->Request();
    const gateway::ActiveRule* const current = mTable->Find(
      request.mHeaders.Value("Host"),
      std::string_view(request.mTarget).substr(0, request.mTarget.find('?')));
    if (current != nullptr) {
      placement.mRegions =
        Intersect(placement.mRegions,
                  PlacementOf(current->mRule, aActive.mTenant).mRegions);
    }
  }
  return placement;
}

void
Dispatcher::AnswerNoTarget(std::uint64_t aId, const Placement& aPlacement)
{
  if (!aPlacement.IsRestricted()) {
    AnswerRefused(aId, "no_target", kDefaultRetryAfter);
    return;
  }
  const bool hasPlace = mDependencies.mTargets.HasAllowedPlace(aPlacement);
  AnswerRefused(aId,
                "no_allowed_target",
                hasPlace ? kUnreachableRetryAfter : kNoPlaceRetryAfter);
}

} // namespace papayaway::sidecar
