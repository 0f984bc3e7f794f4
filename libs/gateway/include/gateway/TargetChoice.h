#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <base/Millis.h>
#include <base/Random.h>

namespace papayaway::gateway {

/** How far a target is from the node that chooses. */
enum class Distance
{
  SameDataCentre,
  SameRegion,
  OtherRegion,
};

/** What a node knows of the load of one target. */
struct TargetLoad
{
  int mSlots = 1;
  int mRunning = 0;
  int mWaiting = 0;
  /** The mean time of its recent runs. */
  Millis mMeanRun{ 150 };
  /** The part of its recent runs that did not fail, 0 to 1. */
  double mSuccess = 1;

  bool operator==(const TargetLoad&) const = default;
};

/** One target that a request may go to. */
struct TargetCandidate
{
  std::string_view mNode;
  Distance mDistance = Distance::SameDataCentre;
  TargetLoad mLoad;
  /** Requests that this node sent there since the load was told. */
  int mSentSince = 0;
};

/** What a request needs of its target. */
struct ChoiceNeeds
{
  /** An answer within this time is worth most to the caller. */
  Millis mObjectiveLeft = Seconds(1);
  /** How long the route's requests run, relative to the mean of all requests
   *  of the service. */
  double mRunRatio = 1;
};

/** What a crossing and a failure cost, as time that it is worth to wait. They
 *  decide between targets that all miss the objective. */
struct ChoiceCosts
{
  /** Bytes between data centres are paid; a slot there must save this wait. */
  Millis mOtherDataCentre{ 100 };
  /** Bytes between regions cost several times as much and take 24 ms. */
  Millis mOtherRegion{ 250 };
  /** What the caller loses when a run fails and has to be repeated. */
  Millis mFailure{ 800 };
  /** Runs differ: behind a crossing this many means must fit into the
   *  objective, which holds for about 3 runs in 4. */
  double mRunMargin = 1.3;
};

/** The chosen candidate and what is expected of it. */
struct TargetChoice
{
  std::size_t mIndex = 0;
  Millis mWait;
  Millis mRun;
};

/** @return how long a request would wait for a slot at the candidate. */
Millis ExpectedWait(const TargetCandidate& aCandidate);

/**
 * Chooses the nearest target that is expected to answer within the objective,
 * since a faster answer from further away is worth no more and its bytes are
 * paid. If none is, it chooses the one with the least expected time, with the
 * costs of crossings and failures counted as time.
 *
 * Candidates within a tenth of the best are drawn from at random, because
 * several nodes choose by the same news of load and would otherwise all send
 * to one target.
 *
 * @return the choice, or nothing without candidates.
 */
std::optional<TargetChoice> ChooseTarget(
  std::span<const TargetCandidate> aCandidates,
  const ChoiceNeeds& aNeeds,
  const ChoiceCosts& aCosts,
  Random& aRandom);

} // namespace papayaway::gateway
