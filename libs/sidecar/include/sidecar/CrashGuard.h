#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <sidecar/EventLog.h>
#include <sidecar/PeerMessages.h>
#include <sidecar/SidecarMetrics.h>
#include <traffic/Quarantine.h>

namespace papayaway::sidecar {

/**
 * Finds requests that crash targets, from the crashes of all nodes.
 *
 * A target has crashed when it refuses a connection, or another one is in its
 * place, shortly after it has lost requests: a reset alone is no crash. The
 * requests lost then are the suspects, and traffic's Quarantine decides which
 * of them is guilty.
 */
class CrashGuard
{
public:
  /** @param aSpread sends a message to all other nodes. */
  CrashGuard(std::string aNode,
             std::function<void(const PeerMessage&)> aSpread,
             EventLog& aLog,
             SidecarMetrics& aMetrics);

  /** The local target ended the connection before it answered. */
  void OnLost(const CallMessage& aCall, Millis aNow);

  /** The local target, which was ready, is gone. */
  void OnTargetGone(const std::string& aService, Millis aNow);

  /** The local target answered. */
  void OnAnswered(const CallMessage& aCall);

  /** Takes in the crash of another node's target.
   *  @return whether it is news to pass on. */
  bool OnReport(const CrashMessage& aMessage);

  /** Takes in that a suspect ran without a crash.
   *  @return whether it is news to pass on. */
  bool OnSuspectRan(const SuspectRanMessage& aMessage);

  /** Takes in what a neighbour has quarantined. */
  void OnQuarantined(const QuarantineMessage& aMessage);

  /** @return the requests that are quarantined now. */
  [[nodiscard]] QuarantineMessage Quarantined() const;

  /** @return whether the request must not reach a target. */
  [[nodiscard]] bool IsQuarantined(const CallMessage& aCall) const;

  /** Drops what is out of date. Called every second or so. */
  void OnTick(Millis aWallNow);

private:
  struct LostCall
  {
    std::string mFingerprint;
    Millis mAt;
  };

  bool Take(const CrashMessage& aMessage);
  void Tell(const std::vector<QuarantineFact>& aFacts);

  std::string mNode;
  std::function<void(const PeerMessage&)> mSpread;
  EventLog& mLog;
  SidecarMetrics& mMetrics;
  Quarantine mQuarantine;
  /** While a crash may count; otherwise no fingerprint is computed. */
  bool mWatches = false;
  Millis mWatchesUntil;
  std::deque<LostCall> mLost;
  /** The ids of reports that were taken in, and the order of their arrival. */
  std::set<std::string> mReports;
  std::deque<std::string> mReportOrder;
  std::uint64_t mCrashes = 0;
};

} // namespace papayaway::sidecar
