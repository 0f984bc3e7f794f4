#pragma once

#include <keys/OwnersRow.h>

namespace papayaway {

/** The rules that keep a key from running twice. Tests switch single rules
 *  off to show that each is needed. */
struct OwnershipRules
{
  /** The lease counts from before its request was sent. */
  static constexpr bool kCountFromSend = true;
  /** A promise keeps a candidate from taking over. */
  static constexpr bool kHonourPromises = true;
  /** No promise while a takeover is under way or its end is not known. */
  static constexpr bool kNoPromiseInTakeover = true;
  /** After a lapse of the lease the row is read before keys run. */
  static constexpr bool kReadAfterLapse = true;
  /** Only candidates that the owner has acknowledged take over. */
  static constexpr bool kNeedAcknowledgement = true;
  /** The owner needs the promise of every candidate, not just of one. */
  static constexpr bool kNeedEveryPromise = true;
};

struct OwnershipOptions
{
  /** Taken off the time of leases and promises, for the difference of clock
   *  rates and the time between the check and the dispatch. */
  Millis mMargin{ 500 };
  Millis mPromise = Seconds(8);
  /** An owner relies on promises no longer than this after its last lease, so
   *  that slots are not lost when all acknowledged candidates are. */
  Millis mLongestOutage = Seconds(7200);
};

/** Asks a candidate not to take over. */
struct PromiseRequest
{
  std::uint64_t mId = 0;
  NodeRun mOwner;
  /** The candidate's process; another one refuses. */
  NodeRun mCandidate;
  /** The slots that the owner runs, by slot and epoch. */
  std::vector<std::pair<int, std::uint64_t>> mSlots;
  Millis mDuration;

  bool operator==(const PromiseRequest&) const = default;
};

/**
 * Decides which keys of a service this process may run, and when it may take
 * over slots of another process.
 *
 * One object belongs to one run of a node and one service. All times are of
 * this node's monotonic clock. Replies of the platform are reported with the
 * time at which their request was sent.
 *
 * Every write of the row is conditional on its version, so at most one
 * process owns a slot in the row. What is left is an owner that does not know
 * of a newer row. It runs keys only
 * - with a valid session lease, which a candidate must take away before it
 *   writes the row, or
 * - with promises of all candidates that it has acknowledged in the row, and
 *   other candidates don't take over.
 *
 * @tparam Rules OwnershipRules outside tests.
 */
template<typename Rules = OwnershipRules>
class BasicKeyOwnership
{
public:
  BasicKeyOwnership(std::string aService,
                    KeyCandidate aSelf,
                    OwnershipOptions aOptions = {})
    : mService(std::move(aService))
    , mSelf(std::move(aSelf))
    , mOptions(aOptions)
  {
  }

  /** The platform granted or renewed the own session lease. */
  void LeaseGranted(Millis aSent,
                    Millis aTtl,
                    std::uint64_t aToken,
                    Millis aNow)
  {
    // While the lease lapsed, another process may have owned the slots.
    if (aToken != mToken || aNow >= mLeaseUntil) {
      mRowNeededSince = aNow;
    }
    mToken = aToken;
    const Millis start = Rules::kCountFromSend ? aSent : aNow;
    mLeaseUntil = std::max(mLeaseUntil, start + aTtl - mOptions.mMargin);
  }

  /** The platform says that another process holds the own session lease. */
  void LeaseRefused() { mLeaseUntil = Millis{}; }

  /** The row as read or as written by this process.
   *  @param aSent when the read or write was sent. */
  void RowSeen(const OwnersRow& aRow, Millis aSent)
  {
    if (mRow && aRow.mVersion < mRow->mVersion) {
      return;
    }
    mRowSent = std::max(mRowSent, aSent);
    if (mRow && aRow.mVersion == mRow->mVersion) {
      return;
    }
    mRow = aRow;
    mRowSince = aSent;
    // A newer version decides pending writes: their condition can't hold any
    // more, so what the row says is what happened.
    mTakeover.reset();
    mHandOff.clear();
    mAcknowledged.clear();
    if (const auto it = aRow.mAcknowledged.find(mSelf.mRun);
        it != aRow.mAcknowledged.end()) {
      mAcknowledged = it->second;
    }
    mMayRely = !mAcknowledged.empty();
  }

  /** @return whether the lease is valid by the own clock. */
  [[nodiscard]] bool LeaseValid(Millis aNow) const
  {
    return aNow < mLeaseUntil &&
           (!Rules::kReadAfterLapse || mRowSent >= mRowNeededSince);
  }

