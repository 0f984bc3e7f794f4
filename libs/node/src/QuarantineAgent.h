#pragma once

#include <memory>
#include <string>
#include <vector>

#include <net/HttpServer.h>
#include <traffic/Quarantine.h>
#include <wire/Messages.h>

#include "CrashSuspectTracker.h"
#include "FactReplicator.h"
#include "NodeContext.h"
#include "PeerLinks.h"
#include "RecentIds.h"

namespace papayaway {

/** @return the fingerprint by which repetitions of a request are recognised. */
std::string FingerprintOf(const Call& aCall);

/** Sends crash reports and completions of suspected requests to all nodes, and
 *  maintains the quarantine of requests that crash targets. */
class QuarantineAgent
{
public:
  QuarantineAgent(NodeContext& aContext,
                  PeerLinks& aLinks,
                  FactReplicator& aReplicator);

  void Start();

  /** Reports a crash of the target of this host with the requests in flight. */
  void OnTargetCrashed(const std::string& aService,
                       std::vector<std::string> aFingerprints);

  /** Clears a suspected request after the target of this host answered it. */
  void OnRan(const std::string& aService, const std::string& aFingerprint);

  void OnCrashReport(const LinkInfo& aLink, const CrashReport& aReport);
  void OnSuspectCompleted(const LinkInfo& aLink,
                          const SuspectCompleted& aCompleted);
  void OnFact(const Fact& aFact);

  /** Answers POST /v1/release. */
  void OnRelease(const std::shared_ptr<HttpExchange>& aExchange);

  /** @return whether a request may run now, beside the requests in flight.
   *  @param aTracker has the requests in flight at the local target. */
  [[nodiscard]] QuarantineDecision Check(
    const std::string& aFingerprint,
    const CrashSuspectTracker& aTracker) const;

  /** @return whether the request is quarantined and all nodes refuse it. */
  [[nodiscard]] bool IsQuarantined(const Call& aCall) const;

  /** @return whether the request may be sent to another node after an attempt
   *    whose outcome is unknown. */
  [[nodiscard]] bool MayRetry(const Call& aCall) const;

private:
  void Publish(const std::vector<QuarantineFact>& aFacts);

  NodeContext& mContext;
  PeerLinks& mLinks;
  FactReplicator& mReplicator;
  Quarantine mQuarantine;
  RecentIds mSeenReportIds;
  std::uint64_t mCrashReportsSent = 0;
  prometheus::Counter& mCrashCount;
  prometheus::Counter& mReportsReceived;
  prometheus::Gauge& mQuarantined;
  Timer mTickTimer;
};

} // namespace papayaway
