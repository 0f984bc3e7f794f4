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

/** Identifies one process of a node. A restart gives a new incarnation. */
struct NodeProcess
{
  std::string mNode;
  std::uint64_t mIncarnation = 0;

  // clang-tidy 14 reports the 0 that the compiler puts into "(a <=> b) < 0".
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const NodeProcess&) const = default;
};

/** A process that may own slots of a service and take over those of others. */
struct KeyCandidate
{
  NodeProcess mProcess;
  std::string mDataCentre;
  /** Whether the earlier processes of the node are known to have ended, for
   *  example because this one runs on the same host. */
  bool mPredecessorEnded = false;

  bool operator==(const KeyCandidate&) const = default;
};

/** The process that runs the keys of one slot. */
struct SlotOwner
{
  /** The node name is empty if the slot has had no owner yet. */
  NodeProcess mProcess;
  /** Incremented with each change of the owner. */
  std::uint64_t mEpoch = 0;
  /** Whether the previous owner handed off the slot and its entries; false
   *  after a takeover. */
  bool mHandOffComplete = true;
  /** The backup that stores every entry of the slot, or an empty node name. It
   *  is set only after the backup has all entries and the in-doubt window has
   *  ended. */
  NodeProcess mBackup;

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
  /** By owner: the candidates that it has acknowledged. An owner without a
   *  valid lease runs keys only while it holds the promise of each of them not
   *  to take over. */
  std::map<NodeProcess, std::vector<NodeProcess>> mAcknowledged;

  bool operator==(const OwnersRow&) const = default;
};

/** A proposed compare-and-set write. */
struct RowWrite
{
  /** The new value. The write fails unless the version of the stored row is
   *  still mRow.mVersion. */
  OwnersRow mRow;
  /** The session lease that must be held with fencing token mToken. */
  std::string mLease;
  std::uint64_t mToken = 0;

  bool operator==(const RowWrite&) const = default;
};

/** @return the name of the session lease of a process. Each process has its own
 *    lease, so that a restarted node does not renew the lease of its previous
 *    process, whose slots must be taken over. */
inline std::string
SessionLease(const NodeProcess& aProcess)
{
  return "session/" + aProcess.mNode + "/" +
         std::to_string(aProcess.mIncarnation);
}

/** Chooses the backup of an owner by rendezvous hashing, which spreads the
 *  owners evenly over the members.
 *  @param aMembers the live members in the owner's data centre.
 *  @return the member, or none if there is none on a node other than the
 *    owner's. */
std::optional<NodeProcess> ChooseBackup(
  const NodeProcess& aOwner,
  const std::vector<NodeProcess>& aMembers);

/** @return whether the new owner of a slot must open the in-doubt window,
 *    because it may lack entries of the previous owner.
 *  @param aBefore the slot before the takeover.
 *  @param aAnswered the backups that have sent all their copies. */
bool NeedsInDoubtWindow(const SlotOwner& aBefore,
                        const std::vector<NodeProcess>& aAnswered);

} // namespace papayaway
