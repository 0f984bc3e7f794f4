#include "BenchMoves.h"

#include <algorithm>

#include <rollout/MoveExperiment.h>

namespace papayaway {

void
BenchMoves(BenchReport& aReport)
{
  for (const MoveFault fault : kMoveFaults) {
    const MoveExperimentOptions options{ .mFault = fault };
    const MoveExperimentResult result = RunMoveExperiment(options);
    std::string prefix = "moves." + ToString(fault) + ".";
    std::replace(prefix.begin(), prefix.end(), ' ', '_');
    const auto percentage = [&](int aCount) {
      return 100. * aCount / result.mMoves;
    };
    aReport.Add({ prefix + "finished_by_deadline",
                  percentage(result.mFinishedByDeadline),
                  "%",
                  {} });
    aReport.Add(
      { prefix + "taken_back", percentage(result.mMovesTakenBack), "%", {} });
    if (fault == MoveFault::None) {
      aReport.Add({ prefix + "longest_finish",
                    result.mMaxMoveDuration.mCount / 1000,
                    "s",
                    {} });
      continue;
    }
    aReport.Add({ prefix + "no_faulty_call",
                  percentage(result.mMovesWithoutFaultyCall),
                  "%",
                  {} });
    aReport.Add({ prefix + "faulty_calls_worst",
                  static_cast<double>(result.mMaxFaultyCalls),
                  "calls",
                  {} });
    aReport.Add(
      { prefix + "faulty_calls_mean", result.mMeanFaultyCalls, "calls", {} });
    aReport.Add({ prefix + "bids_exposed_worst",
                  static_cast<double>(result.mMaxBids),
                  "calls",
                  {} });
    aReport.Add({ prefix + "bids_after_fault_worst",
                  static_cast<double>(result.mMaxBidsAfterFault),
                  "calls",
                  {} });
    aReport.Add({ prefix + "to_zero_share_mean",
                  result.mMeanTimeToZeroShare.mCount,
                  "ms",
                  {} });
    aReport.Add({ prefix + "to_zero_share_longest",
                  result.mMaxTimeToZeroShare.mCount,
                  "ms",
                  {} });
  }
}

} // namespace papayaway
