#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <base/Millis.h>
#include <base/Random.h>

namespace papayaway::gateway {

/** Where a target is, relative to the node that chooses it. */
enum class Distance
{
  SameDataCentre,
  SameRegion,
  OtherRegion,
};

/** The load of one target, as it was last reported. */
struct TargetLoad
{
  int mSlots = 1;
  /** Requests that hold a slot. */
  int mRunning = 0;
  /** Requests that wait for a slot. */
  int mWaiting = 0;
  /** The mean run time of its recent requests. */
  Millis mMeanRunTime{ 150 };
  /** The fraction of its recent requests that did not fail, 0 to 1. */
  double mSuccessRate = 1;
  /** How many requests a second the target's node admits now, if it limits
   *  them. */
  std::optional<double> mAdmissionRate;
  /** How many times longer than usual work takes at the target now. */
  double mSlowdown = 1;

  bool operator==(const TargetLoad&) const = default;
};

/** One target that a request may be sent to. */
struct TargetCandidate
{
  std::string_view mNode;
  Distance mDistance = Distance::SameDataCentre;
  TargetLoad mLoad;
  /** The time since the load was reported. */
  Millis mReportAge;
  /** Requests that this node has sent there since the last load report. */
  int mSentSinceReport = 0;
};

/** The properties of a request that decide which target suits it. */
struct RequestRequirements
{
  /** The time that is left until the latency objective of the request. */
  Millis mObjectiveLeft = Seconds(1);
  /** The mean run time of the route, divided by the mean run time of all
   *  requests of the service. */
  double mRunTimeRatio = 1;
  /** Whether to spread the requests over the suitable targets in proportion to
   *  their free capacity, see ChooseTarget(). */
  bool mSpread = false;
};

/** The costs of distance and of failures, as equivalent waiting times. The cost
 *  of distance decides only between targets that all miss the objective. */
struct ChoiceCosts
{
  /** Traffic between data centres is billed, so a target in another data centre
   *  is only used if it saves this much time. */
  Millis mOtherDataCentre{ 100 };
  /** Traffic between regions costs several times as much as between data
   *  centres and takes 24 ms. */
  Millis mOtherRegion{ 250 };
  /** The time that the caller loses when a request fails and is retried. */
  Millis mFailure{ 800 };
  /** A target in another data centre meets the objective only if the mean run
   *  time times this factor does. Run times vary; about 3 in 4 requests end
   *  within this time. */
  double mRunTimeMargin = 1.3;
};

/** The chosen candidate and its expected times. */
struct TargetChoice
{
  /** The index of the candidate. */
  std::size_t mIndex = 0;
  /** The expected wait for a slot. */
  Millis mExpectedWait;
  /** The expected run time. */
  Millis mExpectedRunTime;
};

/** @return how long a request would wait for a slot at the candidate. */
Millis ExpectedWait(const TargetCandidate& aCandidate);

/**
 * Chooses the nearest target that is expected to answer within the objective.
 * A faster response from further away has no additional value, and its traffic
 * is billed. If no target is expected to meet the objective, it chooses the one
 * with the shortest expected time, including the costs of distance and failure.
 *
 * It chooses at random among the candidates within 10% of the best, because
 * several nodes choose by the same load reports and would otherwise all send
 * their requests to the same target. A small fraction of requests goes to any
 * suitable candidate, so that the times of the others stay known.
 *
 * If the requirements ask for it, it chooses at random among the nearest
 * targets that are expected to meet the objective, with probabilities in
 * proportion to their free capacity and to the inverse of their expected time.
 * The older a report, the more the average of the targets takes its place: a
 * target whose report is older than the mean run time has ended most of the
 * requests that it reported. So many nodes with old reports don't all choose
 * the target that was idle when it reported.
 *
 * @return the choice, or nullopt if there are no candidates.
 */
std::optional<TargetChoice> ChooseTarget(
  std::span<const TargetCandidate> aCandidates,
  const RequestRequirements& aRequirements,
  const ChoiceCosts& aCosts,
  Random& aRandom);

} // namespace papayaway::gateway