  /** @return whether every acknowledged candidate has promised. */
  [[nodiscard]] bool PromisesValid(Millis aNow) const
  {
    if (!mMayRely || aNow >= mLeaseUntil + mOptions.mLongestOutage) {
      return false;
    }
    const auto promised = [&](const NodeRun& aRun) {
      const auto it = mPromisedToUs.find(aRun);
      return it != mPromisedToUs.end() && aNow < it->second;
    };
    return Rules::kNeedEveryPromise
             ? std::all_of(mAcknowledged.begin(), mAcknowledged.end(), promised)
             : std::any_of(
                 mAcknowledged.begin(), mAcknowledged.end(), promised);
  }

  /** @return whether keys of aSlot may be dispatched to the target now. It
   *    is asked in the same loop iteration as the dispatch. */
  [[nodiscard]] bool MayRun(int aSlot, Millis aNow) const
  {
    return Owns(aSlot) &&
           std::find(mHandOff.begin(), mHandOff.end(), aSlot) ==
             mHandOff.end() &&
           (LeaseValid(aNow) || PromisesValid(aNow));
  }

  /** @return whether the newest known row names this process. */
  [[nodiscard]] bool Owns(int aSlot) const
  {
    return mRow && Slot(aSlot).mRun == mSelf.mRun;
  }

  [[nodiscard]] const std::optional<OwnersRow>& Row() const { return mRow; }

  /** Asks for a promise; a reply counts from aNow. */
  PromiseRequest AskPromise(const NodeRun& aCandidate, Millis aNow)
  {
    PromiseRequest request{ .mId = ++mLastRequest,
                            .mOwner = mSelf.mRun,
                            .mCandidate = aCandidate,
                            .mDuration = mOptions.mPromise };
    for (int slot = 0; slot < kKeySlots; ++slot) {
      if (Owns(slot)) {
        request.mSlots.emplace_back(slot, Slot(slot).mEpoch);
      }
    }
    mAsked[aCandidate] = { request.mId, aNow };
    return request;
  }

  /** @return the candidates whose promise is needed. */
  [[nodiscard]] const std::vector<NodeRun>& Acknowledged() const
  {
    return mAcknowledged;
  }

  /** A candidate answered aRequest with a promise. Only the newest request to
   *  it counts. */
  void PromiseReceived(const PromiseRequest& aRequest)
  {
    const auto it = mAsked.find(aRequest.mCandidate);
    if (it != mAsked.end() && it->second.first == aRequest.mId) {
      Millis& until = mPromisedToUs[aRequest.mCandidate];
      until = std::max(
        until, it->second.second + aRequest.mDuration - mOptions.mMargin);
    }
  }

  /** Answers a request of an owner.
   *  @return whether this process promises not to take over from it. */
  bool GivePromise(const PromiseRequest& aRequest, Millis aNow)
  {
    if (aRequest.mCandidate != mSelf.mRun ||
        (Rules::kNoPromiseInTakeover && mTakeover)) {
      return false;
    }
    for (const auto& [slot, epoch] : aRequest.mSlots) {
      if (slot < 0 || slot >= kKeySlots ||
          (mRow && Slot(slot).mEpoch > epoch)) {
        return false;
      }
    }
    Millis& until = mPromisedByUs[aRequest.mOwner];
    until = std::max(until, aNow + aRequest.mDuration);
    return true;
  }

  /** @return whether this process may start to take over from aOwner, given
   *    that its session lease has expired at the platform.
   *  @param aExpired how long the lease has been seen expired without a
   *    break. */
  [[nodiscard]] bool MayTakeOver(const NodeRun& aOwner,
                                 Millis aExpired,
                                 Millis aNow) const
  {
    if (!mRow || mTakeover || aOwner == mSelf.mRun || !IsCandidate()) {
      return false;
    }
    const auto promise = mPromisedByUs.find(aOwner);
    if (Rules::kHonourPromises && promise != mPromisedByUs.end() &&
        aNow < promise->second) {
      return false;
    }
    if (!Rules::kNeedAcknowledgement || IsGone(aOwner)) {
      return true;
    }
    const auto it = mRow->mAcknowledged.find(aOwner);
    if (it == mRow->mAcknowledged.end() || it->second.empty()) {
      return true;
    }
    const std::vector<NodeRun>& acknowledged = it->second;
    if (std::find(acknowledged.begin(), acknowledged.end(), mSelf.mRun) !=
        acknowledged.end()) {
      return true;
    }
    // Promises of ended processes run out.
    if (aExpired >= mOptions.mPromise + mOptions.mMargin &&
        std::all_of(acknowledged.begin(),
                    acknowledged.end(),
                    [&](const NodeRun& aRun) { return IsGone(aRun); })) {
      return aNow - mRowSince >= mOptions.mPromise + mOptions.mMargin;
    }
    return aExpired >= mOptions.mLongestOutage + mOptions.mMargin;
  }

