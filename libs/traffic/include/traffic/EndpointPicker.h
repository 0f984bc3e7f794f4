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
#include <traffic/CircuitState.h>
#include <traffic/RouteTable.h>
#include <wire/Messages.h>

namespace papayaway {

/** What a call asks of EndpointPicker::Pick(). */
struct PickRequest
{
  std::string_view mService;
  std::string_view mVersion;
  /** Where the entry node is. */
  std::string_view mDataCentre;
  std::string_view mRegion;
  /** Nodes that the call was already sent to. */
  std::span<const std::string> mExcluded;
  Millis mNow;
};

/** What an entry node saw of the endpoint beside one node. */
struct EndpointObservation
{
  /** Own calls that were sent and not answered. */
  int mInFlight = 0;
  /** The load in the last reply, when it came, and own calls sent since. */
  int mReportedLoad = 0;
  Millis mReportedAt;
  int mSentSinceReport = 0;
  /** A moving average over about ten replies. */
  Millis mLatency;
  Millis mFirstSeen;
  /** The count of the last snapshot that had the endpoint. */
  std::uint64_t mSnapshot = 0;
  CircuitState mCircuit;
};

/**
 * Chooses the endpoint for a call from what this entry node observed.
 *
 * It holds at most aMaxObserved observations. Not thread-safe.
 */
class EndpointPicker
{
public:
  explicit EndpointPicker(std::size_t aMaxObserved = 4096)
    : mMaxObserved(aMaxObserved)
  {
  }

  /** Starts observations of new endpoints and ends those of absent ones. To
   *  be called with each new snapshot; a new endpoint is used less for 5 s. */
  void OnSnapshot(const RouteTable& aTable, Millis aNow);

  /**
   * Chooses in this order: endpoints of the own data centre, of the own
   * region, elsewhere; a ring whose endpoints are all known to be full is
   * passed over. Two random endpoints are compared by load relative to slots.
   * Endpoints with an open circuit are left out, unless more than half of
   * them look bad, which is more likely a fault of this node's view.
   *
   * @return the endpoint, valid as long as aTable, or nullptr if every
   *   endpoint is excluded or there is none.
   */
  [[nodiscard]] const Endpoint* Pick(const RouteTable& aTable,
                                     const PickRequest& aRequest,
                                     Random& aRandom) const;

  /** Tells that a call was sent to aNode. Each call ends with one of
   *  OnReply(), OnFailure() and OnAbandoned(). */
  void OnSent(std::string_view aNode, Millis aNow);

  /**
   * Tells of a reply.
   *
   * @param aLoad calls in flight at aNode when it replied.
   * @param aSlots the slots of the endpoint: a refusal with a load below them
   *   is not due to overload.
   */
  void OnReply(std::string_view aNode,
               Outcome aOutcome,
               int aLoad,
               int aSlots,
               Millis aLatency,
               Millis aNow,
               Random& aRandom);

  /** Tells that the link was lost or the deadline passed. */
  void OnFailure(std::string_view aNode, Millis aNow, Random& aRandom);

  /** Tells that the call ended for a reason on the side of the caller. */
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
    /** 0 own data centre, 1 own region, 2 elsewhere. */
    int mRing;
    bool mAllowed;
    bool mFull;
    /** Load relative to slots; the lower is chosen. */
    double mScore;
  };

  EndpointObservation* Edit(std::string_view aNode);
  EndpointObservation* Start(std::string_view aNode, Millis aNow);

  std::size_t mMaxObserved;
  std::uint64_t mSnapshots = 0;
  std::
    unordered_map<std::string, EndpointObservation, StringHash, std::equal_to<>>
      mObservations;
  /** Reused by Pick() to save the allocation. */
  mutable std::vector<Candidate> mCandidates;
};

} // namespace papayaway
