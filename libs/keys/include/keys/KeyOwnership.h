#pragma once

#include <keys/OwnersRow.h>

namespace papayaway {

/** The rules that prevent a key from running twice. Tests disable single rules
 *  to show that each one is needed. */
struct OwnershipRules
{
  /** The lease starts when its request was sent, not when the response
   *  arrived. */
  static constexpr bool kCountLeaseFromSend = true;
  /** A candidate does not take over while a promise that it gave is valid. */
  static constexpr bool kHonourPromises = true;
  /** A candidate gives no promise while it is taking over slots or does not
   *  know whether its takeover succeeded. */
  static constexpr bool kNoPromiseDuringTakeover = true;
  /** After its lease has expired, an owner reads the row before it runs keys
   *  again. */
  static constexpr bool kReadRowAfterLeaseExpiry = true;
  /** Only candidates that the owner has acknowledged may take over. */
  static constexpr bool kNeedAcknowledgement = true;
  /** The owner needs the promises of all acknowledged candidates, not just of
   *  one. */
  static constexpr bool kNeedEveryPromise = true;
};

struct OwnershipOptions
{
  /** Subtracted from the duration of leases and promises, to allow for
   *  differing clock rates and the time between check and dispatch. */
  Millis mClockMargin{ 500 };
  /** The duration of a promise not to take over. */
  Millis mPromiseDuration = Seconds(8);
  /** How long after the end of its last lease an owner may run keys by promises
   *  alone. If it and all candidates that it acknowledged are lost, other
   *  candidates may take over its slots after this time. */
  Millis mMaxPlatformOutage = Seconds(7200);
};

/** An owner's request to a candidate to promise not to take over its slots. */
struct PromiseRequest
{
  std::uint64_t mId = 0;
  NodeProcess mOwner;
  /** The candidate's process. A later process of its node refuses. */
  NodeProcess mCandidate;
  /** The slots of the owner, with their epochs. */
  std::vector<std::pair<int, std::uint64_t>> mSlots;
  Millis mDuration;

  bool operator==(const PromiseRequest&) const = default;
};

/**
 * Decides which slots' keys of a service this process may run, and when it may
 * take over the slots of another process.
 *
 * There is one object per process and service. All times are of this node's
 * monotonic clock. The caller sends the requests and writes and passes the
 * platform's responses with the times at which their requests were sent.
 *
 * Every write of the row is conditional on its version, so at most one process
 * owns a slot in the row. What remains is the case of an owner that does not
 * know of a newer row. An owner therefore runs keys only
 * - with a valid session lease, which a candidate must acquire before it writes
 *   the row, or
 * - with promises from all candidates that it has acknowledged in the row.
 *   Other candidates do not take over.
 *
 * @tparam Rules OwnershipRules, except in tests.
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

  /** Records that the platform granted or renewed this process's session lease.
   *  @param aSent when the request was sent.
   *  @param aToken the fencing token of the lease. */
  void OnLeaseGranted(Millis aSent,
                      Millis aTtl,
                      std::uint64_t aToken,
                      Millis aNow)
  {
    // While the lease was not held, another process may have owned the slots.
    if (aToken != mToken || aNow >= mLeaseUntil) {
      mRowRequiredSince = aNow;
    }
    mToken = aToken;
    const Millis start = Rules::kCountLeaseFromSend ? aSent : aNow;
    mLeaseUntil = std::max(mLeaseUntil, start + aTtl - mOptions.mClockMargin);
  }

  /** Records that another process holds this process's session lease. */
  void OnLeaseRefused() { mLeaseUntil = Millis{}; }