  /** Starts a takeover; from here on no promise is given until the row moves
   *  on or the attempt is given up. The caller then takes the owner's session
   *  lease for itself. */
  bool BeginTakeover(const NodeRun& aOwner, Millis aExpired, Millis aNow)
  {
    if (!MayTakeOver(aOwner, aExpired, aNow)) {
      return false;
    }
    mTakeover = aOwner;
    return true;
  }

  /** The takeover ended before its write was sent, or the write was refused
   *  for certain. A write whose reply was lost is not given up: RowSeen()
   *  with a newer version ends it. */
  void GiveUpTakeover() { mTakeover.reset(); }

  [[nodiscard]] bool IsTakingOver() const { return mTakeover.has_value(); }

  /** @param aToken the token under which this process took the owner's
   *    session lease.
   *  @return the write that completes the takeover, or none if the row has
   *    changed meanwhile. */
  [[nodiscard]] std::optional<RowWrite> TakeoverWrite(
    std::uint64_t aToken) const
  {
    if (!mTakeover) {
      return std::nullopt;
    }
    RowWrite write{ *mRow, SessionLease(*mTakeover), aToken };
    for (SlotOwner& slot : write.mRow.mSlots) {
      if (slot.mRun == *mTakeover) {
        slot = { .mRun = mSelf.mRun,
                 .mEpoch = slot.mEpoch + 1,
                 .mClean = false };
      }
    }
    std::erase_if(write.mRow.mCandidates, [&](const KeyCandidate& aOther) {
      return aOther.mRun == *mTakeover;
    });
    write.mRow.mAcknowledged.erase(*mTakeover);
    return write;
  }

  /** @return the write that adds this process as a candidate, or none if it
   *    is one. Slots without an owner become its own. */
  [[nodiscard]] std::optional<RowWrite> JoinWrite() const
  {
    if (IsCandidate()) {
      return std::nullopt;
    }
    RowWrite write{ mRow.value_or(OwnersRow{ .mService = mService }),
                    SessionLease(mSelf.mRun),
                    mToken };
    std::erase_if(write.mRow.mCandidates, [&](const KeyCandidate& aOther) {
      return aOther.mRun.mNode == mSelf.mRun.mNode;
    });
    write.mRow.mCandidates.push_back(mSelf);
    for (SlotOwner& slot : write.mRow.mSlots) {
      if (slot.mRun.mNode.empty()) {
        slot = { .mRun = mSelf.mRun, .mEpoch = slot.mEpoch + 1 };
      }
    }
    return write;
  }

  /** @return the write that acknowledges the candidates of the row, or none
   *    if there is nothing to change. From here on promises of old and new
   *    candidates are needed, until the row is seen. */
  std::optional<RowWrite> AcknowledgeWrite()
  {
    if (!mRow || !OwnsAny()) {
      return std::nullopt;
    }
    std::vector<NodeRun> others;
    for (const KeyCandidate& candidate : mRow->mCandidates) {
      if (candidate.mRun != mSelf.mRun) {
        others.push_back(candidate.mRun);
      }
    }
    const auto it = mRow->mAcknowledged.find(mSelf.mRun);
    if (others == (it == mRow->mAcknowledged.end() ? std::vector<NodeRun>{}
                                                   : it->second)) {
      return std::nullopt;
    }
    for (const NodeRun& other : others) {
      if (std::find(mAcknowledged.begin(), mAcknowledged.end(), other) ==
          mAcknowledged.end()) {
        mAcknowledged.push_back(other);
      }
    }
    // An owner that has acknowledged nobody can lose its slots to anybody.
    mMayRely = mMayRely && !others.empty();
    RowWrite write{ *mRow, SessionLease(mSelf.mRun), mToken };
    write.mRow.mAcknowledged[mSelf.mRun] = std::move(others);
    return write;
  }

  /** @return the write that names aBackup for own slots.
   *  @param aSlots slots whose entries are all held by aBackup and whose
   *    doubt window is over. From the start of that copy on, only
   *    intents acknowledged by this process of the backup count: with
   *    acknowledgements of an earlier one the copy misses keys. */
  [[nodiscard]] std::optional<RowWrite> BackupWrite(
    const std::vector<int>& aSlots,
    const NodeRun& aBackup) const
  {
    if (!mRow) {
      return std::nullopt;
    }
    RowWrite write{ *mRow, SessionLease(mSelf.mRun), mToken };
    for (const int slot : aSlots) {
      if (Owns(slot)) {
        write.mRow.mSlots[static_cast<std::size_t>(slot)].mBackup = aBackup;
      }
    }
    return write.mRow == *mRow ? std::nullopt : std::optional(write);
  }

