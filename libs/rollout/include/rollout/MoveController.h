#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <config/Document.h>
#include <rollout/EvidenceJudge.h>
#include <rollout/MoveWatch.h>
#include <rollout/ShareSchedule.h>
#include <wire/Facts.h>

namespace papayaway {

/** What the conductor knows of one move. */
struct MoveInput
{
  std::string mService;
  VersionMove mMove;
  /** The versions of the document besides the move's target. */
  std::vector<std::string> mOld;
  /** The prefixes of the service's routes. */
  std::vector<std::string> mRoutes;
  /** The merged fact of this service, version and attempt. */
  std::optional<MoveFact> mCurrent;
  /** Whether the lease `conductor` is valid by the holder's own clock. */
  bool mHoldsLease = false;
  std::uint64_t mToken = 0;
  /** Whether an endpoint of the new version is ready. */
  bool mTargetsReady = true;
  /** Whether evidence from every data centre can arrive. Without it the
   *  share rises by time only. */
  bool mAllObserved = true;
};

/** @return the input's request for the judge. */
JudgeRequest MakeJudgeRequest(const MoveInput& aInput, const MoveWatch& aWatch);

/**
 * Decides the next step of version moves at the conductor.
 *
 * Next() only proposes: the caller writes the fact to the table with the
 * conductor's token as a condition and merges it once the write succeeded.
 * A lost write is proposed again. The controller remembers when it first saw
 * each stage, so a new conductor observes a stage in full before it raises
 * the share, and it never raises by more than one step.
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

  /** @param aNow the wall clock.
   *  @return the fact to write, or none. A taken-back fact needs no lease. */
  std::optional<MoveFact> Next(const MoveInput& aInput,
                               const EvidenceWindow& aWindow,
                               Millis aNow);

  /** @return what the last Next() of the move waits for, for the report. */
  [[nodiscard]] std::string Waiting(const MoveInput& aInput) const;

private:
  ShareSchedule mSchedule;
  EvidenceJudge mJudge;
  MoveWatches mWatches;
  std::map<MoveKey, std::string> mWaiting;
};

} // namespace papayaway
