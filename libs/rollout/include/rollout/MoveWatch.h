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

/** When a node first saw parts of a move, by its own clock. The start in the
 *  fact comes from another host's clock and can't be compared with the times
 *  of the evidence. */
struct MoveWatch
{
  Millis mSince;
  std::uint64_t mStage = 0;
  Millis mStageSince;
  /** Never() while the move is not finished. */
  Millis mFinishedSince = Never();

  bool operator==(const MoveWatch&) const = default;
};

/** The watches of the newest moves, bounded. */
class MoveWatches
{
public:
  /** Notes the state of a move and @return its watch. */
  MoveWatch Observe(const MoveFact& aFact, Millis aNow);

private:
  std::map<MoveKey, MoveWatch> mWatches;
};

} // namespace papayaway
