#include <sidecar/CrashGuard.h>

#include <algorithm>
#include <utility>

namespace papayaway::sidecar {

namespace {

/** Requests lost at most this long before the crash was detected count as in
 *  flight at the crash. The next request, whose connection the crashed target
 *  refuses, usually follows within about 0.1 s. */
constexpr Millis kCrashWindow{ 1000 };
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
CrashGuard::OnConnectionLost(const CallMessage& aCall, Millis aNow)
{
  if (mLostCalls.size() >= kMaxCrashSuspects) {
    mLostCalls.pop_front();
  }
  mLostCalls.push_back(
    { .mFingerprint = FingerprintOf(aCall), .mLostAt = aNow });
}

void
CrashGuard::OnTargetGone(const std::string& aService, Millis aNow)
{
  std::set<std::string> suspects;
  for (const LostCall& lost : mLostCalls) {
    if (aNow - lost.mLostAt <= kCrashWindow) {
      suspects.insert(lost.mFingerprint);
    }
  }
  const std::size_t lostCalls = mLostCalls.size();
  const Millis newestLoss =
    mLostCalls.empty() ? Millis{} : aNow - mLostCalls.back().mLostAt;
  mLostCalls.clear();
  if (suspects.empty()) {
    mMetrics.mTargetEndsWithoutSuspects.Increment();
    mLog.WriteStateChange("quarantine",
                          "crash_not_counted",
                          { { "service", aService },
                            { "lost_calls", lostCalls },
                            { "newest_loss_ms", newestLoss.WholeMillis() } });
    return;
  }
  // The wall-clock time keeps ids unique across restarts of this process.
  const CrashMessage message{
    .mReport = { .mId = mNode + "/" + std::to_string(WallNow().WholeMillis()) +
                        "/" + std::to_string(++mCrashCount),
                 .mService = aService,
                 .mFingerprints = { suspects.begin(), suspects.end() } }
  };
  mLog.WriteStateChange(
    "quarantine",
    "target_crashed",
    { { "service", aService }, { "requests_in_flight", suspects.size() } });
  RecordCrash(message);
  mBroadcast(message);
}

void
CrashGuard::OnAnswered(const CallMessage& aCall)
{
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
CrashGuard::OnTick(Millis aWallNow)
{
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
