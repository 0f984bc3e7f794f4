#include <rollout/MoveController.h>

namespace papayaway {
namespace {

/** If the new version should have got this many calls by its share but got
 *  none, the move does not advance. */
constexpr double kMinExpectedCalls = 30;

std::uint64_t
CountCalls(const EvidenceWindow& aWindow,
           const std::string& aService,
           const std::string& aVersion,
           Millis aSince)
{
  std::uint64_t calls = 0;
  for (const EvidenceBucket& bucket :
       aWindow.Find(aService, aVersion, "", "")) {
    calls += bucket.mFrom >= aSince ? bucket.mCalls : 0;
  }
  return calls;
}

/** @return whether the new version got no call in this stage although the old
 *    versions got many, for example because its endpoints refuse every call. */
bool
NewVersionGetsNoCalls(const MoveInput& aInput,
                      const EvidenceWindow& aWindow,
                      const MoveTimes& aTimes)
{
  const MoveFact& current = *aInput.mCurrent;
  if (current.mShare >= kTotalShare ||
      CountCalls(
        aWindow, current.mService, current.mTo, aTimes.mStageFirstSeen) > 0) {
    return false;
  }
  std::uint64_t oldCalls = 0;
  for (const std::string& version : aInput.mOldVersions) {
    oldCalls +=
      CountCalls(aWindow, current.mService, version, aTimes.mStageFirstSeen);
  }
  return static_cast<double>(oldCalls) * current.mShare /
           (kTotalShare - current.mShare) >=
         kMinExpectedCalls;
}

} // namespace

JudgeRequest
MakeJudgeRequest(const MoveInput& aInput, const MoveTimes& aTimes)
{
  return { .mService = aInput.mService,
           .mNewVersion = aInput.mMove.mTo,
           .mOldVersions = aInput.mOldVersions,
           .mRoutes = aInput.mRoutes,
           .mMoveFirstSeen = aTimes.mMoveFirstSeen,
           .mStageFirstSeen = aTimes.mStageFirstSeen };
}

std::optional<MoveFact>
MoveController::NextFact(const MoveInput& aInput,
                         const EvidenceWindow& aWindow,
                         Millis aNow)
{
  const MoveKey key{ aInput.mService, aInput.mMove.mTo, aInput.mMove.mAttempt };
  if (mWaitReasons.size() > 1024) {
    mWaitReasons.clear();
  }
  std::string& waiting = mWaitReasons[key];
  waiting.clear();

  if (!aInput.mCurrent) {
    if (!aInput.mHoldsLease) {
      waiting = "this node is not the conductor";
      return std::nullopt;
    }
    if (!aInput.mTargetsReady) {
      waiting = "no endpoint of the new version is ready";
      return std::nullopt;
    }
    return MoveFact{ .mService = aInput.mService,
                     .mTo = aInput.mMove.mTo,
                     .mAttempt = aInput.mMove.mAttempt,
                     .mStage = 1,
                     .mShare = StageShare(1),
                     .mStarted = aNow,
                     .mToken = aInput.mToken };
  }
  const MoveFact& current = *aInput.mCurrent;
  if (current.mState != MoveState::Running) {
    return std::nullopt;
  }
  const MoveTimes times = mMoveTimes.Observe(current, aNow);
  const Verdict verdict =
    mJudge.Judge(aWindow, MakeJudgeRequest(aInput, times));
  MoveFact next = current;
  if (verdict.mJudgement == Judgement::Faulty) {
    next.mState = MoveState::TakenBack;
    next.mShare = 0;
    next.mReason = verdict.mReason;
    return next;
  }
  // A higher token in the fact means that another node has become conductor.
  if (!aInput.mHoldsLease || aInput.mToken < current.mToken) {
    waiting = "this node is not the conductor";
    return std::nullopt;
  }
  if (!aInput.mTargetsReady) {
    waiting = "no endpoint of the new version is ready";
    return std::nullopt;
  }
  const Millis deadline = aInput.mMove.mDeadline;
  const Millis timeInStage = aNow - times.mStageFirstSeen;
  const Millis minStageTime = mSchedule.MinStageTime(current.mStage, deadline);
  if (timeInStage < minStageTime) {
    waiting = "the stage has just begun";
    return std::nullopt;
  }
  if (verdict.mJudgement != Judgement::Healthy ||
      !aInput.mAllDataCentresObserved) {
    if (NewVersionGetsNoCalls(aInput, aWindow, times)) {
      waiting = "no call reaches the new version";
      return std::nullopt;
    }
    if (aNow - current.mStarted <
          mSchedule.LatestStageEnd(current.mStage, deadline) ||
        timeInStage <
          mSchedule.MinStageTimeWithoutEvidence(current.mStage, deadline)) {
      waiting = aInput.mAllDataCentresObserved
                  ? "more evidence: " + verdict.mReason
                  : "a data centre can't be observed";
      return std::nullopt;
    }
  }
  next.mToken = aInput.mToken;
  if (current.mStage >= kLastStage) {
    next.mState = MoveState::Finished;
    return next;
  }
  next.mStage = current.mStage + 1;
  next.mShare = StageShare(next.mStage);
  return next;
}

std::string
MoveController::WaitReason(const MoveInput& aInput) const
{
  const auto it = mWaitReasons.find(
    { aInput.mService, aInput.mMove.mTo, aInput.mMove.mAttempt });
  return it == mWaitReasons.end() ? "" : it->second;
}

} // namespace papayaway
