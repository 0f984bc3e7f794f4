#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

#include <base/Millis.h>

namespace papayaway {

/** The traffic share of the new version in the stages 1, 2, … of a move, in
 *  thousandths. */
constexpr std::array<int, 5> kMoveShares{ 10, 50, 200, 500, 1000 };

constexpr std::uint64_t kLastStage = kMoveShares.size();

/** @return the traffic share of aStage in thousandths; 0 for stage 0. */
constexpr int
StageShare(std::uint64_t aStage)
{
  return aStage == 0 ? 0 : kMoveShares[std::min(aStage, kLastStage) - 1];
}

/** How long the stages of a move last, mostly as fractions of its deadline,
 *  which is a time span from the start of the move. */
struct ShareSchedule
{
  /** The minimum duration of a stage, which gives its evidence time to arrive,
   *  as a fraction of the deadline. */
  double mMinStageFraction = 0.02;
  /** The minimum duration of a stage is clamped to these bounds. */
  Millis mMinStageLowerBound = Seconds(2);
  Millis mMinStageUpperBound = Seconds(30);
  /** The minimum duration of the last stage, in which all traffic goes to the
   *  new version, as a fraction of the deadline. */
  double mMinFinalStageFraction = 0.06;
  /** Without sufficient evidence, stage n ends at n times this fraction of the
   *  deadline; the last stage ends at 5 * 0.17 = 0.85 of it. */
  double mLatestStageEndFraction = 0.17;

  /** @return the minimum duration of aStage if the new version is found
   *    healthy. */
  [[nodiscard]] Millis MinStageTime(std::uint64_t aStage,
                                    Millis aDeadline) const
  {
    if (aStage >= kLastStage) {
      return std::max(mMinStageLowerBound, aDeadline * mMinFinalStageFraction);
    }
    return std::clamp(
      aDeadline * mMinStageFraction, mMinStageLowerBound, mMinStageUpperBound);
  }

  /** @return the minimum duration of aStage without sufficient evidence. It
   *    takes effect if a conductor takes over after LatestStageEnd(): each
   *    stage then lasts twice MinStageTime(). As that could exceed a short
   *    deadline, the result is limited to 0.75 * mLatestStageEndFraction of
   *    the deadline, but is at least MinStageTime(). */
  [[nodiscard]] Millis MinStageTimeWithoutEvidence(std::uint64_t aStage,
                                                   Millis aDeadline) const
  {
    return std::min(MinStageTime(aStage, aDeadline) * 2,
                    std::max(MinStageTime(aStage, aDeadline),
                             aDeadline * mLatestStageEndFraction * 0.75));
  }

  /** @return the time from the start of the move after which aStage ends even
   *    without sufficient evidence. */
  [[nodiscard]] Millis LatestStageEnd(std::uint64_t aStage,
                                      Millis aDeadline) const
  {
    return aDeadline * (mLatestStageEndFraction * static_cast<double>(aStage));
  }
};

} // namespace papayaway
