#pragma once

#include <optional>
#include <string>
#include <vector>

#include <config/Document.h>
#include <wire/Facts.h>

namespace papayaway {

enum class MoveProgress
{
  InProgress,
  Finished,
  TakenBack,
  Unknown,
};

/** What a node knows when it is asked for a report. */
struct MoveReportInput
{
  std::string mService;
  VersionMove mMove;
  std::optional<MoveFact> mFact;
  /** Data centres of the document without a reachable member. */
  std::vector<std::string> mUnreachable;
  /** The conductor, or empty if none is known. */
  std::string mConductor;
  /** What the conductor waits for, if this node is the conductor. */
  std::string mWaiting;
};

/** The state of a move for operators. */
struct MoveReport
{
  std::string mService;
  std::string mTo;
  int mAttempt = 1;
  MoveProgress mProgress = MoveProgress::Unknown;
  int mShare = 0;
  std::uint64_t mStage = 0;
  /** The evidence for a take-back, or what the move waits for. */
  std::string mReason;
  /** One sentence for each thing that can't be observed. */
  std::vector<std::string> mUnobserved;

  bool operator==(const MoveReport&) const = default;
};

/**
 * States what is known of a move and what is not.
 *
 * "Taken back" is final wherever it is seen. "Finished" is final for this
 * node, but a take-back in a data centre that can't be reached would absorb
 * it, so such data centres are listed. A running move is "unknown" as soon as
 * its state can't be observed in full.
 *
 * @param aNow the wall clock.
 */
MoveReport MakeMoveReport(const MoveReportInput& aInput, Millis aNow);

/** @return "in progress", "finished", "taken back" or "unknown". */
std::string ToString(MoveProgress aProgress);

} // namespace papayaway