  /** Applies the row that a read or a successful write of this process
   *  returned.
   *  @param aSent when the read or write was sent. */
  void OnRow(const OwnersRow& aRow, Millis aSent)
  {
    if (mRow && aRow.mVersion < mRow->mVersion) {
      return;
    }
    mLastRowReadSent = std::max(mLastRowReadSent, aSent);
    if (mRow && aRow.mVersion == mRow->mVersion) {
      return;
    }
    mRow = aRow;
    mRowVersionReadSent = aSent;
    // With a newer version of the row, the condition of pending writes can no
    // longer hold, so the row shows whether they succeeded.
    mTakeover.reset();
    mSlotsInHandOff.clear();
    mAcknowledged.clear();
    if (const auto it = aRow.mAcknowledged.find(mSelf.mProcess);
        it != aRow.mAcknowledged.end()) {
      mAcknowledged = it->second;
    }
    mMayRelyOnPromises = !mAcknowledged.empty();
  }

  /** @return whether this process's session lease is valid and, if it has
   *    expired before, the row was read since. */
  [[nodiscard]] bool LeaseValid(Millis aNow) const
  {
    return aNow < mLeaseUntil && (!Rules::kReadRowAfterLeaseExpiry ||
                                  mLastRowReadSent >= mRowRequiredSince);
  }

  /** @return whether this process holds a valid promise of every candidate that
   *    it has acknowledged. */
  [[nodiscard]] bool PromisesValid(Millis aNow) const
  {
    if (!mMayRelyOnPromises ||
        aNow >= mLeaseUntil + mOptions.mMaxPlatformOutage) {
      return false;
    }
    const auto promised = [&](const NodeProcess& aProcess) {
      const auto it = mReceivedPromises.find(aProcess);
      return it != mReceivedPromises.end() && aNow < it->second;
    };
    return Rules::kNeedEveryPromise
             ? std::all_of(mAcknowledged.begin(), mAcknowledged.end(), promised)
             : std::any_of(
                 mAcknowledged.begin(), mAcknowledged.end(), promised);
  }

  /** @return whether keys of aSlot may be dispatched to the target now. Must be
   *    called in the same iteration of the event loop as the dispatch. */
  [[nodiscard]] bool MayRun(int aSlot, Millis aNow) const
  {
    return Owns(aSlot) &&
           std::find(mSlotsInHandOff.begin(), mSlotsInHandOff.end(), aSlot) ==
             mSlotsInHandOff.end() &&
           (LeaseValid(aNow) || PromisesValid(aNow));
  }

  /** @return whether this process owns aSlot in the newest known row. */
  [[nodiscard]] bool Owns(int aSlot) const
  {
    return mRow && Slot(aSlot).mProcess == mSelf.mProcess;
  }

  [[nodiscard]] const std::optional<OwnersRow>& Row() const { return mRow; }

  /** @return a new request for a promise. The promise starts at aNow, not when
   *    the response arrives. */
  PromiseRequest RequestPromise(const NodeProcess& aCandidate, Millis aNow)
  {
    PromiseRequest request{ .mId = ++mLastRequest,
                            .mOwner = mSelf.mProcess,
                            .mCandidate = aCandidate,
                            .mDuration = mOptions.mPromiseDuration };
    for (int slot = 0; slot < kKeySlots; ++slot) {
      if (Owns(slot)) {
        request.mSlots.emplace_back(slot, Slot(slot).mEpoch);
      }
    }
    mPromiseRequests[aCandidate] = { request.mId, aNow };
    return request;
  }

  /** @return the candidates whose promise is needed. */
  [[nodiscard]] const std::vector<NodeProcess>& Acknowledged() const
  {
    return mAcknowledged;
  }

  /** Records that a candidate answered aRequest with a promise. Responses to
   *  other requests than the newest one to the candidate are ignored. */
  void OnPromise(const PromiseRequest& aRequest)
  {
    const auto it = mPromiseRequests.find(aRequest.mCandidate);
    if (it != mPromiseRequests.end() && it->second.first == aRequest.mId) {
      Millis& until = mReceivedPromises[aRequest.mCandidate];
      until = std::max(
        until, it->second.second + aRequest.mDuration - mOptions.mClockMargin);
    }
  }

