#pragma once

#include <optional>
#include <string>

#include <rollout/MoveController.h>

namespace papayaway {

/**
 * The decision of any node to take a version back, from the evidence that
 * this node has. It needs no lease and no platform: a taken-back fact absorbs
 * every other state of the move (Supersedes()).
 *
 * A serving node calls it when a call of the new version has failed and once
 * per evidence period. Without evidence on the old version the judge assumes
 * a failure rate of 1%, so 4 failures in a row are enough.
 */
class TakeBack
{
public:
  /** A fault that shows when the conductor has just finished the move still
   *  takes it back. Later the old version may be gone. */
  static constexpr Millis kWatchAfterFinish = Seconds(60);

  TakeBack() = default;
  explicit TakeBack(JudgeOptions aOptions)
    : mJudge(aOptions)
  {
  }

  /** @param aInput the move; the lease and token are not used.
   *  @param aNode this node, named in the reason.
   *  @return the taken-back fact to publish, or none. */
  std::optional<MoveFact> Decide(const MoveInput& aInput,
                                 const std::string& aNode,
                                 const EvidenceWindow& aWindow,
                                 Millis aNow);

private:
  EvidenceJudge mJudge;
  MoveWatches mWatches;
};

} // namespace papayaway
