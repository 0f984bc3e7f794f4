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

/** What a node knows of a move when an operator asks it for a report. */
struct MoveReportInput
{
  std::string mService;
  VersionMove mMove;
  std::optional<MoveFact> mFact;
  /** The data centres named by the document in which this node can reach no
   *  member. */
  std::vector<std::string> mUnreachableDataCentres;
  /** The id of the conductor, or empty if none is known. */
  std::string mConductor;
  /** What the move waits for before its next stage, if this node is the
   *  conductor; otherwise empty. */
  std::string mWaitReason;
};

/** The state of a move as shown to operators. */
struct MoveReport
{
  std::string mService;
  std::string mTo;
  int mAttempt = 1;
  MoveProgress mProgress = MoveProgress::Unknown;
  /** The share of calls that go to the new version, in thousandths. */
  int mShare = 0;
  std::uint64_t mStage = 0;
  /** Why the move was taken back, or what it waits for. */
  std::string mReason;
  /** One message for each part of the state that can't be observed. */
  std::vector<std::string> mUnobserved;

  bool operator==(const MoveReport&) const = default;
};

/**
 * Reports what is known of a move and which parts of its state can't be
 * observed.
 *
 * "Taken back" is final wherever it is seen. "Finished" can still be
 * superseded by a node in an unreachable data centre that takes the move back,
 * so unreachable data centres are listed. A running move is "unknown" as soon
 * as any part of its state can't be observed.
 *
 * @param aNow the wall clock.
 */
MoveReport MakeMoveReport(const MoveReportInput& aInput, Millis aNow);

/** @return "in progress", "finished", "taken back" or "unknown". */
std::string ToString(MoveProgress aProgress);

} // namespace papayaway
