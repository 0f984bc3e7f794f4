#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <config/Document.h>
#include <rollout/EvidenceJudge.h>
#include <rollout/MoveTimes.h>
#include <rollout/ShareSchedule.h>
#include <wire/Facts.h>

namespace papayaway {

/** What a node knows of one move: the staged shift of a service's traffic
 *  from the old versions to a new one. */
struct MoveInput
{
  std::string mService;
  VersionMove mMove;
  /** The versions of the service in the document other than the new one. */
  std::vector<std::string> mOldVersions;
  /** The prefixes of the service's routes. */
  std::vector<std::string> mRoutes;
  /** The fact of this service, new version and attempt in the node's fact
   *  store; none before the first stage. */
  std::optional<MoveFact> mCurrent;
  /** Whether this node holds the lease `conductor` by its own clock. */
  bool mHoldsLease = false;
  /** The fencing token of that lease. */
  std::uint64_t mToken = 0;
  /** Whether at least one endpoint of the new version is ready. */
  bool mTargetsReady = true;
  /** Whether the evidence of every data centre can reach this node. If not,
   *  a stage ends by LatestStageEnd() only. */
  bool mAllDataCentresObserved = true;
};

/** @return the request that makes EvidenceJudge compare the versions of
 *    aInput. */
JudgeRequest MakeJudgeRequest(const MoveInput& aInput, const MoveTimes& aTimes);

/**
 * Decides at the conductor when a move enters its next stage, finishes or is
 * taken back. The conductor is the node that holds the lease `conductor`.
 *
 * NextFact() only proposes a fact: the caller writes it to the table on
 * condition that the conductor's token is still valid, and merges it into the
 * fact store once the write has succeeded. After a lost write, the next call
 * proposes the same change again. Each conductor counts the time in a stage
 * from when it first saw that stage itself, so a new conductor observes the
 * current stage in full before it raises the share. The share rises by one
 * stage at a time.
 */
class MoveController
{
public:
  MoveController() = default;
  MoveController(ShareSchedule aSchedule, JudgeOptions aOptions)
    : mSchedule(aSchedule)
    , mJudge(aOptions)
  {
  }

  /** @param aInput the move.
   *  @param aWindow the evidence that has reached this node.
   *  @param aNow the wall clock.
   *  @return the fact to write, or none. A fact with the state TakenBack is
   *    also returned to a node that does not hold the lease. */
  std::optional<MoveFact> NextFact(const MoveInput& aInput,
                                   const EvidenceWindow& aWindow,
                                   Millis aNow);

  /** @return why the last NextFact() for this move returned no fact, for the
   *    MoveReport; "" if it returned one or the move has ended. */
  [[nodiscard]] std::string WaitReason(const MoveInput& aInput) const;

private:
  ShareSchedule mSchedule;
  EvidenceJudge mJudge;
  MoveTimesTracker mMoveTimes;
  std::map<MoveKey, std::string> mWaitReasons;
};

} // namespace papayaway