  /** Decides on an owner's request and records the promise if it is given.
   *  @return whether this process promises not to take over from the owner. */
  bool GrantPromise(const PromiseRequest& aRequest, Millis aNow)
  {
    if (aRequest.mCandidate != mSelf.mProcess ||
        (Rules::kNoPromiseDuringTakeover && mTakeover)) {
      return false;
    }
    for (const auto& [slot, epoch] : aRequest.mSlots) {
      if (slot < 0 || slot >= kKeySlots ||
          (mRow && Slot(slot).mEpoch > epoch)) {
        return false;
      }
    }
    Millis& until = mGivenPromises[aRequest.mOwner];
    until = std::max(until, aNow + aRequest.mDuration);
    return true;
  }

  /** @return whether this process may start to take over from aOwner, provided
   *    that aOwner's session lease has expired at the platform.
   *  @param aExpired how long the lease has been observed as expired without
   *    interruption. */
  [[nodiscard]] bool MayTakeOver(const NodeProcess& aOwner,
                                 Millis aExpired,
                                 Millis aNow) const
  {
    if (!mRow || mTakeover || aOwner == mSelf.mProcess || !IsCandidate()) {
      return false;
    }
    const auto promise = mGivenPromises.find(aOwner);
    if (Rules::kHonourPromises && promise != mGivenPromises.end() &&
        aNow < promise->second) {
      return false;
    }
    if (!Rules::kNeedAcknowledgement || HasEnded(aOwner)) {
      return true;
    }
    const auto it = mRow->mAcknowledged.find(aOwner);
    if (it == mRow->mAcknowledged.end() || it->second.empty()) {
      return true;
    }
    const std::vector<NodeProcess>& acknowledged = it->second;
    if (std::find(acknowledged.begin(), acknowledged.end(), mSelf.mProcess) !=
        acknowledged.end()) {
      return true;
    }
    // All acknowledged candidates have ended. Wait until the promises that
    // they may have given have expired.
    if (aExpired >= mOptions.mPromiseDuration + mOptions.mClockMargin &&
        std::all_of(
          acknowledged.begin(),
          acknowledged.end(),
          [&](const NodeProcess& aProcess) { return HasEnded(aProcess); })) {
      return aNow - mRowVersionReadSent >=
             mOptions.mPromiseDuration + mOptions.mClockMargin;
    }
    return aExpired >= mOptions.mMaxPlatformOutage + mOptions.mClockMargin;
  }

  /** Starts a takeover if MayTakeOver() allows it. No promise is given until a
   *  newer row arrives or AbandonTakeover() is called. The caller then acquires
   *  the owner's session lease for this process.
   *  @return whether the takeover was started. */
  bool BeginTakeover(const NodeProcess& aOwner, Millis aExpired, Millis aNow)
  {
    if (!MayTakeOver(aOwner, aExpired, aNow)) {
      return false;
    }
    mTakeover = aOwner;
    return true;
  }

  /** Ends a takeover whose write was not sent or is known to have failed. Must
   *  not be called if the response to the write was lost: the write may have
   *  succeeded, and OnRow() with a newer version ends the takeover. */
  void AbandonTakeover() { mTakeover.reset(); }

  [[nodiscard]] bool IsTakingOver() const { return mTakeover.has_value(); }

  /** @param aToken the fencing token with which this process acquired the
   *    owner's session lease.
   *  @return the write that completes the takeover, or none if the row has
   *    changed since BeginTakeover(). */
  [[nodiscard]] std::optional<RowWrite> TakeoverWrite(
    std::uint64_t aToken) const
  {
    if (!mTakeover) {
      return std::nullopt;
    }
    RowWrite write{ *mRow, SessionLease(*mTakeover), aToken };
    for (SlotOwner& slot : write.mRow.mSlots) {
      if (slot.mProcess == *mTakeover) {
        slot = { .mProcess = mSelf.mProcess,
                 .mEpoch = slot.mEpoch + 1,
                 .mHandOffComplete = false };
      }
    }
    std::erase_if(write.mRow.mCandidates, [&](const KeyCandidate& aOther) {
      return aOther.mProcess == *mTakeover;
    });
    write.mRow.mAcknowledged.erase(*mTakeover);
    return write;
  }

