#include <traffic/EndpointPicker.h>

#include <algorithm>
#include <iterator>

#include <base/Hash.h>

namespace papayaway {

namespace {

constexpr Millis kColdStart = Seconds(5);
constexpr double kColdWeight = 0.1;
// A report is worth nothing after this long: calls of other entry nodes have
// ended or begun since.
constexpr Millis kReportLifetime = Seconds(1);
constexpr double kLatencyWeight = 0.1;
constexpr int kRings = 3;

/** @return the calls that are probably in flight at the endpoint. */
double
LoadOf(const EndpointObservation& aObservation, Millis aNow)
{
  const double age = (aNow - aObservation.mReportedAt) / kReportLifetime;
  const double reported =
    aObservation.mReportedLoad * std::clamp(1 - age, 0.0, 1.0) +
    aObservation.mSentSinceReport;
  return std::max<double>(
    aObservation.mInFlight,
    // Own calls that were answered since are no longer in flight.
    std::min(reported,
             aObservation.mInFlight + 1.0 * aObservation.mReportedLoad));
}

double
WeightOf(const EndpointObservation& aObservation, Millis aNow)
{
  const double age = (aNow - aObservation.mFirstSeen) / kColdStart;
  return std::clamp(age, kColdWeight, 1.0);
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
  ++mSnapshots;
  for (const Service& service : aTable.SourceDocument().mServices) {
    for (const VersionShare& version : service.mVersions) {
      for (const Endpoint& endpoint :
           aTable.Endpoints(service.mName, version.mName)) {
        EndpointObservation* observation = Edit(endpoint.mNode);
        if (observation == nullptr) {
          observation = Start(endpoint.mNode, aNow);
        } else if (observation->mSnapshot + 1 < mSnapshots) {
          // It is back with the calls that were in flight when it left.
          observation->mFirstSeen = aNow;
          observation->mCircuit = CircuitState();
        }
        if (observation != nullptr) {
          observation->mSnapshot = mSnapshots;
        }
      }
    }
  }
  std::erase_if(mObservations, [&](const auto& aEntry) {
    return aEntry.second.mSnapshot < mSnapshots && aEntry.second.mInFlight == 0;
  });
}

const Endpoint*
EndpointPicker::Pick(const RouteTable& aTable,
                     const PickRequest& aRequest,
                     Random& aRandom) const
{
  mCandidates.clear();
  std::size_t bad = 0;
  for (const Endpoint& endpoint :
       aTable.Endpoints(aRequest.mService, aRequest.mVersion)) {
    if (std::find(aRequest.mExcluded.begin(),
                  aRequest.mExcluded.end(),
                  endpoint.mNode) != aRequest.mExcluded.end()) {
      continue;
    }
    Candidate candidate{ &endpoint, 2, true, false, 1.0 / endpoint.mSlots };
    if (endpoint.mDataCentre == aRequest.mDataCentre) {
      candidate.mRing = 0;
    } else if (endpoint.mRegion == aRequest.mRegion) {
      candidate.mRing = 1;
    }
    if (const EndpointObservation* seen = Find(endpoint.mNode)) {
      const double load = LoadOf(*seen, aRequest.mNow);
      candidate.mAllowed = seen->mCircuit.Allows(aRequest.mNow);
      candidate.mFull = load >= endpoint.mSlots;
      candidate.mScore =
        (load + 1) / (endpoint.mSlots * WeightOf(*seen, aRequest.mNow));
      if (seen->mCircuit.IsOpen()) {
        ++bad;
        // A probe that is due is preferred: by load alone an endpoint with a
        // call that was never answered would not be probed while others idle.
        candidate.mScore = candidate.mAllowed ? 0 : candidate.mScore;
      }
    }
    mCandidates.push_back(candidate);
  }
  if (mCandidates.empty()) {
    return nullptr;
  }
  const bool panic = 2 * bad > mCandidates.size();

  // The nearest ring with a free endpoint; if all are full, the nearest ring,
  // so that calls that will be refused do not cross the paid link.
  int freeRing = kRings;
  int anyRing = kRings;
  for (const Candidate& candidate : mCandidates) {
    if (panic || candidate.mAllowed) {
      anyRing = std::min(anyRing, candidate.mRing);
      if (!candidate.mFull) {
        freeRing = std::min(freeRing, candidate.mRing);
      }
    }
  }
  const int ring = freeRing < kRings ? freeRing : anyRing;
  std::erase_if(mCandidates, [&](const Candidate& aCandidate) {
    return aCandidate.mRing != ring || (!panic && !aCandidate.mAllowed) ||
           (freeRing < kRings && aCandidate.mFull);
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
  EndpointObservation* observation = Edit(aNode);
  if (observation == nullptr) {
    observation = Start(aNode, aNow);
  }
  if (observation != nullptr) {
    ++observation->mInFlight;
    ++observation->mSentSinceReport;
    observation->mCircuit.OnSent(aNow);
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
  EndpointObservation* observation = Edit(aNode);
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
              (aLatency - observation->mLatency) * kLatencyWeight;
      observation->mCircuit.OnSuccess();
      break;
    case Outcome::NotRun:
      if (aLoad < aSlots) {
        observation->mCircuit.OnRefusal(aNow, aRandom);
      } else {
        observation->mCircuit.OnAbandoned(aNow);
      }
      break;
    case Outcome::Unknown:
      observation->mCircuit.OnFailure(aNow, aRandom);
      break;
  }
}

void
EndpointPicker::OnFailure(std::string_view aNode, Millis aNow, Random& aRandom)
{
  if (EndpointObservation* observation = Edit(aNode)) {
    observation->mInFlight = std::max(0, observation->mInFlight - 1);
    observation->mCircuit.OnFailure(aNow, aRandom);
  }
}

void
EndpointPicker::OnAbandoned(std::string_view aNode, Millis aNow)
{
  if (EndpointObservation* observation = Edit(aNode)) {
    observation->mInFlight = std::max(0, observation->mInFlight - 1);
    observation->mCircuit.OnAbandoned(aNow);
  }
}

const EndpointObservation*
EndpointPicker::Find(std::string_view aNode) const
{
  const auto found = mObservations.find(aNode);
  return found == mObservations.end() ? nullptr : &found->second;
}

EndpointObservation*
EndpointPicker::Edit(std::string_view aNode)
{
  const auto found = mObservations.find(aNode);
  return found == mObservations.end() ? nullptr : &found->second;
}

EndpointObservation*
EndpointPicker::Start(std::string_view aNode, Millis aNow)
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
  started.mSnapshot = mSnapshots;
  return &started;
}

} // namespace papayaway
