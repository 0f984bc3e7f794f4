#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <base/Random.h>

namespace papayaway {

/** The fault of the new version in a simulated move. */
enum class MoveFault
{
  None,
  /** Calls fail from the start of the move. */
  AtOnce,
  /** Calls fail from some time after the start of the move. */
  Late,
  /** Calls fail while the new version gets more calls per second than a
   *  threshold. */
  UnderLoad,
  /** Calls of one route fail. */
  OneRoute,
  /** Calls in one data centre fail. */
  OneDataCentre,
  /** Calls succeed but take 3 to 10 times as long. */
  Slow,
};

constexpr MoveFault kMoveFaults[]{
  MoveFault::None,      MoveFault::AtOnce,   MoveFault::Late,
  MoveFault::UnderLoad, MoveFault::OneRoute, MoveFault::OneDataCentre,
  MoveFault::Slow
};

/** @return the name used in benchmark reports, for example "under load". */
std::string ToString(MoveFault aFault);

struct MoveExperimentOptions
{
  MoveFault mFault = MoveFault::None;
  /** The number of moves to simulate. */
  int mMoves = 200;
  std::uint64_t mSeed = 1;
  /** Calls per second of the whole service, over all nodes. */
  double mCallsPerSecond = 40;
  Millis mDeadline = Seconds(600);
  int mDataCentres = 4;
  int mNodesPerDataCentre = 2;
  /** The fraction of calls that fail in both versions without the fault. */
  double mBaseFailureRate = 0.005;
  /** The time that a published fact takes to reach every node and a report
   *  takes to reach the conductor. */
  Millis mPropagationDelay{ 300 };
};

/** The outcome of one simulated move. Bids are the calls of "/bids", the only
 *  non-idempotent route of the simulated service. */
struct MoveTrialResult
{
  bool mFinished = false;
  bool mTakenBack = false;
  /** The time from the start to the end of the move. */
  Millis mDuration;
  /** The bids that the new version ran before the move finished. */
  int mBids = 0;
  /** Whether the fault affected a call before the move finished. */
  bool mFaultyCallInMove = false;
  /** The calls of all routes that failed or were slow because of the fault of
   *  the new version. */
  int mFaultyCalls = 0;
  /** The bids that the new version ran after its first faulty call. */
  int mBidsAfterFault = 0;
  /** The time from the first faulty call until every node sends no calls to
   *  the new version; 0 if the move was not taken back. */
  Millis mTimeToZeroShare;
  /** Why the move was taken back; empty if it was not. */
  std::string mReason;
};

/** Simulates one move. The route, node, outcome and latency of each call are
 *  random; the decisions are made by the classes of this library. */
MoveTrialResult RunMoveTrial(const MoveExperimentOptions& aOptions,
                             Random& aRandom);

/** The aggregated outcomes of the moves of one experiment. */
struct MoveExperimentResult
{
  int mMoves = 0;
  int mFinishedByDeadline = 0;
  int mMovesTakenBack = 0;
  /** The moves that were not taken back and in which the fault affected no
   *  call before the end of the move. */
  int mMovesWithoutFaultyCall = 0;
  /** The highest values of any one move. */
  int mMaxBids = 0;
  int mMaxFaultyCalls = 0;
  int mMaxBidsAfterFault = 0;
  /** The mean over all moves. */
  double mMeanFaultyCalls = 0;
  /** The mean over the moves that were taken back. */
  Millis mMeanTimeToZeroShare;
  Millis mMaxTimeToZeroShare;
  /** The longest duration of a move that finished. */
  Millis mMaxMoveDuration;
};

MoveExperimentResult RunMoveExperiment(const MoveExperimentOptions& aOptions);

/** @return one line of text with the fault and all results. */
std::string ToString(const MoveExperimentOptions& aOptions,
                     const MoveExperimentResult& aResult);

} // namespace papayaway
