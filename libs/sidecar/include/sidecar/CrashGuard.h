#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
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
 * The crash of a target shows in two steps, which may be many seconds apart:
 * its connections break, and later it refuses a connection or another target
 * process takes its place. A call that has ended without an answer is therefore
 * a suspect until the target has answered a call that was sent later, which
 * shows that the target has survived it. A lost call alone is not a crash. The
 * Quarantine class of the traffic library decides which of the suspects caused
 * the crashes.
 */
class CrashGuard
{
public:
  /** @param aNode the name of this node, used in the ids of its reports.
   *  @param aBroadcast sends a message to all other nodes.
   *  @param aKeep receives what this node must keep beyond its process: the
   *    crashes of its own target that are not explained, and the quarantines
   *    that they have led to. */
  CrashGuard(
    std::string aNode,
    std::function<void(const PeerMessage&)> aBroadcast,
    EventLog& aLog,
    SidecarMetrics& aMetrics,
    std::function<void(const QuarantineMessage&)> aKeep =
      [](const QuarantineMessage&) {});

  /** Records that a call that was sent to the local target has ended without
   *  an answer: its connection was lost, or it was cancelled. */
  void OnCallLost(const CallMessage& aCall, Millis aNow);

  /** Handles the unexpected end of the local target's process. Unless no call
   *  was in flight, the next OnTick() that comes kSettleTime later reports a
   *  crash, with the calls whose loss is noticed until then.
   *  @param aReplacedAt when the process that has taken its place started, if
   *    known. */
  void OnTargetEnded(const std::string& aService,
                     std::optional<Millis> aReplacedAt,
                     Millis aNow);

  /** Records that the local target answered a call. This clears the call of
   *  suspicion, and those that were lost before it was sent.
   *  @param aSentAt when the call was sent to the target. */
  void OnAnswered(const CallMessage& aCall, Millis aSentAt, Millis aNow);

  /** Records a crash report of another node.
   *  @return whether the report is new and must be forwarded. */
  bool OnCrashReport(const CrashMessage& aMessage);

  /** Records that a suspect request was answered without a crash.
   *  @param aHere whether the local target answered it.
   *  @return whether the request was a suspect, so that the message must be
   *    forwarded. */
  bool OnSuspectCompleted(const SuspectCompletedMessage& aMessage,
                          bool aHere = false);

  /** Merges what a linked node knows, or what a node has kept.
   *  @param aKeptHere whether an earlier process of this node has kept it. */
  void OnQuarantined(const QuarantineMessage& aMessage, bool aKeptHere);

  /** Keeps all quarantines that are in force, also those that other nodes have
   *  kept, whose rows may be lost. */
  void KeepAll();

  /** @return the requests that are currently quarantined, and the crashes that
   *    are not explained. */
  [[nodiscard]] QuarantineMessage Quarantined() const;

  /** @return whether the request is quarantined and must not be sent to a
   *    target. */
  [[nodiscard]] bool IsQuarantined(const CallMessage& aCall) const;

  /** Reports a crash that is due, and removes expired quarantines and crash
   *  evidence. To be called several times a second.
   *  @param aWallNow the wall-clock time. */
  void OnTick(Millis aNow, Millis aWallNow);

  /** After the end of a target was noticed, the loss of its other calls is
   *  noticed within this time. */
  static constexpr Millis kSettleTime{ 50 };

private:
  struct LostCall
  {
    std::string mFingerprint;
    Millis mLostAt;
    /** When the target was first known to have survived the loss. */
    std::optional<Millis> mSurvivedAt;
  };

  /** The end of a target's process that has not been reported yet. */
  struct TargetEnd
  {
    std::string mService;
    Millis mNoticedAt;
    std::optional<Millis> mReplacedAt;
  };

  /** Removes the calls that were lost until the target's end is settled.
   *  @return the fingerprints of those that may have caused it. */
  [[nodiscard]] std::set<std::string> TakeSuspects(const TargetEnd& aEnd);
  void ReportCrash(const TargetEnd& aEnd);
  bool RecordCrash(const CrashMessage& aMessage);
  /** @return whether the report with this id was not recorded before. */
  bool IsNewReport(const std::string& aId);
  /** Considers crash evidence until this wall-clock time. */
  void TrackUntil(Millis aWallTime);
  [[nodiscard]] bool IsOwnReport(const std::string& aId) const;
  /** @return the suspects of the crashes of the local target. */
  [[nodiscard]] std::set<std::string> OwnSuspects() const;
  /** Handles new quarantines.
   *  @param aOwnSuspects OwnSuspects() before them.
   *  @param aDecidedHere whether the evidence that led to them came from this
   *    node. */
  void OnDecided(const std::vector<QuarantineFact>& aFacts,
                 const std::set<std::string>& aOwnSuspects,
                 bool aDecidedHere);
  /** @return what this node must keep beyond its process. */
  [[nodiscard]] QuarantineMessage Kept() const;
  void LogQuarantined(const std::vector<QuarantineFact>& aFacts);

  std::string mNode;
  std::function<void(const PeerMessage&)> mBroadcast;
  EventLog& mLog;
  SidecarMetrics& mMetrics;
  std::function<void(const QuarantineMessage&)> mKeep;
  Quarantine mQuarantine;
  /** The quarantines that this node keeps, by fingerprint. */
  std::map<std::string, QuarantineFact> mKeptFacts;
  /** Whether what this node keeps may have changed. */
  bool mKeptChanged = false;
  /** Whether a recent crash or a quarantine is in effect. While it is false,
   *  no fingerprints are computed for answered or arriving requests. */
  bool mTrackingActive = false;
  Millis mTrackingUntil;
  std::deque<LostCall> mLostCalls;
  std::optional<TargetEnd> mTargetEnd;
  /** The ids of the reports received, for removing duplicates, and the same
   *  ids in order of arrival. */
  std::set<std::string> mSeenReports;
  std::deque<std::string> mSeenReportOrder;
  std::uint64_t mCrashCount = 0;
};

} // namespace papayaway::sidecar
