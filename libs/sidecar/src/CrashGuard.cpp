#include <sidecar/CrashGuard.h>

#include <algorithm>
#include <utility>

namespace papayaway::sidecar {

namespace {

/** How long a lost call is kept as a possible suspect. Covers the time in which
 *  a crashed target starts again and checks in. */
constexpr Millis kLostCallRetention = Seconds(30);
/** Report ids kept for removing duplicates; far more than the reports that are
 *  in transit at any time. */
constexpr std::size_t kMaxSeenReports = 1024;

std::string
FingerprintOf(const CallMessage& aCall)
{
  return RequestFingerprint({ .mService = aCall.mService,
                              .mRoute = aCall.mRoute,
                              .mMethod = aCall.mMethod,
                              .mPath = aCall.mTarget,
                              .mBody = aCall.mBody });
}

} // namespace

CrashGuard::CrashGuard(std::string aNode,
                       std::function<void(const PeerMessage&)> aBroadcast,
                       EventLog& aLog,
                       SidecarMetrics& aMetrics)
  : mNode(std::move(aNode))
  , mBroadcast(std::move(aBroadcast))
  , mLog(aLog)
  , mMetrics(aMetrics)
{
}

void
CrashGuard::OnCallLost(const CallMessage& aCall, Millis aNow)
{
  if (mLostCalls.size() >= kMaxCrashSuspects) {
    mLostCalls.pop_front();
  }
  mLostCalls.push_back(
    { .mFingerprint = FingerprintOf(aCall), .mLostAt = aNow });
}

void
CrashGuard::OnTargetEnded(const std::string& aService,
                          std::optional<Millis> aReplacedAt,
                          Millis aNow)
{
  if (!mTargetEnd) {
    mTargetEnd = TargetEnd{ .mService = aService,
                            .mNoticedAt = aNow,
                            .mReplacedAt = aReplacedAt };
  }
}

std::set<std::string>
CrashGuard::TakeSuspects(const TargetEnd& aEnd)
{
  std::set<std::string> suspects;
  while (!mLostCalls.empty() &&
         mLostCalls.front().mLostAt <= aEnd.mNoticedAt + kSettleTime) {
    const LostCall& lost = mLostCalls.front();
    // The answer that came after the loss may be one of the new process, if
    // that uses the id of the old one.
    const bool survived =
      lost.mSurvivedAt &&
      (!aEnd.mReplacedAt || *lost.mSurvivedAt < *aEnd.mReplacedAt);
    if (!survived) {
      suspects.insert(lost.mFingerprint);
    }
    mLostCalls.pop_front();
  }
  return suspects;
}

void
CrashGuard::ReportCrash(const TargetEnd& aEnd)
{
  const std::size_t lostCalls = mLostCalls.size();
  const Millis newestLoss =
    mLostCalls.empty() ? Millis{} : aEnd.mNoticedAt - mLostCalls.back().mLostAt;
  const std::set<std::string> suspects = TakeSuspects(aEnd);
  if (suspects.empty()) {
    mMetrics.mTargetEndsWithoutSuspects.Increment();
    mLog.WriteStateChange("quarantine",
                          "crash_not_counted",
                          { { "service", aEnd.mService },
                            { "lost_calls", lostCalls },
                            { "newest_loss_ms", newestLoss.WholeMillis() } });
    return;
  }
  // The wall-clock time keeps ids unique across restarts of this process.
  const CrashMessage message{
    .mReport = { .mId = mNode + "/" + std::to_string(WallNow().WholeMillis()) +
                        "/" + std::to_string(++mCrashCount),
                 .mService = aEnd.mService,
                 .mFingerprints = { suspects.begin(), suspects.end() } }
  };
  mLog.WriteStateChange("quarantine",
                        "target_crashed",
                        { { "service", aEnd.mService },
                          { "requests_in_flight", suspects.size() },
                          { "newest_loss_ms", newestLoss.WholeMillis() } });
  RecordCrash(message);
  mBroadcast(message);
}

void
CrashGuard::OnAnswered(const CallMessage& aCall, Millis aSentAt, Millis aNow)
{
  for (LostCall& lost : mLostCalls) {
    if (!lost.mSurvivedAt && lost.mLostAt < aSentAt) {
      lost.mSurvivedAt = aNow;
    }
  }
  if (!mTrackingActive) {
    return;
  }
  const SuspectCompletedMessage message{ .mFingerprint = FingerprintOf(aCall) };
  if (OnSuspectCompleted(message)) {
    mBroadcast(message);
  }
}

bool
CrashGuard::OnCrashReport(const CrashMessage& aMessage)
{
  return RecordCrash(aMessage);
}

bool
CrashGuard::RecordCrash(const CrashMessage& aMessage)
{
  if (!mSeenReports.insert(aMessage.mReport.mId).second) {
    return false;
  }
  mSeenReportOrder.push_back(aMessage.mReport.mId);
  if (mSeenReportOrder.size() > kMaxSeenReports) {
    mSeenReports.erase(mSeenReportOrder.front());
    mSeenReportOrder.pop_front();
  }
  mTrackingActive = true;
  mTrackingUntil = WallNow() + Quarantine::kDuration;
  mMetrics.mTargetCrashes.Increment();
  mLog.WriteStateChange(
    "quarantine",
    "crash_recorded",
    { { "report", aMessage.mReport.mId },
      { "service", aMessage.mReport.mService },
      { "requests_in_flight", aMessage.mReport.mFingerprints.size() } });
  LogQuarantined(mQuarantine.OnCrash(aMessage.mReport, WallNow()));
  return true;
}

void
CrashGuard::OnTick(Millis aNow, Millis aWallNow)
{
  if (mTargetEnd && aNow >= mTargetEnd->mNoticedAt + kSettleTime) {
    ReportCrash(*mTargetEnd);
    mTargetEnd.reset();
  }
  while (!mLostCalls.empty() &&
         aNow - mLostCalls.front().mLostAt > kLostCallRetention) {
    mLostCalls.pop_front();
  }
  mQuarantine.OnTick(aWallNow);
  mTrackingActive = mTrackingActive && aWallNow < mTrackingUntil;
}

bool
CrashGuard::OnSuspectCompleted(const SuspectCompletedMessage& aMessage)
{
  if (!mQuarantine.IsSuspect(aMessage.mFingerprint)) {
    return false;
  }
  if (mLog.ShouldWrite("suspect_cleared", EventLog::Category::Success)) {
    mLog.Write("quarantine",
               "suspect_cleared",
               { { "fingerprint", aMessage.mFingerprint } });
  }
  LogQuarantined(mQuarantine.OnRan(aMessage.mFingerprint, WallNow()));
  return true;
}

void
CrashGuard::OnQuarantined(const QuarantineMessage& aMessage)
{
  for (const QuarantineFact& fact : aMessage.mFacts) {
    if (mQuarantine.IsQuarantined(fact.mFingerprint, WallNow())) {
      continue;
    }
    mTrackingActive = true;
    mTrackingUntil = std::max(mTrackingUntil, fact.mExpires);
    mQuarantine.OnFact(fact, WallNow());
    LogQuarantined({ fact });
  }
}

QuarantineMessage
CrashGuard::Quarantined() const
{
  return { .mFacts = mTrackingActive ? mQuarantine.Quarantined(WallNow())
                                     : std::vector<QuarantineFact>() };
}

void
CrashGuard::LogQuarantined(const std::vector<QuarantineFact>& aFacts)
{
  for (const QuarantineFact& fact : aFacts) {
    mLog.WriteStateChange(
      "quarantine",
      "request_quarantined",
      { { "fingerprint", fact.mFingerprint }, { "service", fact.mService } });
  }
}

bool
CrashGuard::IsQuarantined(const CallMessage& aCall) const
{
  return mTrackingActive &&
         mQuarantine.IsQuarantined(FingerprintOf(aCall), WallNow());
}

} // namespace papayaway::sidecar
