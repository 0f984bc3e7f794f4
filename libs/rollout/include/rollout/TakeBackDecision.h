#pragma once

#include <optional>
#include <string>

#include <rollout/MoveController.h>

namespace papayaway {

/**
 * Decides at a serving node whether a move is taken back, that is, whether
 * all traffic returns to the old version.
 *
 * The decision uses only the evidence that this node has. It needs neither
 * the conductor's lease nor the platform, because a MoveFact in the state
 * TakenBack supersedes the facts of all other states of the same attempt
 * (Supersedes()).
 *
 * A serving node calls Decide() when a call of the new version has failed and
 * once per evidence period. Without evidence on the old version the judge
 * assumes a failure rate of 1%, so 4 failures in a row are enough.
 */
class TakeBackDecision
{
public:
  /** How long after its end a finished move can still be taken back. Faults
   *  that appear just after the end are covered; later the old version may
   *  no longer be running. */
  static constexpr Millis kPeriodAfterFinish = Seconds(60);

  TakeBackDecision() = default;
  explicit TakeBackDecision(JudgeOptions aOptions)
    : mJudge(aOptions)
  {
  }

  /** @param aInput the move; mHoldsLease and mToken are not used.
   *  @param aNode the id of this node, which becomes part of the reason.
   *  @param aWindow the evidence that this node has.
   *  @param aNow the clock by which the evidence was added to aWindow.
   *  @return the fact with the state TakenBack to publish, or none if the move
   *    goes on. */
  std::optional<MoveFact> Decide(const MoveInput& aInput,
                                 const std::string& aNode,
                                 const EvidenceWindow& aWindow,
                                 Millis aNow);

private:
  EvidenceJudge mJudge;
  MoveTimesTracker mMoveTimes;
};

} // namespace papayaway
