#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <base/Random.h>

namespace papayaway {

/** How the new version of an experiment differs from the old one. */
enum class MoveFault
{
  None,
  AtOnce,
  /** Fails from some time after the start. */
  Late,
  /** Fails when its calls per second pass a threshold. */
  UnderLoad,
  OneRoute,
  OneDataCentre,
  /** Answers correctly but 3 to 10 times slower. */
  Slow,
};

constexpr MoveFault kMoveFaults[]{
  MoveFault::None,      MoveFault::AtOnce,   MoveFault::Late,
  MoveFault::UnderLoad, MoveFault::OneRoute, MoveFault::OneDataCentre,
  MoveFault::Slow
};

/** @return a short name, for example "under load". */
std::string ToString(MoveFault aFault);

struct MoveExperimentOptions
{
  MoveFault mFault = MoveFault::None;
  int mMoves = 200;
  std::uint64_t mSeed = 1;
  double mCallsPerSecond = 40;
  Millis mDeadline = Seconds(600);
  int mDataCentres = 4;
  int mNodesPerDataCentre = 2;
  /** The share of failures in both versions. */
  double mBaseFailures = 0.005;
  /** The time until every node has a new fact or report. */
  Millis mDelay{ 300 };
};

/** One move. Bids are calls on the one non-idempotent route. */
struct MoveTrial
{
  bool mFinished = false;
  bool mTakenBack = false;
  /** From the start to the end of the move. */
  Millis mDuration;
  /** Bids that the new version ran before the move was finished. */
  int mBids = 0;
  /** Whether a faulty call came before the move was finished. */
  bool mShowedInMove = false;
  /** Calls of all routes that the new version failed or slowed down by its
   *  fault. */
  int mFaultyCalls = 0;
  /** Bids that the new version ran after its first faulty call. */
  int mBidsAfterFault = 0;
  /** From the first faulty call to a share of zero at every node, or 0. */
  Millis mToZeroShare;
  /** The evidence of a take-back. */
  std::string mReason;
};

/** Runs one move in a model that draws each call's route, data centre and
 *  outcome; nothing but the decisions of this library is real. */
MoveTrial RunMoveTrial(const MoveExperimentOptions& aOptions, Random& aRandom);

/** Sums over the moves of one experiment. */
struct MoveExperimentResult
{
  int mMoves = 0;
  int mFinishedByDeadline = 0;
  int mTakenBack = 0;
  /** Moves that finished before a faulty call and were not taken back. */
  int mNoFaultyCall = 0;
  int mMostBids = 0;
  int mMostFaultyCalls = 0;
  int mMostBidsAfterFault = 0;
  double mMeanFaultyCalls = 0;
  Millis mMeanToZeroShare;
  Millis mLongestToZeroShare;
  Millis mLongestFinish;
};

MoveExperimentResult RunMoveExperiment(const MoveExperimentOptions& aOptions);

/** @return one line with the fault and all figures. */
std::string ToString(const MoveExperimentOptions& aOptions,
                     const MoveExperimentResult& aResult);

} // namespace papayaway
