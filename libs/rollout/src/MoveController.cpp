#include <rollout/MoveController.h>

namespace papayaway {
namespace {

/** Calls expected at the new version whose absence is a fault by itself. */
constexpr double kExpectedCalls = 30;

std::uint64_t
Calls(const EvidenceWindow& aWindow,
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

/** @return whether the old version is busy and the new one gets no call,
 *    for example because its endpoints refuse every call. */
bool
ReceivesNothing(const MoveInput& aInput,
                const EvidenceWindow& aWindow,
                const MoveWatch& aWatch)
{
  const MoveFact& current = *aInput.mCurrent;
  if (current.mShare >= kWholeShare ||
      Calls(aWindow, current.mService, current.mTo, aWatch.mStageSince) > 0) {
    return false;
  }
  std::uint64_t old = 0;
  for (const std::string& version : aInput.mOld) {
    old += Calls(aWindow, current.mService, version, aWatch.mStageSince);
  }
  return static_cast<double>(old) * current.mShare /
           (kWholeShare - current.mShare) >=
         kExpectedCalls;
}

} // namespace

JudgeRequest
MakeJudgeRequest(const MoveInput& aInput, const MoveWatch& aWatch)
{
  return { .mService = aInput.mService,
           .mNew = aInput.mMove.mTo,
           .mOld = aInput.mOld,
           .mRoutes = aInput.mRoutes,
           .mSince = aWatch.mSince,
           .mStageSince = aWatch.mStageSince };
}

std::optional<MoveFact>
MoveController::Next(const MoveInput& aInput,
                     const EvidenceWindow& aWindow,
                     Millis aNow)
{
  const MoveKey key{ aInput.mService, aInput.mMove.mTo, aInput.mMove.mAttempt };
  if (mWaiting.size() > 1024) {
    mWaiting.clear();
  }
  std::string& waiting = mWaiting[key];
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
  const MoveWatch watch = mWatches.Observe(current, aNow);
  const Verdict verdict =
    mJudge.Judge(aWindow, MakeJudgeRequest(aInput, watch));
  MoveFact next = current;
  if (verdict.mJudgement == Judgement::Bad) {
    next.mState = MoveState::TakenBack;
    next.mShare = 0;
    next.mReason = verdict.mReason;
    return next;
  }
  // A token above ours means that another conductor has taken over.
  if (!aInput.mHoldsLease || aInput.mToken < current.mToken) {
    waiting = "this node is not the conductor";
    return std::nullopt;
  }
  if (!aInput.mTargetsReady) {
    waiting = "no endpoint of the new version is ready";
    return std::nullopt;
  }
  const Millis deadline = aInput.mMove.mDeadline;
  const Millis inStage = aNow - watch.mStageSince;
  const Millis shortest = mSchedule.Shortest(current.mStage, deadline);
  if (inStage < shortest) {
    waiting = "the stage has just begun";
    return std::nullopt;
  }
  if (verdict.mJudgement != Judgement::Good || !aInput.mAllObserved) {
    if (ReceivesNothing(aInput, aWindow, watch)) {
      waiting = "no call reaches the new version";
      return std::nullopt;
    }
    if (aNow - current.mStarted <
          mSchedule.ScarceEnd(current.mStage, deadline) ||
        inStage < mSchedule.ShortestScarce(current.mStage, deadline)) {
      waiting = aInput.mAllObserved ? "more evidence: " + verdict.mReason
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
MoveController::Waiting(const MoveInput& aInput) const
{
  const auto it =
    mWaiting.find({ aInput.mService, aInput.mMove.mTo, aInput.mMove.mAttempt });
  return it == mWaiting.end() ? "" : it->second;
}

} // namespace papayaway
