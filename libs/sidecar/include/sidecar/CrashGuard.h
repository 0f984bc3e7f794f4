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
 * Detects requests that crash targets, using the crash reports of all nodes.
 *
 * A crash is assumed when a target refuses a connection, or has been replaced
 * by another target, shortly after connections with unanswered requests were
 * lost. A lost connection alone is not a crash. The requests on the lost
 * connections are the suspects; the Quarantine class of the traffic library
 * decides which of them caused the crashes.
 */
class CrashGuard
{
public:
  /** @param aNode the name of this node, used in the ids of its reports.
   *  @param aBroadcast sends a message to all other nodes. */
  CrashGuard(std::string aNode,
             std::function<void(const PeerMessage&)> aBroadcast,
             EventLog& aLog,
             SidecarMetrics& aMetrics);

  /** Records that the connection to the local target was lost before the
   *  request was answered. */
  void OnConnectionLost(const CallMessage& aCall, Millis aNow);

  /** Handles the loss of the local target while it was ready. Reports a crash
   *  if connections were lost shortly before. */
  void OnTargetGone(const std::string& aService, Millis aNow);

  /** Records that the local target answered the request, which clears the
   *  request of suspicion. */
  void OnAnswered(const CallMessage& aCall);

  /** Records a crash report of another node.
   *  @return whether the report is new and must be forwarded. */
  bool OnCrashReport(const CrashMessage& aMessage);

  /** Records that a suspect request was answered without a crash.
   *  @return whether the request was a suspect, so that the message must be
   *    forwarded. */
  bool OnSuspectCompleted(const SuspectCompletedMessage& aMessage);

  /** Merges the quarantined requests known to a linked node. */
  void OnQuarantined(const QuarantineMessage& aMessage);

  /** @return the requests that are currently quarantined. */
  [[nodiscard]] QuarantineMessage Quarantined() const;

  /** @return whether the request is quarantined and must not be sent to a
   *    target. */
  [[nodiscard]] bool IsQuarantined(const CallMessage& aCall) const;

  /** Removes expired quarantines and crash evidence. To be called about once
   *  a second.
   *  @param aWallNow the wall-clock time. */
  void OnTick(Millis aWallNow);

private:
  struct LostCall
  {
    std::string mFingerprint;
    Millis mLostAt;
  };

  bool RecordCrash(const CrashMessage& aMessage);
  void LogQuarantined(const std::vector<QuarantineFact>& aFacts);

  std::string mNode;
  std::function<void(const PeerMessage&)> mBroadcast;
  EventLog& mLog;
  SidecarMetrics& mMetrics;
  Quarantine mQuarantine;
  /** Whether a recent crash or a quarantine is in effect. While it is false,
   *  no fingerprints are computed for answered or arriving requests. */
  bool mTrackingActive = false;
  Millis mTrackingUntil;
  std::deque<LostCall> mLostCalls;
  /** The ids of the reports received, for removing duplicates, and the same
   *  ids in order of arrival. */
  std::set<std::string> mSeenReports;
  std::deque<std::string> mSeenReportOrder;
  std::uint64_t mCrashCount = 0;
};

} // namespace papayaway::sidecar
