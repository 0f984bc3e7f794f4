#include <rollout/MoveReport.h>

namespace papayaway {

MoveReport
MakeMoveReport(const MoveReportInput& aInput, Millis aNow)
{
  MoveReport report{ .mService = aInput.mService,
                     .mTo = aInput.mMove.mTo,
                     .mAttempt = aInput.mMove.mAttempt,
                     .mReason = aInput.mWaitReason };
  for (const std::string& dataCentre : aInput.mUnreachableDataCentres) {
    report.mUnobserved.push_back("no member of data centre " + dataCentre +
                                 " is reachable");
  }
  if (aInput.mFact) {
    report.mShare = aInput.mFact->mShare;
    report.mStage = aInput.mFact->mStage;
    if (aInput.mFact->mState == MoveState::TakenBack) {
      report.mProgress = MoveProgress::TakenBack;
      report.mShare = 0;
      report.mReason = aInput.mFact->mReason;
      return report;
    }
    if (aInput.mFact->mState == MoveState::Finished) {
      report.mProgress = MoveProgress::Finished;
      report.mReason.clear();
      return report;
    }
    if (aNow > aInput.mFact->mStarted + aInput.mMove.mDeadline) {
      report.mUnobserved.emplace_back(
        "the deadline has passed and no end of the move is known");
    }
  }
  if (aInput.mConductor.empty()) {
    report.mUnobserved.emplace_back("no conductor is known");
  }
  report.mProgress = report.mUnobserved.empty() ? MoveProgress::InProgress
                                                : MoveProgress::Unknown;
  return report;
}

std::string
ToString(MoveProgress aProgress)
{
  switch (aProgress) {
    case MoveProgress::InProgress:
      return "in progress";
    case MoveProgress::Finished:
      return "finished";
    case MoveProgress::TakenBack:
      return "taken back";
    case MoveProgress::Unknown:
      break;
  }
  return "unknown";
}

} // namespace papayaway
