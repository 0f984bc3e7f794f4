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
    const auto share = [&](int aCount) {
      return 100. * aCount / result.mMoves;
    };
    aReport.Add({ prefix + "finished_by_deadline",
                  share(result.mFinishedByDeadline),
                  "%",
                  {} });
    aReport.Add({ prefix + "taken_back", share(result.mTakenBack), "%", {} });
    if (fault == MoveFault::None) {
      aReport.Add({ prefix + "longest_finish",
                    result.mLongestFinish.mCount / 1000,
                    "s",
                    {} });
      continue;
    }
    aReport.Add(
      { prefix + "no_faulty_call", share(result.mNoFaultyCall), "%", {} });
    aReport.Add({ prefix + "faulty_calls_worst",
                  static_cast<double>(result.mMostFaultyCalls),
                  "calls",
                  {} });
    aReport.Add(
      { prefix + "faulty_calls_mean", result.mMeanFaultyCalls, "calls", {} });
    aReport.Add({ prefix + "bids_exposed_worst",
                  static_cast<double>(result.mMostBids),
                  "calls",
                  {} });
    aReport.Add({ prefix + "bids_after_fault_worst",
                  static_cast<double>(result.mMostBidsAfterFault),
                  "calls",
                  {} });
    aReport.Add({ prefix + "to_zero_share_mean",
                  result.mMeanToZeroShare.mCount,
                  "ms",
                  {} });
    aReport.Add({ prefix + "to_zero_share_longest",
                  result.mLongestToZeroShare.mCount,
                  "ms",
                  {} });
  }
}

} // namespace papayaway
