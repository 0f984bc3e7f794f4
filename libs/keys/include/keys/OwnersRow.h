#pragma once

#include <algorithm>
#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <keys/KeyLedger.h>

namespace papayaway {

/** One run of a node's process. */
struct NodeRun
{
  std::string mNode;
  std::uint64_t mIncarnation = 0;

  // clang-tidy 14 reports the 0 that the compiler puts into "(a <=> b) < 0".
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const NodeRun&) const = default;
};

/** A process that may own slots of a service. */
struct KeyCandidate
{
  NodeRun mRun;
  std::string mDataCentre;
  /** Whether earlier processes of the node have ended for certain, for
   *  example because this one runs on the same host. */
  bool mPredecessorGone = false;

  bool operator==(const KeyCandidate&) const = default;
};

/** Who runs the keys of one slot. */
struct SlotOwner
{
  /** An empty node name if nobody does yet. */
  NodeRun mRun;
  /** Raised with each change of the owner. */
  std::uint64_t mEpoch = 0;
  /** Whether the previous owner handed the slot and its entries over. */
  bool mClean = true;
  /** The backup that holds every entry of the slot, or an empty name. It is
   *  written only after it has all of them and the doubt window is over. */
  NodeRun mBackup;

  bool operator==(const SlotOwner&) const = default;
};

/** The row `owners/<service>` of the platform's table. */
struct OwnersRow
{
  std::string mService;
  /** The version of the row in the table; not part of the stored value. */
  std::uint64_t mVersion = 0;
  std::vector<KeyCandidate> mCandidates;
  std::array<SlotOwner, kKeySlots> mSlots;
  /** By owner: the candidates that it has acknowledged. Without its lease it
   *  runs keys only while each of them promises not to take over. */
  std::map<NodeRun, std::vector<NodeRun>> mAcknowledged;

  bool operator==(const OwnersRow&) const = default;
};

/** A proposed compare-and-set write. */
struct RowWrite
{
  /** The new value; the condition is the mVersion it carries. */
  OwnersRow mRow;
  /** The session lease that must be held with mToken. */
  std::string mLease;
  std::uint64_t mToken = 0;

  bool operator==(const RowWrite&) const = default;
};

/** @return the name of the session lease of a process. Each process has its
 *  own, so that a restarted node does not keep its old slots from passing
 *  on. */
inline std::string
SessionLease(const NodeRun& aRun)
{
  return "session/" + aRun.mNode + "/" + std::to_string(aRun.mIncarnation);
}

/** Chooses who keeps the copies of an owner: a live member of its own data
 *  centre other than itself, spread over members by rendezvous hashing.
 *  @return the member, or none if the owner is alone. */
std::optional<NodeRun> ChooseBackup(const NodeRun& aOwner,
                                    const std::vector<NodeRun>& aMembers);

/** @return whether the new owner of a slot has to open the doubt window.
 *  @param aBefore the slot before the takeover.
 *  @param aAnswered the backups that handed over their copies in full. */
bool NeedsDoubt(const SlotOwner& aBefore,
                const std::vector<NodeRun>& aAnswered);

} // namespace papayaway
