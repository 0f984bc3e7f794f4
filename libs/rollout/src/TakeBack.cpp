#include <rollout/TakeBack.h>

namespace papayaway {

std::optional<MoveFact>
TakeBack::Decide(const MoveInput& aInput,
                 const std::string& aNode,
                 const EvidenceWindow& aWindow,
                 Millis aNow)
{
  if (!aInput.mCurrent || aInput.mCurrent->mState == MoveState::TakenBack) {
    return std::nullopt;
  }
  const MoveWatch watch = mWatches.Observe(*aInput.mCurrent, aNow);
  if (watch.mFinishedSince + kWatchAfterFinish < aNow) {
    return std::nullopt;
  }
  const Verdict verdict =
    mJudge.Judge(aWindow, MakeJudgeRequest(aInput, watch));
  if (verdict.mJudgement != Judgement::Bad) {
    return std::nullopt;
  }
  MoveFact fact = *aInput.mCurrent;
  fact.mState = MoveState::TakenBack;
  fact.mShare = 0;
  fact.mReason = verdict.mReason + " (seen by " + aNode + ")";
  return fact;
}

} // namespace papayaway
