#include "QuarantineAgent.h"

#include <nlohmann/json.hpp>

#include "AdminApi.h"

namespace papayaway {

namespace {

/** Far above the number of crash reports that are in flight at a time. An id
 *  takes about 40 bytes. */
constexpr std::size_t kMaxSeenReportIds = 1024;
constexpr Millis kTickPeriod = Seconds(1);

} // namespace

std::string
FingerprintOf(const Call& aCall)
{
  return RequestFingerprint({ .mService = aCall.mService,
                              .mRoute = aCall.mRoute,
                              .mMethod = aCall.mMethod,
                              .mPath = aCall.mPath,
                              .mQuery = aCall.mQuery,
                              .mKey = aCall.mKey,
                              .mBody = aCall.mBody });
}

QuarantineAgent::QuarantineAgent(NodeContext& aContext,
                                 PeerLinks& aLinks,
                                 FactReplicator& aReplicator)
  : mContext(aContext)
  , mLinks(aLinks)
  , mReplicator(aReplicator)
  , mSeenReportIds(kMaxSeenReportIds)
  , mCrashCount(aContext.mMetrics.Counter("papayaway_target_crashes_total",
                                          "Crashes of the target of this host "
                                          "with requests in flight"))
  , mReportsReceived(
      aContext.mMetrics.Counter("papayaway_crash_reports_received_total",
                                "Crash reports of other nodes that were new"))
  , mQuarantined(aContext.mMetrics.Gauge("papayaway_quarantined_requests",
                                         "Quarantines in force"))
  , mTickTimer(aContext.mLoop, [this] {
    mQuarantine.OnTick(WallNow());
    mQuarantined.Set(
      static_cast<double>(mQuarantine.Quarantined(WallNow()).size()));
  })
{
}

void
QuarantineAgent::Start()
{
  mTickTimer.StartRepeating(kTickPeriod);
}

void
QuarantineAgent::OnTargetCrashed(const std::string& aService,
                                 std::vector<std::string> aFingerprints)
{
  if (aFingerprints.empty() || aFingerprints.size() > kMaxCrashSuspects) {
    return;
  }
  mCrashCount.Increment();
  ++mCrashReportsSent;
  const CrashReport report{ .mId = mContext.mSettings.mName + "/" +
                                   std::to_string(mContext.mIncarnation) + "/" +
                                   std::to_string(mCrashReportsSent),
                            .mService = aService,
                            .mFingerprints = std::move(aFingerprints) };
  mContext.Record({ .mPart = "quarantine",
                    .mKind = EventKind::TargetCrashed,
                    .mService = aService,
                    .mRequest = report.mFingerprints.size() == 1
                                  ? report.mFingerprints.front()
                                  : "",
                    .mText = "the target crashed with " +
                             std::to_string(report.mFingerprints.size()) +
                             " requests in flight" });
  mSeenReportIds.Insert(report.mId);
  mLinks.Broadcast(report, "");
  Publish(mQuarantine.OnCrash(report, WallNow()));
}

void
QuarantineAgent::OnRan(const std::string& aService,
                       const std::string& aFingerprint)
{
  if (!mQuarantine.IsSuspect(aFingerprint)) {
    return;
  }
  mLinks.Broadcast(SuspectCompleted{ aService, aFingerprint }, "");
  Publish(mQuarantine.OnRan(aFingerprint, WallNow()));
}

void
QuarantineAgent::OnCrashReport(const LinkInfo& aLink,
                               const CrashReport& aReport)
{
  if (!mSeenReportIds.Insert(aReport.mId)) {
    return;
  }
  mReportsReceived.Increment();
  mLinks.Broadcast(aReport, aLink.mNode);
  Publish(mQuarantine.OnCrash(aReport, WallNow()));
}

void
QuarantineAgent::OnSuspectCompleted(const LinkInfo& aLink,
                                    const SuspectCompleted& aCompleted)
{
  // Handling the message clears the suspicion, so it is forwarded only once.
  if (!mQuarantine.IsSuspect(aCompleted.mFingerprint)) {
    return;
  }
  mLinks.Broadcast(aCompleted, aLink.mNode);
  Publish(mQuarantine.OnRan(aCompleted.mFingerprint, WallNow()));
}

void
QuarantineAgent::Publish(const std::vector<QuarantineFact>& aFacts)
{
  for (const QuarantineFact& fact : aFacts) {
    mContext.Record({ .mPart = "quarantine",
                      .mKind = EventKind::Quarantined,
                      .mService = fact.mService,
                      .mRequest = fact.mFingerprint,
                      .mText = "a request that crashes targets of " +
                               fact.mService + " is quarantined" });
    mReplicator.Publish(fact);
  }
}

void
QuarantineAgent::OnFact(const Fact& aFact)
{
  const auto* const fact = std::get_if<QuarantineFact>(&aFact);
  if (fact == nullptr) {
    return;
  }
  const bool before = mQuarantine.IsQuarantined(fact->mFingerprint, WallNow());
  mQuarantine.OnFact(*fact, WallNow());
  const bool after = mQuarantine.IsQuarantined(fact->mFingerprint, WallNow());
  if (before != after) {
    mContext.Record(
      { .mPart = "quarantine",
        .mKind = after ? EventKind::Quarantined : EventKind::Released,
        .mService = fact->mService,
        .mRequest = fact->mFingerprint,
        .mText = after ? "the quarantine of a request of " + fact->mService +
                           " is known here"
                       : "the release of a request of " + fact->mService +
                           " is known here" });
  }
}

void
QuarantineAgent::OnRelease(const std::shared_ptr<HttpExchange>& aExchange)
{
  const auto json =
    nlohmann::json::parse(aExchange->Request().mBody, nullptr, false);
  const auto fingerprint =
    json.is_object() ? json.find("fingerprint") : json.end();
  if (!json.is_object() || fingerprint == json.end() ||
      !fingerprint->is_string()) {
    aExchange->Respond(AdminError(400, "\"fingerprint\" is missing"));
    return;
  }
  const auto fact =
    mQuarantine.Release(fingerprint->get<std::string>(), WallNow());
  if (!fact) {
    aExchange->Respond(AdminError(404, "the request is not quarantined"));
    return;
  }
  mContext.Record(
    { .mPart = "quarantine",
      .mKind = EventKind::Released,
      .mService = fact->mService,
      .mRequest = fact->mFingerprint,
      .mText = "an operator releases a request of " + fact->mService });
  mReplicator.Publish(*fact);
  aExchange->Respond(JsonResponse(200, "{}"));
}

QuarantineDecision
QuarantineAgent::Check(const std::string& aFingerprint,
                       const CrashSuspectTracker& aTracker) const
{
  // Avoids building the list of requests in flight for requests that are not
  // suspects, which are nearly all.
  if (!mQuarantine.IsSuspect(aFingerprint)) {
    return mQuarantine.Check(aFingerprint, {}, WallNow());
  }
  return mQuarantine.Check(aFingerprint, aTracker.InFlight(), WallNow());
}

bool
QuarantineAgent::IsQuarantined(const Call& aCall) const
{
  return mQuarantine.IsQuarantined(FingerprintOf(aCall), WallNow());
}

bool
QuarantineAgent::MayRetry(const Call& aCall) const
{
  return mQuarantine.Check(FingerprintOf(aCall), {}, WallNow()) ==
         QuarantineDecision::Run;
}

} // namespace papayaway