  /** @return the write that adds this process to the candidates and makes it
   *    the owner of the slots without one, or none if it is a candidate
   *    already. */
  [[nodiscard]] std::optional<RowWrite> JoinWrite() const
  {
    if (IsCandidate()) {
      return std::nullopt;
    }
    RowWrite write{ mRow.value_or(OwnersRow{ .mService = mService }),
                    SessionLease(mSelf.mProcess),
                    mToken };
    std::erase_if(write.mRow.mCandidates, [&](const KeyCandidate& aOther) {
      return aOther.mProcess.mNode == mSelf.mProcess.mNode;
    });
    write.mRow.mCandidates.push_back(mSelf);
    for (SlotOwner& slot : write.mRow.mSlots) {
      if (slot.mProcess.mNode.empty()) {
        slot = { .mProcess = mSelf.mProcess, .mEpoch = slot.mEpoch + 1 };
      }
    }
    return write;
  }

  /** @return the write that acknowledges the candidates of the row, or none if
   *    there is nothing to change. Until a newer row shows whether the write
   *    succeeded, the promises of old and new candidates are needed. */
  std::optional<RowWrite> AcknowledgeWrite()
  {
    if (!mRow || !OwnsAny()) {
      return std::nullopt;
    }
    std::vector<NodeProcess> others;
    for (const KeyCandidate& candidate : mRow->mCandidates) {
      if (candidate.mProcess != mSelf.mProcess) {
        others.push_back(candidate.mProcess);
      }
    }
    const auto it = mRow->mAcknowledged.find(mSelf.mProcess);
    if (others == (it == mRow->mAcknowledged.end() ? std::vector<NodeProcess>{}
                                                   : it->second)) {
      return std::nullopt;
    }
    for (const NodeProcess& other : others) {
      if (std::find(mAcknowledged.begin(), mAcknowledged.end(), other) ==
          mAcknowledged.end()) {
        mAcknowledged.push_back(other);
      }
    }
    // Any candidate may take over from an owner that has acknowledged none.
    mMayRelyOnPromises = mMayRelyOnPromises && !others.empty();
    RowWrite write{ *mRow, SessionLease(mSelf.mProcess), mToken };
    write.mRow.mAcknowledged[mSelf.mProcess] = std::move(others);
    return write;
  }

  /** @return the write that sets aBackup as the backup of own slots, or none if
   *    nothing changes.
   *  @param aSlots slots whose entries aBackup stores in full and whose
   *    in-doubt window has ended. From the start of that full copy on, the
   *    caller must ignore acknowledgements of intents by other processes than
   *    aBackup. Keys that an earlier process of the backup acknowledged are
   *    missing from the copy. */
  [[nodiscard]] std::optional<RowWrite> BackupWrite(
    const std::vector<int>& aSlots,
    const NodeProcess& aBackup) const
  {
    if (!mRow) {
      return std::nullopt;
    }
    RowWrite write{ *mRow, SessionLease(mSelf.mProcess), mToken };
    for (const int slot : aSlots) {
      if (Owns(slot)) {
        write.mRow.mSlots[static_cast<std::size_t>(slot)].mBackup = aBackup;
      }
    }
    return write.mRow == *mRow ? std::nullopt : std::optional(write);
  }