  /** @return own slots and their next owners: all slots for a planned stop,
   *    else those above the fair share of this candidate. */
  [[nodiscard]] std::vector<std::pair<int, NodeRun>> PlanHandOff(
    bool aAll) const
  {
    std::map<NodeRun, std::vector<int>> slots;
    if (!mRow || !IsCandidate()) {
      return {};
    }
    for (const KeyCandidate& candidate : mRow->mCandidates) {
      slots[candidate.mRun];
    }
    for (int slot = 0; slot < kKeySlots; ++slot) {
      slots[Slot(slot).mRun].push_back(slot);
    }
    std::vector<int> own = std::move(slots[mSelf.mRun]);
    slots.erase(mSelf.mRun);
    std::erase_if(slots, [&](const auto& aEntry) {
      return std::none_of(mRow->mCandidates.begin(),
                          mRow->mCandidates.end(),
                          [&](const KeyCandidate& aCandidate) {
                            return aCandidate.mRun == aEntry.first;
                          });
    });
    std::vector<std::pair<int, NodeRun>> plan;
    while (!own.empty() && !slots.empty()) {
      const auto least = std::min_element(
        slots.begin(), slots.end(), [](const auto& aLeft, const auto& aRight) {
          return aLeft.second.size() < aRight.second.size();
        });
      if (!aAll && own.size() <= least->second.size() + 1) {
        break;
      }
      plan.emplace_back(own.back(), least->first);
      least->second.push_back(own.back());
      own.pop_back();
    }
    return plan;
  }

  /** Stops running keys of the planned slots. The caller waits for the runs
   *  in flight, sends the entries to the next owners and then writes. */
  void BeginHandOff(const std::vector<std::pair<int, NodeRun>>& aPlan)
  {
    for (const auto& [slot, next] : aPlan) {
      mHandOff.push_back(slot);
    }
  }

  /** @param aPlan slots whose next owner has confirmed all entries.
   *  @return the write that hands the slots over. */
  [[nodiscard]] std::optional<RowWrite> HandOffWrite(
    const std::vector<std::pair<int, NodeRun>>& aPlan) const
  {
    if (!mRow || aPlan.empty()) {
      return std::nullopt;
    }
    RowWrite write{ *mRow, SessionLease(mSelf.mRun), mToken };
    for (const auto& [slot, next] : aPlan) {
      if (!Owns(slot) ||
          std::find(mHandOff.begin(), mHandOff.end(), slot) == mHandOff.end()) {
        return std::nullopt;
      }
      SlotOwner& owner = write.mRow.mSlots[static_cast<std::size_t>(slot)];
      owner = { .mRun = next, .mEpoch = owner.mEpoch + 1 };
    }
    return write;
  }

private:
  [[nodiscard]] const SlotOwner& Slot(int aSlot) const
  {
    return mRow->mSlots[static_cast<std::size_t>(aSlot)];
  }

  [[nodiscard]] bool OwnsAny() const
  {
    return std::any_of(
      mRow->mSlots.begin(), mRow->mSlots.end(), [&](const SlotOwner& aSlot) {
        return aSlot.mRun == mSelf.mRun;
      });
  }

  [[nodiscard]] bool IsCandidate() const
  {
    return mRow && std::find(mRow->mCandidates.begin(),
                             mRow->mCandidates.end(),
                             mSelf) != mRow->mCandidates.end();
  }

  /** @return whether a later process on the same host shows that aRun has
   *    ended. */
  [[nodiscard]] bool IsGone(const NodeRun& aRun) const
  {
    return std::any_of(mRow->mCandidates.begin(),
                       mRow->mCandidates.end(),
                       [&](const KeyCandidate& aOther) {
                         return aOther.mPredecessorGone &&
                                aOther.mRun.mNode == aRun.mNode &&
                                aOther.mRun.mIncarnation > aRun.mIncarnation;
                       });
  }

  std::string mService;
  KeyCandidate mSelf;
  OwnershipOptions mOptions;

  Millis mLeaseUntil;
  std::uint64_t mToken = 0;
  /** The row must have been read since then. */
  Millis mRowNeededSince = Never();
  Millis mRowSent;
  std::optional<OwnersRow> mRow;
  /** When the read that first showed this version was sent. */
  Millis mRowSince;
  /** Those whose promise is needed: of the row and of pending writes. */
  std::vector<NodeRun> mAcknowledged;
  /** Whether the row and pending writes name candidates for this owner. */
  bool mMayRely = false;
  /** The newest request by candidate: its id and when it was sent. */
  std::map<NodeRun, std::pair<std::uint64_t, Millis>> mAsked;
  std::uint64_t mLastRequest = 0;
  std::map<NodeRun, Millis> mPromisedToUs;
  std::map<NodeRun, Millis> mPromisedByUs;
  std::optional<NodeRun> mTakeover;
  std::vector<int> mHandOff;
};

using KeyOwnership = BasicKeyOwnership<>;

} // namespace papayaway
