#include <rollout/TakeBackDecision.h>

namespace papayaway {

std::optional<MoveFact>
TakeBackDecision::Decide(const MoveInput& aInput,
                         const std::string& aNode,
                         const EvidenceWindow& aWindow,
                         Millis aNow)
{
  if (!aInput.mCurrent || aInput.mCurrent->mState == MoveState::TakenBack) {
    return std::nullopt;
  }
  const MoveTimes times = mMoveTimes.Observe(*aInput.mCurrent, aNow);
  if (times.mFinishFirstSeen + kPeriodAfterFinish < aNow) {
    return std::nullopt;
  }
  const Verdict verdict =
    mJudge.Judge(aWindow, MakeJudgeRequest(aInput, times));
  if (verdict.mJudgement != Judgement::Faulty) {
    return std::nullopt;
  }
  MoveFact fact = *aInput.mCurrent;
  fact.mState = MoveState::TakenBack;
  fact.mShare = 0;
  fact.mReason = verdict.mReason + " (seen by " + aNode + ")";
  return fact;
}

} // namespace papayaway
