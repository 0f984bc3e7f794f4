#include <sidecar/CrashGuard.h>

#include <algorithm>
#include <utility>

namespace papayaway::sidecar {

namespace {

/** Requests that were lost this long before a connection is refused were in
 *  flight at the crash: the next request comes within about 0.1 s. */
constexpr Millis kCrashWindow{ 1000 };
/** Reports that are remembered, far more than are on their way at once. */
constexpr std::size_t kMaxReports = 1024;

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
                       std::function<void(const PeerMessage&)> aSpread,
                       EventLog& aLog,
                       SidecarMetrics& aMetrics)
  : mNode(std::move(aNode))
  , mSpread(std::move(aSpread))
  , mLog(aLog)
  , mMetrics(aMetrics)
{
}

void
CrashGuard::OnLost(const CallMessage& aCall, Millis aNow)
{
  if (mLost.size() >= kMaxCrashSuspects) {
    mLost.pop_front();
  }
  mLost.push_back({ .mFingerprint = FingerprintOf(aCall), .mAt = aNow });
}

void
CrashGuard::OnTargetGone(const std::string& aService, Millis aNow)
{
  std::set<std::string> suspects;
  for (const LostCall& lost : mLost) {
    if (aNow - lost.mAt <= kCrashWindow) {
      suspects.insert(lost.mFingerprint);
    }
  }
  mLost.clear();
  if (suspects.empty()) {
    return;
  }
  // The wall clock makes the id unique over restarts of this process.
  const CrashMessage message{
    .mReport = { .mId = mNode + "/" + std::to_string(WallNow().Whole()) + "/" +
                        std::to_string(++mCrashes),
                 .mService = aService,
                 .mFingerprints = { suspects.begin(), suspects.end() } }
  };
  mLog.Change(
    "quarantine",
    "target_crashed",
    { { "service", aService }, { "requests_in_flight", suspects.size() } });
  Take(message);
  mSpread(message);
}

void
CrashGuard::OnAnswered(const CallMessage& aCall)
{
  if (!mWatches) {
    return;
  }
  const SuspectRanMessage message{ .mFingerprint = FingerprintOf(aCall) };
  if (OnSuspectRan(message)) {
    mSpread(message);
  }
}

bool
CrashGuard::OnReport(const CrashMessage& aMessage)
{
  return Take(aMessage);
}

bool
CrashGuard::Take(const CrashMessage& aMessage)
{
  if (!mReports.insert(aMessage.mReport.mId).second) {
    return false;
  }
  mReportOrder.push_back(aMessage.mReport.mId);
  if (mReportOrder.size() > kMaxReports) {
    mReports.erase(mReportOrder.front());
    mReportOrder.pop_front();
  }
  mWatches = true;
  mWatchesUntil = WallNow() + Quarantine::kDuration;
  mMetrics.mTargetCrashes.Increment();
  Tell(mQuarantine.OnCrash(aMessage.mReport, WallNow()));
  return true;
}

void
CrashGuard::OnTick(Millis aWallNow)
{
  mQuarantine.OnTick(aWallNow);
  mWatches = mWatches && aWallNow < mWatchesUntil;
}

bool
CrashGuard::OnSuspectRan(const SuspectRanMessage& aMessage)
{
  if (!mQuarantine.IsSuspect(aMessage.mFingerprint)) {
    return false;
  }
  Tell(mQuarantine.OnRan(aMessage.mFingerprint, WallNow()));
  return true;
}

void
CrashGuard::OnQuarantined(const QuarantineMessage& aMessage)
{
  for (const QuarantineFact& fact : aMessage.mFacts) {
    if (mQuarantine.IsQuarantined(fact.mFingerprint, WallNow())) {
      continue;
    }
    mWatches = true;
    mWatchesUntil = std::max(mWatchesUntil, fact.mExpires);
    mQuarantine.OnFact(fact, WallNow());
    Tell({ fact });
  }
}

QuarantineMessage
CrashGuard::Quarantined() const
{
  return { .mFacts = mWatches ? mQuarantine.Quarantined(WallNow())
                              : std::vector<QuarantineFact>() };
}

void
CrashGuard::Tell(const std::vector<QuarantineFact>& aFacts)
{
  for (const QuarantineFact& fact : aFacts) {
    mLog.Change(
      "quarantine",
      "request_quarantined",
      { { "fingerprint", fact.mFingerprint }, { "service", fact.mService } });
  }
}

bool
CrashGuard::IsQuarantined(const CallMessage& aCall) const
{
  return mWatches && mQuarantine.IsQuarantined(FingerprintOf(aCall), WallNow());
}

} // namespace papayaway::sidecar
