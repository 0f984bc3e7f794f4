#include <traffic/EndpointPicker.h>

#include <algorithm>
#include <iterator>

#include <base/Hash.h>

namespace papayaway {

namespace {

constexpr Millis kSlowStart = Seconds(5);
constexpr double kMinSlowStartWeight = 0.1;
// The age from which a reported load is ignored, because calls of other entry
// nodes have started and ended since.
constexpr Millis kLoadReportLifetime = Seconds(1);
constexpr double kLatencySmoothingFactor = 0.1;
constexpr int kLocalities = 3;

/** @return the estimated number of calls in flight at the endpoint, from this
 *    and all other entry nodes. */
double
EstimatedLoad(const EndpointObservation& aObservation, Millis aNow)
{
  const double age = (aNow - aObservation.mReportedAt) / kLoadReportLifetime;
  const double reported =
    aObservation.mReportedLoad * std::clamp(1 - age, 0.0, 1.0) +
    aObservation.mSentSinceReport;
  return std::max<double>(
    aObservation.mInFlight,
    // Calls of this node that have ended since the report are no longer in
    // flight.
    std::min(reported,
             aObservation.mInFlight + 1.0 * aObservation.mReportedLoad));
}

double
SlowStartWeight(const EndpointObservation& aObservation, Millis aNow)
{
  const double age = (aNow - aObservation.mFirstSeen) / kSlowStart;
  return std::clamp(age, kMinSlowStartWeight, 1.0);
}

} // namespace

std::size_t
EndpointPicker::StringHash::operator()(std::string_view aText) const
{
  return Hash64(aText);
}

void
EndpointPicker::OnSnapshot(const RouteTable& aTable, Millis aNow)
{
  ++mSnapshotCount;
  for (const Service& service : aTable.SourceDocument().mServices) {
    for (const VersionShare& version : service.mVersions) {
      for (const Endpoint& endpoint :
           aTable.Endpoints(service.mName, version.mName)) {
        EndpointObservation* observation = FindMutable(endpoint.mNode);
        if (observation == nullptr) {
          observation = StartObserving(endpoint.mNode, aNow);
        } else if (observation->mLastSnapshot + 1 < mSnapshotCount) {
          // The endpoint was absent from the last snapshot and was still
          // observed only because of calls in flight: treat it as new.
          observation->mFirstSeen = aNow;
          observation->mCircuitBreaker = CircuitBreaker();
        }
        if (observation != nullptr) {
          observation->mLastSnapshot = mSnapshotCount;
        }
      }
    }
  }
  std::erase_if(mObservations, [&](const auto& aEntry) {
    return aEntry.second.mLastSnapshot < mSnapshotCount &&
           aEntry.second.mInFlight == 0;
  });
}

const Endpoint*
EndpointPicker::Pick(const RouteTable& aTable,
                     const PickRequest& aRequest,
                     Random& aRandom) const
{
  mCandidates.clear();
  std::size_t openCircuits = 0;
  for (const Endpoint& endpoint :
       aTable.Endpoints(aRequest.mService, aRequest.mVersion)) {
    if (std::find(aRequest.mExcluded.begin(),
                  aRequest.mExcluded.end(),
                  endpoint.mNode) != aRequest.mExcluded.end()) {
      continue;
    }
    Candidate candidate{ &endpoint, 2, true, false, 1.0 / endpoint.mSlots };
    if (endpoint.mDataCentre == aRequest.mDataCentre) {
      candidate.mLocality = 0;
    } else if (endpoint.mRegion == aRequest.mRegion) {
      candidate.mLocality = 1;
    }
    if (const EndpointObservation* observation = Find(endpoint.mNode)) {
      const double load = EstimatedLoad(*observation, aRequest.mNow);
      candidate.mAllowed = observation->mCircuitBreaker.Allows(aRequest.mNow);
      candidate.mFull = load >= endpoint.mSlots;
      candidate.mScore =
        (load + 1) /
        (endpoint.mSlots * SlowStartWeight(*observation, aRequest.mNow));
      if (observation->mCircuitBreaker.IsOpen()) {
        ++openCircuits;
        // An endpoint that is due for a probe gets the best score. By load
        // alone, one with a call that was never answered would not be probed
        // while others are idle.
        candidate.mScore = candidate.mAllowed ? 0 : candidate.mScore;
      }
    }
    mCandidates.push_back(candidate);
  }
  if (mCandidates.empty()) {
    return nullptr;
  }
  const bool mostCircuitsOpen = 2 * openCircuits > mCandidates.size();

  // The nearest locality with a free endpoint or, if all are full, the nearest
  // one, so that calls that will be refused do not use the billed links between
  // data centres.
  int nearestFree = kLocalities;
  int nearestAny = kLocalities;
  for (const Candidate& candidate : mCandidates) {
    if (mostCircuitsOpen || candidate.mAllowed) {
      nearestAny = std::min(nearestAny, candidate.mLocality);
      if (!candidate.mFull) {
        nearestFree = std::min(nearestFree, candidate.mLocality);
      }
    }
  }
  const int locality = nearestFree < kLocalities ? nearestFree : nearestAny;
  std::erase_if(mCandidates, [&](const Candidate& aCandidate) {
    return aCandidate.mLocality != locality ||
           (!mostCircuitsOpen && !aCandidate.mAllowed) ||
           (nearestFree < kLocalities && aCandidate.mFull);
  });
  if (mCandidates.empty()) {
    return nullptr;
  }
  if (mCandidates.size() == 1) {
    return mCandidates.front().mEndpoint;
  }
  const std::size_t first = UniformBelow(aRandom, mCandidates.size());
  std::size_t second = UniformBelow(aRandom, mCandidates.size() - 1);
  second += second >= first ? 1 : 0;
  const bool secondIsLower =
    mCandidates[second].mScore < mCandidates[first].mScore;
  return mCandidates[secondIsLower ? second : first].mEndpoint;
}

void
EndpointPicker::OnSent(std::string_view aNode, Millis aNow)
{
  EndpointObservation* observation = FindMutable(aNode);
  if (observation == nullptr) {
    observation = StartObserving(aNode, aNow);
  }
  if (observation != nullptr) {
    ++observation->mInFlight;
    ++observation->mSentSinceReport;
    observation->mCircuitBreaker.OnSent(aNow);
  }
}

void
EndpointPicker::OnReply(std::string_view aNode,
                        Outcome aOutcome,
                        int aLoad,
                        int aSlots,
                        Millis aLatency,
                        Millis aNow,
                        Random& aRandom)
{
  EndpointObservation* observation = FindMutable(aNode);
  if (observation == nullptr) {
    return;
  }
  observation->mInFlight = std::max(0, observation->mInFlight - 1);
  observation->mReportedLoad = std::max(0, aLoad);
  observation->mReportedAt = aNow;
  observation->mSentSinceReport = 0;
  switch (aOutcome) {
    case Outcome::Ran:
      observation->mLatency =
        observation->mLatency == Millis{}
          ? aLatency
          : observation->mLatency +
              (aLatency - observation->mLatency) * kLatencySmoothingFactor;
      observation->mCircuitBreaker.OnSuccess();
      break;
    case Outcome::NotRun:
      if (aLoad < aSlots) {
        observation->mCircuitBreaker.OnRefusal(aNow, aRandom);
      } else {
        observation->mCircuitBreaker.OnAbandoned(aNow);
      }
      break;
    case Outcome::Unknown:
      observation->mCircuitBreaker.OnFailure(aNow, aRandom);
      break;
  }
}

void
EndpointPicker::OnFailure(std::string_view aNode, Millis aNow, Random& aRandom)
{
  if (EndpointObservation* observation = FindMutable(aNode)) {
    observation->mInFlight = std::max(0, observation->mInFlight - 1);
    observation->mCircuitBreaker.OnFailure(aNow, aRandom);
  }
}

void
EndpointPicker::OnAbandoned(std::string_view aNode, Millis aNow)
{
  if (EndpointObservation* observation = FindMutable(aNode)) {
    observation->mInFlight = std::max(0, observation->mInFlight - 1);
    observation->mCircuitBreaker.OnAbandoned(aNow);
  }
}

const EndpointObservation*
EndpointPicker::Find(std::string_view aNode) const
{
  const auto found = mObservations.find(aNode);
  return found == mObservations.end() ? nullptr : &found->second;
}

EndpointObservation*
EndpointPicker::FindMutable(std::string_view aNode)
{
  const auto found = mObservations.find(aNode);
  return found == mObservations.end() ? nullptr : &found->second;
}

EndpointObservation*
EndpointPicker::StartObserving(std::string_view aNode, Millis aNow)
{
  if (mObservations.size() >= mMaxObserved) {
    const auto idle = std::find_if(
      mObservations.begin(), mObservations.end(), [](const auto& aEntry) {
        return aEntry.second.mInFlight == 0;
      });
    if (idle == mObservations.end()) {
      return nullptr;
    }
    mObservations.erase(idle);
  }
  EndpointObservation& started = mObservations[std::string(aNode)];
  started.mFirstSeen = aNow;
  started.mReportedAt = aNow;
  started.mLastSnapshot = mSnapshotCount;
  return &started;
}

} // namespace papayaway
