#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <base/Millis.h>
#include <base/Random.h>
#include <traffic/CircuitBreaker.h>
#include <traffic/RouteTable.h>
#include <wire/Messages.h>

namespace papayaway {

/** The input of EndpointPicker::Pick() for one call. */
struct PickRequest
{
  std::string_view mService;
  std::string_view mVersion;
  /** The data centre and region of the entry node. */
  std::string_view mDataCentre;
  std::string_view mRegion;
  /** Nodes not to choose because the call was already sent to them. */
  std::span<const std::string> mExcluded;
  Millis mNow;
};

/** What this entry node has observed of the endpoint at one node. */
struct EndpointObservation
{
  /** Calls that this entry node sent and that have not ended. */
  int mInFlight = 0;
  /** The load reported in the last reply, the time of that reply, and the
   *  calls that this entry node has sent since. */
  int mReportedLoad = 0;
  Millis mReportedAt;
  int mSentSinceReport = 0;
  /** Exponential moving average over about ten replies. */
  Millis mLatency;
  /** When the endpoint was first observed, which starts its slow start. */
  Millis mFirstSeen;
  /** The value of EndpointPicker::mSnapshotCount at the last snapshot that
   *  contained the endpoint. */
  std::uint64_t mLastSnapshot = 0;
  CircuitBreaker mCircuitBreaker;
};

/**
 * Chooses the endpoint for a call from the observations of this entry node.
 *
 * Not thread-safe.
 */
class EndpointPicker
{
public:
  /** @param aMaxObserved the maximum number of observations to hold. */
  explicit EndpointPicker(std::size_t aMaxObserved = 4096)
    : mMaxObserved(aMaxObserved)
  {
  }

  /** Starts to observe the endpoints that are new in aTable and drops the
   *  observations of absent ones without calls in flight. Must be called with
   *  each new snapshot. A new endpoint gets a reduced weight for 5 s (slow
   *  start). */
  void OnSnapshot(const RouteTable& aTable, Millis aNow);

  /**
   * Chooses an endpoint for one call. Endpoints in the data centre of the entry
   * node are preferred, then those in its region, then all others. A locality
   * whose endpoints are all full is skipped while another one has a free
   * endpoint. Within the locality, two random endpoints are compared by load
   * relative to slots (power of two choices). Endpoints with an open circuit
   * are skipped, unless that applies to more than half of the endpoints: then
   * the fault is more likely on the side of this node, for example a network
   * partition, and all endpoints are used.
   *
   * @return the endpoint, valid as long as aTable, or nullptr if there is no
   *   endpoint that may be used.
   */
  [[nodiscard]] const Endpoint* Pick(const RouteTable& aTable,
                                     const PickRequest& aRequest,
                                     Random& aRandom) const;

  /** Records that a call was sent to aNode. Its end must be recorded with one
   *  of OnReply(), OnFailure() and OnAbandoned(). */
  void OnSent(std::string_view aNode, Millis aNow);

  /**
   * Records a reply.
   *
   * @param aLoad calls in flight at aNode when it replied.
   * @param aSlots the slots of the endpoint. A refusal at a lower load than
   *   this is not due to overload and counts against the endpoint.
   */
  void OnReply(std::string_view aNode,
               Outcome aOutcome,
               int aLoad,
               int aSlots,
               Millis aLatency,
               Millis aNow,
               Random& aRandom);

  /** Records that the link was lost or the deadline passed. */
  void OnFailure(std::string_view aNode, Millis aNow, Random& aRandom);

  /** Records that the call ended for a reason on the side of the caller. */
  void OnAbandoned(std::string_view aNode, Millis aNow);

  /** @return the observation of aNode, or nullptr. */
  [[nodiscard]] const EndpointObservation* Find(std::string_view aNode) const;

  [[nodiscard]] std::size_t ObservedCount() const
  {
    return mObservations.size();
  }

private:
  struct StringHash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aText) const;
  };

  struct Candidate
  {
    const Endpoint* mEndpoint;
    /** 0: same data centre as the entry node, 1: same region, 2: elsewhere. */
    int mLocality;
    /** Whether the circuit breaker allows a call. */
    bool mAllowed;
    bool mFull;
    /** Load relative to slots and weight. Lower is better. */
    double mScore;
  };

  EndpointObservation* FindMutable(std::string_view aNode);
  EndpointObservation* StartObserving(std::string_view aNode, Millis aNow);

  std::size_t mMaxObserved;
  std::uint64_t mSnapshotCount = 0;
  std::
    unordered_map<std::string, EndpointObservation, StringHash, std::equal_to<>>
      mObservations;
  /** Scratch buffer of Pick(), kept to avoid an allocation per call. */
  mutable std::vector<Candidate> mCandidates;
};

} // namespace papayaway
