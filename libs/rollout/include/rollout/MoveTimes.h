#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include <base/Millis.h>
#include <wire/Facts.h>

namespace papayaway {

/** Service, new version and attempt. */
using MoveKey = std::tuple<std::string, std::string, int>;

/** When a node first saw a move, its current stage and its end, by the node's
 *  own clock. MoveFact::mStarted comes from the clock of another host and can't
 *  be compared with the times of the evidence. */
struct MoveTimes
{
  Millis mMoveFirstSeen;
  /** The current stage. */
  std::uint64_t mStage = 0;
  Millis mStageFirstSeen;
  /** Never() until the move has finished. */
  Millis mFinishFirstSeen = Never();

  bool operator==(const MoveTimes&) const = default;
};

/** Keeps the MoveTimes of a limited number of moves; evicts the move whose
 *  stage changed least recently. */
class MoveTimesTracker
{
public:
  /** Records the state of a move.
   *  @param aFact the current fact of the move.
   *  @param aNow the node's own clock.
   *  @return the times of the move. */
  MoveTimes Observe(const MoveFact& aFact, Millis aNow);

private:
  std::map<MoveKey, MoveTimes> mMoveTimes;
};

} // namespace papayaway