  /** @param aAll whether to hand off all slots, for a planned stop, or only
   *    those above the fair share of this process.
   *  @return the slots of this process to hand off and their next owners. */
  [[nodiscard]] std::vector<std::pair<int, NodeProcess>> PlanHandOff(
    bool aAll) const
  {
    std::map<NodeProcess, std::vector<int>> slots;
    if (!mRow || !IsCandidate()) {
      return {};
    }
    for (const KeyCandidate& candidate : mRow->mCandidates) {
      slots[candidate.mProcess];
    }
    for (int slot = 0; slot < kKeySlots; ++slot) {
      slots[Slot(slot).mProcess].push_back(slot);
    }
    std::vector<int> own = std::move(slots[mSelf.mProcess]);
    slots.erase(mSelf.mProcess);
    std::erase_if(slots, [&](const auto& aEntry) {
      return std::none_of(mRow->mCandidates.begin(),
                          mRow->mCandidates.end(),
                          [&](const KeyCandidate& aCandidate) {
                            return aCandidate.mProcess == aEntry.first;
                          });
    });
    std::vector<std::pair<int, NodeProcess>> plan;
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

  /** Stops this process from running keys of the planned slots. The caller then
   *  waits for the runs in flight, sends the entries to the next owners and
   *  sends HandOffWrite(). */
  void BeginHandOff(const std::vector<std::pair<int, NodeProcess>>& aPlan)
  {
    for (const auto& [slot, next] : aPlan) {
      mSlotsInHandOff.push_back(slot);
    }
  }

  /** @param aPlan slots whose next owner has confirmed all entries.
   *  @return the write that hands off the slots, or none if aPlan is empty or
   *    contains a slot that is no longer owned or in hand-off. */
  [[nodiscard]] std::optional<RowWrite> HandOffWrite(
    const std::vector<std::pair<int, NodeProcess>>& aPlan) const
  {
    if (!mRow || aPlan.empty()) {
      return std::nullopt;
    }
    RowWrite write{ *mRow, SessionLease(mSelf.mProcess), mToken };
    for (const auto& [slot, next] : aPlan) {
      if (!Owns(slot) ||
          std::find(mSlotsInHandOff.begin(), mSlotsInHandOff.end(), slot) ==
            mSlotsInHandOff.end()) {
        return std::nullopt;
      }
      SlotOwner& owner = write.mRow.mSlots[static_cast<std::size_t>(slot)];
      owner = { .mProcess = next, .mEpoch = owner.mEpoch + 1 };
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
        return aSlot.mProcess == mSelf.mProcess;
      });
  }

  [[nodiscard]] bool IsCandidate() const
  {
    return mRow && std::find(mRow->mCandidates.begin(),
                             mRow->mCandidates.end(),
                             mSelf) != mRow->mCandidates.end();
  }

  /** @return whether a later process of the same node shows that aProcess has
   *    ended. */
  [[nodiscard]] bool HasEnded(const NodeProcess& aProcess) const
  {
    return std::any_of(mRow->mCandidates.begin(),
                       mRow->mCandidates.end(),
                       [&](const KeyCandidate& aOther) {
                         return aOther.mPredecessorEnded &&
                                aOther.mProcess.mNode == aProcess.mNode &&
                                aOther.mProcess.mIncarnation >
                                  aProcess.mIncarnation;
                       });
  }

  std::string mService;
  KeyCandidate mSelf;
  OwnershipOptions mOptions;

  /** When the session lease ends by this node's clock, minus mClockMargin. */
  Millis mLeaseUntil;
  std::uint64_t mToken = 0;
  /** The lease is usable only with a row that was requested at or after this
   *  time. */
  Millis mRowRequiredSince = Never();
  /** When the newest read or write that returned a row was sent. */
  Millis mLastRowReadSent;
  std::optional<OwnersRow> mRow;
  /** When the read or write was sent that first returned this version. */
  Millis mRowVersionReadSent;
  /** The candidates whose promise is needed: those that this process has
   *  acknowledged in the row or in pending writes. */
  std::vector<NodeProcess> mAcknowledged;
  /** Whether the row and all pending writes contain candidates acknowledged by
   *  this process. */
  bool mMayRelyOnPromises = false;
  /** The id and send time of the newest request to each candidate. */
  std::map<NodeProcess, std::pair<std::uint64_t, Millis>> mPromiseRequests;
  std::uint64_t mLastRequest = 0;
  /** By candidate: the end of its promise to this process. */
  std::map<NodeProcess, Millis> mReceivedPromises;
  /** By owner: the end of this process's promise to it. */
  std::map<NodeProcess, Millis> mGivenPromises;
  /** The owner from which this process is taking over. */
  std::optional<NodeProcess> mTakeover;
  /** Own slots whose keys no longer run, because they are being handed off. */
  std::vector<int> mSlotsInHandOff;
};

using KeyOwnership = BasicKeyOwnership<>;

} // namespace papayaway
