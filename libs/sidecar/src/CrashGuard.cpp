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
                       SidecarMetrics& aMetrics,
                       std::function<void(const QuarantineMessage&)> aKeep)
  : mNode(std::move(aNode))
  , mBroadcast(std::move(aBroadcast))
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mKeep(std::move(aKeep))
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
  if (OnSuspectCompleted(message, true)) {
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
  if (!IsNewReport(aMessage.mReport.mId)) {
    return false;
  }
  TrackUntil(WallNow() + Quarantine::kDuration);
  mMetrics.mTargetCrashes.Increment();
  mLog.WriteStateChange(
    "quarantine",
    "crash_recorded",
    { { "report", aMessage.mReport.mId },
      { "service", aMessage.mReport.mService },
      { "requests_in_flight", aMessage.mReport.mFingerprints.size() } });
  const std::set<std::string> ownSuspects = OwnSuspects();
  OnDecided(mQuarantine.OnCrash(aMessage.mReport, WallNow()),
            ownSuspects,
            IsOwnReport(aMessage.mReport.mId));
  return true;
}

bool
CrashGuard::IsNewReport(const std::string& aId)
{
  if (!mSeenReports.insert(aId).second) {
    return false;
  }
  mSeenReportOrder.push_back(aId);
  if (mSeenReportOrder.size() > kMaxSeenReports) {
    mSeenReports.erase(mSeenReportOrder.front());
    mSeenReportOrder.pop_front();
  }
  return true;
}

void
CrashGuard::TrackUntil(Millis aWallTime)
{
  mTrackingActive = true;
  mTrackingUntil = std::max(mTrackingUntil, aWallTime);
}

bool
CrashGuard::IsOwnReport(const std::string& aId) const
{
  return aId.starts_with(mNode + "/");
}

std::set<std::string>
CrashGuard::OwnSuspects() const
{
  std::set<std::string> suspects;
  for (const CrashEvidence& crash : mQuarantine.Crashes()) {
    if (IsOwnReport(crash.mId)) {
      suspects.insert(crash.mSuspects.begin(), crash.mSuspects.end());
    }
  }
  return suspects;
}

void
CrashGuard::OnDecided(const std::vector<QuarantineFact>& aFacts,
                      const std::set<std::string>& aOwnSuspects,
                      bool aDecidedHere)
{
  mKeptChanged = true;
  // Each node whose target has crashed keeps the quarantine, because that ends
  // the evidence which it has kept so far.
  for (const QuarantineFact& fact : aFacts) {
    if (aDecidedHere || aOwnSuspects.contains(fact.mFingerprint)) {
      mKeptFacts.insert_or_assign(fact.mFingerprint, fact);
    }
  }
  LogQuarantined(aFacts);
}

QuarantineMessage
CrashGuard::Kept() const
{
  QuarantineMessage kept;
  for (const auto& [fingerprint, fact] : mKeptFacts) {
    kept.mFacts.push_back(fact);
  }
  for (CrashEvidence& crash : mQuarantine.Crashes()) {
    if (IsOwnReport(crash.mId) &&
        crash.mSuspects.size() <= kMaxStoredSuspects) {
      kept.mCrashes.push_back(std::move(crash));
    }
  }
  // The newest ones.
  if (kept.mCrashes.size() > kMaxStoredCrashes) {
    kept.mCrashes.erase(kept.mCrashes.begin(),
                        kept.mCrashes.end() - kMaxStoredCrashes);
  }
  return kept;
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
  if (mTrackingActive) {
    mKeptChanged = std::erase_if(mKeptFacts,
                                 [&](const auto& aEntry) {
                                   return aEntry.second.mExpires <= aWallNow;
                                 }) > 0 ||
                   mKeptChanged;
    while (mKeptFacts.size() > kMaxStoredFacts) {
      mKeptFacts.erase(std::min_element(mKeptFacts.begin(),
                                        mKeptFacts.end(),
                                        [](const auto& aOne, const auto& aTwo) {
                                          return aOne.second.mExpires <
                                                 aTwo.second.mExpires;
                                        }));
    }
    mTrackingActive = aWallNow < mTrackingUntil;
    mKeptChanged = mKeptChanged || !mTrackingActive;
  }
  if (std::exchange(mKeptChanged, false)) {
    mKeep(Kept());
  }
}

bool
CrashGuard::OnSuspectCompleted(const SuspectCompletedMessage& aMessage,
                               bool aHere)
{
  if (!mQuarantine.IsSuspect(aMessage.mFingerprint)) {
    return false;
  }
  if (mLog.ShouldWrite("suspect_cleared", EventLog::Category::Success)) {
    mLog.Write("quarantine",
               "suspect_cleared",
               { { "fingerprint", aMessage.mFingerprint } });
  }
  const std::set<std::string> ownSuspects = OwnSuspects();
  OnDecided(
    mQuarantine.OnRan(aMessage.mFingerprint, WallNow()), ownSuspects, aHere);
  return true;
}

void
CrashGuard::OnQuarantined(const QuarantineMessage& aMessage, bool aKeptHere)
{
  const Millis now = WallNow();
  for (const QuarantineFact& fact : aMessage.mFacts) {
    if (aKeptHere && fact.mExpires > now) {
      mKeptFacts.insert_or_assign(fact.mFingerprint, fact);
    }
    if (mQuarantine.IsQuarantined(fact.mFingerprint, now)) {
      continue;
    }
    TrackUntil(fact.mExpires);
    mQuarantine.OnFact(fact, now);
    LogQuarantined({ fact });
  }
  for (const CrashEvidence& crash : aMessage.mCrashes) {
    const Millis expires = crash.mReportedAt + Quarantine::kDuration;
    if (expires <= now || crash.mReportedAt > now + Quarantine::kDuration ||
        !IsNewReport(crash.mId)) {
      continue;
    }
    TrackUntil(expires);
    mLog.WriteStateChange("quarantine",
                          "crash_learned",
                          { { "report", crash.mId },
                            { "service", crash.mService },
                            { "suspects", crash.mSuspects.size() } });
    const std::set<std::string> ownSuspects = OwnSuspects();
    OnDecided(mQuarantine.OnCrash({ .mId = crash.mId,
                                    .mService = crash.mService,
                                    .mFingerprints = crash.mSuspects },
                                  crash.mReportedAt),
              ownSuspects,
              IsOwnReport(crash.mId));
  }
}

void
CrashGuard::KeepAll()
{
  for (const QuarantineFact& fact : Quarantined().mFacts) {
    mKeptFacts.insert_or_assign(fact.mFingerprint, fact);
    mKeptChanged = true;
  }
}

QuarantineMessage
CrashGuard::Quarantined() const
{
  if (!mTrackingActive) {
    return {};
  }
  return { .mFacts = mQuarantine.Quarantined(WallNow()),
           .mCrashes = mQuarantine.Crashes() };
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
