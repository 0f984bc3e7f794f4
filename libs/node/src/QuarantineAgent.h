#pragma once

#include <memory>
#include <string>
#include <vector>

#include <net/HttpServer.h>
#include <traffic/Quarantine.h>
#include <wire/Messages.h>

#include "CrashWatch.h"
#include "FactSpreader.h"
#include "NodeContext.h"
#include "PeerLinks.h"
#include "RecentIds.h"

namespace papayaway {

/** @return the fingerprint of a call. */
std::string FingerprintOf(const Call& aCall);

/** Exchanges the evidence on requests that crash targets with all nodes and
 *  keeps the quarantine. */
class QuarantineAgent
{
public:
  QuarantineAgent(NodeContext& aContext,
                  PeerLinks& aLinks,
                  FactSpreader& aSpreader);

  void Start();

  /** Tells that the own target crashed while the requests were in flight. */
  void OnTargetCrashed(const std::string& aService,
                       std::vector<std::string> aFingerprints);

  /** Tells that the own target answered a request. */
  void OnRan(const std::string& aService, const std::string& aFingerprint);

  void OnCrashReport(const LinkInfo& aLink, const CrashReport& aReport);
  void OnSuspectRan(const LinkInfo& aLink, const SuspectRan& aRan);
  void OnFact(const Fact& aFact);

  /** Answers POST /v1/release. */
  void OnRelease(const std::shared_ptr<HttpExchange>& aExchange);

  /** @return whether a request may run now beside those in flight. */
  [[nodiscard]] QuarantineVerdict Check(const std::string& aFingerprint,
                                        const CrashWatch& aInFlight) const;

  /** @return whether the request is refused everywhere. */
  [[nodiscard]] bool IsQuarantined(const Call& aCall) const;

  /** @return whether the request may be sent to another node after an attempt
   *    without a known outcome. */
  [[nodiscard]] bool MayRetry(const Call& aCall) const;

private:
  void Publish(const std::vector<QuarantineFact>& aFacts);

  NodeContext& mContext;
  PeerLinks& mLinks;
  FactSpreader& mSpreader;
  Quarantine mQuarantine;
  RecentIds mReports;
  std::uint64_t mCrashes = 0;
  prometheus::Counter& mCrashCount;
  prometheus::Counter& mReportsReceived;
  prometheus::Gauge& mQuarantined;
  Timer mTick;
};

} // namespace papayaway
