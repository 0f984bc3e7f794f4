#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

#include <base/Millis.h>

namespace papayaway {

/** The shares of the stages 1, 2, … of a move in thousandths. */
constexpr std::array<int, 5> kMoveShares{ 10, 50, 200, 500, 1000 };

constexpr std::uint64_t kLastStage = kMoveShares.size();

/** @return the share of aStage; 0 for stage 0. */
constexpr int
StageShare(std::uint64_t aStage)
{
  return aStage == 0 ? 0 : kMoveShares[std::min(aStage, kLastStage) - 1];
}

/** When a move may and must go on, as fractions of its deadline. */
struct ShareSchedule
{
  /** A stage lasts at least this fraction, so that its evidence arrives. */
  double mShortestStage = 0.02;
  /** The bounds of the shortest stage. */
  Millis mShortestStageLow = Seconds(2);
  Millis mShortestStageHigh = Seconds(30);
  /** The final observation lasts at least this fraction. */
  double mObservation = 0.06;
  /** Without enough evidence stage n ends at n times this fraction; the last
   *  stage, which is the final observation, ends at 5 * 0.17 = 0.85. */
  double mScarceStage = 0.17;

  /** @return the least time in aStage when its evidence is good. */
  [[nodiscard]] Millis Shortest(std::uint64_t aStage, Millis aDeadline) const
  {
    if (aStage >= kLastStage) {
      return std::max(mShortestStageLow, aDeadline * mObservation);
    }
    return std::clamp(
      aDeadline * mShortestStage, mShortestStageLow, mShortestStageHigh);
  }

  /** @return the least time in a stage without enough evidence. A conductor
   *    that starts late catches up in double the shortest time per stage; with
   *    a short deadline that would take longer than the move may. */
  [[nodiscard]] Millis ShortestScarce(std::uint64_t aStage,
                                      Millis aDeadline) const
  {
    return std::min(
      Shortest(aStage, aDeadline) * 2,
      std::max(Shortest(aStage, aDeadline), aDeadline * mScarceStage * 0.75));
  }

  /** @return the time from the start of the move after which aStage ends
   *    even if evidence is scarce. */
  [[nodiscard]] Millis ScarceEnd(std::uint64_t aStage, Millis aDeadline) const
  {
    return aDeadline * (mScarceStage * static_cast<double>(aStage));
  }
};

} // namespace papayaway
