#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <base/Random.h>
#include <keys/BackupCopies.h>
#include <keys/KeyOwnership.h>

namespace papayaway {

/** Rules of the protocol outside KeyOwnership, which tests can disable, and the
 *  rate of delayed messages. */
struct ModelOptions
{
  /** Whether a new owner without all entries opens the in-doubt window. */
  bool mInDoubtWindow = true;
  /** Whether an owner stores an intent at the backup before it runs a key. */
  bool mStoreIntents = true;
  /** Whether an owner calls KeyLedger::MarkDispatched() before each dispatch.
   */
  bool mGuardDispatch = true;
  /** The fraction of messages that are delayed by up to 9 s. */
  double mLongDelayFraction = 0.03;
};

/**
 * Simulates three nodes that are candidates for one slot, their backup and the
 * platform. They exchange messages that are delayed, reordered, lost and
 * duplicated. Nodes pause, crash and restart, and links fail in one or both
 * directions. Callers retry each key for up to 25 s. A violation is a key that
 * runs twice, runs after the answer "not run", or whose response changes.
 */
template<typename Rules>
class OwnershipModel
{
public:
  OwnershipModel(std::uint64_t aSeed, ModelOptions aOptions)
    : mOptions(aOptions)
    , mRandom(aSeed)
  {
    for (int i = 0; i < kNodes; ++i) {
      Start(i);
      mClockRates[i] = 0.999 + 0.002 * UniformFraction(mRandom);
    }
  }

  /** Runs the simulation until aDuration or a violation.
   *  @return the violation, or "". */
  std::string Run(Millis aDuration)
  {
    Schedule(Millis{}, [this] { InjectFault(); });
    Schedule(Millis{}, [this] { SendKey(); });
    while (mViolation.empty() && !mEvents.empty() && mNow < aDuration) {
      auto event = mEvents.extract(mEvents.begin());
      mNow = event.key();
      event.mapped()();
    }
    return mViolation;
  }

  /** Counts that show which parts of the protocol a simulation exercised. */
  int mRuns = 0;
  int mTakeovers = 0;
  /** Runs by promises alone, without a valid lease. */
  int mPromiseRuns = 0;
  int mReplays = 0;

private:
  static constexpr int kNodes = 3;
  static constexpr int kPlatform = kNodes;
  static constexpr int kBackup = kNodes + 1;
  static constexpr Millis kLeaseTtl = Seconds(4);
  static constexpr int kSlot = 0;

  using Ownership = BasicKeyOwnership<Rules>;

  struct Node
  {
    std::uint64_t mIncarnation = 0;
    std::unique_ptr<Ownership> mOwnership;
    std::unique_ptr<KeyLedger> mLedger;
    Millis mPausedUntil;
    /** The fencing token of the session lease; 0 before the first grant. */
    std::uint64_t mToken = 0;
    /** By owner: since when its lease has been observed as expired. */
    std::map<NodeProcess, Millis> mExpiredSince;
    /** Whether the node owns the slot and has restored its entries. */
    bool mReady = false;
    /** The epoch of the slot that mReady applies to. */
    std::uint64_t mReadyEpoch = 0;
    /** The process of the backup whose acknowledgements of intents count. */
    NodeProcess mBackup;
  };

  struct Lease
  {
    std::string mHolder;
    std::uint64_t mToken = 0;
    Millis mUntil;
  };

  void Schedule(Millis aDelay, std::function<void()> aAction)
  {
    mEvents.emplace(mNow + aDelay, std::move(aAction));
  }

  bool RandomBool(double aProbability)
  {
    return UniformFraction(mRandom) < aProbability;
  }

  Millis Clock(int aNode) const
  {
    return Seconds(10) + mNow * mClockRates[aNode];
  }

  NodeProcess ProcessOf(int aNode) const
  {
    return { std::string(1, static_cast<char>('a' + aNode)),
             mNodes[aNode].mIncarnation };
  }

  static int Index(const NodeProcess& aProcess)
  {
    return aProcess.mNode[0] - 'a';
  }

  /** Sends a message and performs aAction when aTo receives it. The message may
   *  be lost or duplicated. A paused node receives it later, a restarted one
   *  does not receive it. */
  void Send(int aFrom, int aTo, std::function<void()> aAction)
  {
    const int copies = RandomBool(0.02) ? 0 : RandomBool(0.03) ? 2 : 1;
    const std::uint64_t incarnation =
      aTo < kNodes ? mNodes[aTo].mIncarnation : 0;
    for (int i = 0; i < copies; ++i) {
      const Millis delay{ 1 + 40 * UniformFraction(mRandom) +
                          (RandomBool(mOptions.mLongDelayFraction)
                             ? 9000 * UniformFraction(mRandom)
                             : 0) };
      Schedule(delay, [=, this] { Deliver(aFrom, aTo, incarnation, aAction); });
    }
  }

  void Deliver(int aFrom,
               int aTo,
               std::uint64_t aIncarnation,
               const std::function<void()>& aAction)
  {
    if (mBrokenLinks.contains({ aFrom, aTo })) {
      return;
    }
    if (aTo < kNodes) {
      if (mNodes[aTo].mIncarnation != aIncarnation) {
        return;
      }
      if (mNow < mNodes[aTo].mPausedUntil) {
        Schedule(mNodes[aTo].mPausedUntil - mNow +
                   Millis{ 5 * UniformFraction(mRandom) },
                 [=, this] { Deliver(aFrom, aTo, aIncarnation, aAction); });
        return;
      }
    }
    aAction();
  }

  void Start(int aNode)
  {
    Node& node = mNodes[aNode];
    const std::uint64_t incarnation = node.mIncarnation + 1;
    node = Node{ .mIncarnation = incarnation };
    node.mOwnership = std::make_unique<Ownership>(
      "s",
      KeyCandidate{ ProcessOf(aNode), "dc", true },
      OwnershipOptions{ .mClockMargin = Millis{ 300 },
                        .mPromiseDuration = Seconds(4) });
    node.mLedger = std::make_unique<KeyLedger>();
    Schedule(Millis{ 100 * UniformFraction(mRandom) },
             [=, this] { Tick(aNode, incarnation); });
  }

  /** Performs the periodic work of a node. */
  void Tick(int aNode, std::uint64_t aIncarnation)
  {
    Deliver(aNode, aNode, aIncarnation, [=, this] {
      RenewLease(aNode);
      ReadRow(aNode);
      RequestPromises(aNode);
      ProposeWrite(aNode);
      TryTakeover(aNode);
      Schedule(Millis{ 400 + 300 * UniformFraction(mRandom) },
               [=, this] { Tick(aNode, aIncarnation); });
    });
  }

  // Platform.

  /** @return the fencing token, or 0 if another process holds the lease. */
  std::uint64_t TakeLease(const std::string& aName, const std::string& aHolder)
  {
    Lease& lease = mLeases[aName];
    if (mNow < lease.mUntil && lease.mHolder != aHolder) {
      return 0;
    }
    if (mNow >= lease.mUntil) {
      lease.mToken = ++mLastToken;
      lease.mHolder = aHolder;
    }
    lease.mUntil = mNow + kLeaseTtl;
    return lease.mToken;
  }

  bool WriteRow(const RowWrite& aWrite)
  {
    const Lease& lease = mLeases[aWrite.mLease];
    if (aWrite.mRow.mVersion != mRow.mVersion || mNow >= lease.mUntil ||
        lease.mToken != aWrite.mToken) {
      return false;
    }
    const std::uint64_t version = mRow.mVersion + 1;
    mTakeovers +=
      !mRow.mSlots[kSlot].mProcess.mNode.empty() &&
          mRow.mSlots[kSlot].mEpoch != aWrite.mRow.mSlots[kSlot].mEpoch &&
          !aWrite.mRow.mSlots[kSlot].mHandOffComplete
        ? 1
        : 0;
    mRow = aWrite.mRow;
    mRow.mVersion = version;
    return true;
  }

  void RenewLease(int aNode)
  {
    const Millis sent = Clock(aNode);
    const NodeProcess process = ProcessOf(aNode);
    Send(aNode, kPlatform, [=, this] {
      const std::uint64_t token =
        TakeLease(SessionLease(process), Holder(process));
      Send(kPlatform, aNode, [=, this] {
        if (ProcessOf(aNode) != process) {
          return;
        }
        Node& node = mNodes[aNode];
        if (token == 0) {
          node.mOwnership->OnLeaseRefused();
        } else {
          node.mToken = std::max(node.mToken, token);
          node.mOwnership->OnLeaseGranted(sent, kLeaseTtl, token, Clock(aNode));
        }
      });
    });
  }

  static std::string Holder(const NodeProcess& aProcess)
  {
    return SessionLease(aProcess);
  }

  void ReadRow(int aNode)
  {
    const Millis sent = Clock(aNode);
    const NodeProcess process = ProcessOf(aNode);
    Send(aNode, kPlatform, [=, this] {
      const OwnersRow row = mRow;
      std::set<NodeProcess> expired;
      for (const SlotOwner& slot : row.mSlots) {
        if (!slot.mProcess.mNode.empty() &&
            mNow >= mLeases[SessionLease(slot.mProcess)].mUntil) {
          expired.insert(slot.mProcess);
        }
      }
      Send(kPlatform, aNode, [=, this] {
        if (ProcessOf(aNode) == process) {
          OnRowResponse(aNode, row, sent);
          std::map<NodeProcess, Millis> since;
          for (const NodeProcess& owner : expired) {
            const auto old = mNodes[aNode].mExpiredSince.find(owner);
            since[owner] = old == mNodes[aNode].mExpiredSince.end()
                             ? Clock(aNode)
                             : old->second;
          }
          mNodes[aNode].mExpiredSince = std::move(since);
        }
      });
    });
  }

  void OnRowResponse(int aNode, const OwnersRow& aRow, Millis aSent)
  {
    Node& node = mNodes[aNode];
    const std::optional<OwnersRow> before = node.mOwnership->Row();
    node.mOwnership->OnRow(aRow, aSent);
    if (!node.mOwnership->Owns(kSlot)) {
      node.mReady = false;
      return;
    }
    const SlotOwner& slot = node.mOwnership->Row()->mSlots[kSlot];
    if (slot.mEpoch == node.mReadyEpoch) {
      return;
    }
    node.mReadyEpoch = slot.mEpoch;
    node.mReady = false;
    if (slot.mEpoch == 1) {
      // The slot has had no owner before, so there are no entries to restore.
      node.mReady = true;
      return;
    }
    // Whether this node has read the row with the previous owner, whose entries
    // it requests from the backup.
    const bool previousKnown =
      before && before->mSlots[kSlot].mEpoch + 1 == slot.mEpoch;
    if (slot.mHandOffComplete) {
      // The previous owner sent the entries before it wrote the row. The slot
      // is in doubt if this process did not receive them.
      FinishRestore(
        aNode, slot.mEpoch, mHandOffReceivers[slot.mEpoch] != ProcessOf(aNode));
      return;
    }
    const SlotOwner previous =
      previousKnown ? before->mSlots[kSlot] : SlotOwner{};
    const std::uint64_t epoch = slot.mEpoch;
    const NodeProcess process = ProcessOf(aNode);
    Schedule(Millis{ 600 }, [=, this] {
      // The backup has not answered in time.
      if (ProcessOf(aNode) == process && !mNodes[aNode].mReady) {
        FinishRestore(aNode, epoch, true);
      }
    });
    Send(aNode, kBackup, [=, this] {
      const std::vector<KeyEntry> entries =
        mCopies.EntriesOf(previous.mProcess, "s", kSlot);
      const NodeProcess backup{ "backup", mBackupIncarnation };
      Send(kBackup, aNode, [=, this] {
        if (ProcessOf(aNode) != process || mNodes[aNode].mReadyEpoch != epoch) {
          return;
        }
        for (const KeyEntry& entry : entries) {
          mNodes[aNode].mLedger->Restore(entry, Clock(aNode));
        }
        if (!mNodes[aNode].mReady) {
          FinishRestore(aNode,
                        epoch,
                        !previousKnown ||
                          NeedsInDoubtWindow(previous, { backup }));
        }
      });
    });
  }

  void FinishRestore(int aNode, std::uint64_t aEpoch, bool aInDoubt)
  {
    Node& node = mNodes[aNode];
    if (node.mReadyEpoch != aEpoch || !node.mOwnership->Owns(kSlot)) {
      return;
    }
    if (aInDoubt && mOptions.mInDoubtWindow) {
      node.mLedger->OpenInDoubtWindow("s", kSlot, Clock(aNode) + Seconds(30));
      mInDoubtUntil[aNode] = Clock(aNode) + Seconds(30);
    }
    node.mReady = true;
  }

  void Write(int aNode, const RowWrite& aWrite)
  {
    const Millis sent = Clock(aNode);
    const NodeProcess process = ProcessOf(aNode);
    Send(aNode, kPlatform, [=, this] {
      const bool done = WriteRow(aWrite);
      const OwnersRow row = mRow;
      Send(kPlatform, aNode, [=, this] {
        if (ProcessOf(aNode) == process && done) {
          OnRowResponse(aNode, row, sent);
        }
      });
    });
  }

  // Periodic work of a node.

  void ProposeWrite(int aNode)
  {
    Node& node = mNodes[aNode];
    if (node.mToken == 0 || node.mOwnership->IsTakingOver()) {
      return;
    }
    if (const auto join = node.mOwnership->JoinWrite()) {
      if (node.mOwnership->Row()) {
        Write(aNode, *join);
      }
      return;
    }
    if (const auto acknowledge = node.mOwnership->AcknowledgeWrite()) {
      Write(aNode, *acknowledge);
      return;
    }
    if (!node.mOwnership->Owns(kSlot) || !node.mReady) {
      return;
    }
    const SlotOwner& slot = node.mOwnership->Row()->mSlots[kSlot];
    if (Clock(aNode) >= mInDoubtUntil[aNode] &&
        slot.mBackup != NodeProcess{ "backup", mBackupIncarnation } &&
        !node.mLedger->HasInFlight("s", kSlot)) {
      CopyToBackup(aNode);
    } else if (RandomBool(0.02)) {
      HandOff(aNode);
    }
  }

  /** Sends a full copy of the slot to the backup and, when the backup confirms
   *  it, sets the backup in the row. */
  void CopyToBackup(int aNode)
  {
    const std::vector<KeyEntry> entries =
      mNodes[aNode].mLedger->Entries("s", kSlot);
    const NodeProcess process = ProcessOf(aNode);
    const NodeProcess chosen{ "backup", mBackupIncarnation };
    const std::uint64_t epoch = mNodes[aNode].mReadyEpoch;
    mNodes[aNode].mBackup = chosen;
    Send(aNode, kBackup, [=, this] {
      for (const KeyEntry& entry : entries) {
        mCopies.Store(process, entry, mNow);
      }
      const NodeProcess backup{ "backup", mBackupIncarnation };
      Send(kBackup, aNode, [=, this] {
        if (backup != chosen || mNodes[aNode].mBackup != chosen ||
            mNodes[aNode].mReadyEpoch != epoch) {
          return;
        }
        const auto write =
          mNodes[aNode].mOwnership->BackupWrite({ kSlot }, backup);
        if (write) {
          Write(aNode, *write);
        }
      });
    });
  }

  void HandOff(int aNode)
  {
    Node& node = mNodes[aNode];
    std::vector<std::pair<int, NodeProcess>> plan;
    for (const auto& step : node.mOwnership->PlanHandOff(true)) {
      if (step.first == kSlot) {
        plan.push_back(step);
      }
    }
    if (plan.empty() || node.mLedger->HasInFlight("s", kSlot) ||
        Clock(aNode) < mInDoubtUntil[aNode]) {
      return;
    }
    node.mOwnership->BeginHandOff(plan);
    const std::vector<KeyEntry> entries = node.mLedger->Entries("s", kSlot);
    const int next = Index(plan[0].second);
    const std::uint64_t epoch =
      node.mOwnership->Row()->mSlots[kSlot].mEpoch + 1;
    const std::uint64_t version = node.mOwnership->Row()->mVersion;
    Send(aNode, next, [=, this] {
      if (ProcessOf(next) != plan[0].second) {
        return;
      }
      for (const KeyEntry& entry : entries) {
        mNodes[next].mLedger->Restore(entry, Clock(next));
      }
      Send(next, aNode, [=, this] {
        Ownership& ownership = *mNodes[aNode].mOwnership;
        if (ownership.Row()->mVersion != version) {
          return;
        }
        if (const auto write = ownership.HandOffWrite(plan)) {
          mHandOffReceivers[epoch] = plan[0].second;
          Write(aNode, *write);
        }
      });
    });
  }

  void RequestPromises(int aNode)
  {
    Node& node = mNodes[aNode];
    if (!node.mOwnership->Owns(kSlot)) {
      return;
    }
    const std::vector<NodeProcess> candidates = node.mOwnership->Acknowledged();
    for (const NodeProcess& candidate : candidates) {
      const PromiseRequest request =
        node.mOwnership->RequestPromise(candidate, Clock(aNode));
      const int other = Index(candidate);
      Send(aNode, other, [=, this] {
        if (mNodes[other].mOwnership->GrantPromise(request, Clock(other))) {
          Send(other, aNode, [=, this] {
            mNodes[aNode].mOwnership->OnPromise(request);
          });
        }
      });
    }
  }

  void TryTakeover(int aNode)
  {
    Node& node = mNodes[aNode];
    if (node.mToken == 0) {
      return;
    }
    const std::map<NodeProcess, Millis> expired = node.mExpiredSince;
    for (const auto& [owner, since] : expired) {
      if (!node.mOwnership->BeginTakeover(
            owner, Clock(aNode) - since, Clock(aNode))) {
        continue;
      }
      const NodeProcess process = ProcessOf(aNode);
      const std::string lease = SessionLease(owner);
      Send(aNode, kPlatform, [=, this] {
        const std::uint64_t token = TakeLease(lease, Holder(process));
        Send(kPlatform, aNode, [=, this] {
          if (token == 0) {
            mNodes[aNode].mOwnership->AbandonTakeover();
          } else if (const auto write =
                       mNodes[aNode].mOwnership->TakeoverWrite(token)) {
            Write(aNode, *write);
          }
        });
      });
    }
  }

  // Keys.

  void SendKey()
  {
    const std::string key = mSlotKeys.Next();
    const int times = 1 + static_cast<int>(UniformBelow(mRandom, 4));
    for (int i = 0; i < times; ++i) {
      const int node = static_cast<int>(UniformBelow(mRandom, kNodes));
      Schedule(i == 0 ? Millis{} : Millis{ 25000 * UniformFraction(mRandom) },
               [=, this] {
                 Deliver(node, node, mNodes[node].mIncarnation, [=, this] {
                   Receive(node, key);
                 });
               });
    }
    Schedule(Millis{ 300 * UniformFraction(mRandom) }, [this] { SendKey(); });
  }

  void Receive(int aNode, const std::string& aKey)
  {
    Node& node = mNodes[aNode];
    if (!node.mReady || !node.mOwnership->MayRun(kSlot, Clock(aNode))) {
      return; // Refused as "not run".
    }
    const std::uint64_t attempt = ++mLastAttempt;
    const KeyAdmissionResult answer =
      node.mLedger->Admit("s", aKey, 7, attempt, Clock(aNode));
    if (answer.mAdmission == KeyAdmission::Replay) {
      ++mReplays;
      if (answer.mResponse->mBody != mOutcomes[aKey]) {
        mViolation = "another outcome is replayed for " + aKey;
      }
    }
    if (answer.mAdmission != KeyAdmission::Run) {
      return;
    }
    const NodeProcess process = ProcessOf(aNode);
    if (!mOptions.mStoreIntents) {
      Dispatch(aNode, aKey, attempt);
      return;
    }
    const std::uint64_t epoch = node.mOwnership->Row()->mSlots[kSlot].mEpoch;
    Send(aNode, kBackup, [=, this] {
      if (!mCopies.StoreIntent(process, "s", aKey, 7, mNow)) {
        return;
      }
      const NodeProcess backup{ "backup", mBackupIncarnation };
      Send(kBackup, aNode, [=, this] {
        const Ownership& ownership = *mNodes[aNode].mOwnership;
        const SlotOwner& slot = ownership.Row()->mSlots[kSlot];
        const NodeProcess& chosen = mNodes[aNode].mBackup;
        if (slot.mEpoch == epoch &&
            (chosen.mNode.empty() || chosen == backup) &&
            (slot.mBackup.mNode.empty() || slot.mBackup == backup)) {
          Dispatch(aNode, aKey, attempt);
        }
      });
    });
    Schedule(Millis{ 500 }, [=, this] {
      if (ProcessOf(aNode) == process) {
        for (const std::uint64_t waiter :
             mNodes[aNode].mLedger->Abandon("s", aKey)) {
          mAnsweredNotRun.insert(waiter);
        }
      }
    });
  }

  void Dispatch(int aNode, const std::string& aKey, std::uint64_t aAttempt)
  {
    const NodeProcess process = ProcessOf(aNode);
    Node& node = mNodes[aNode];
    if (!node.mOwnership->MayRun(kSlot, Clock(aNode)) ||
        (mOptions.mGuardDispatch &&
         !node.mLedger->MarkDispatched("s", aKey, aAttempt))) {
      return;
    }
    if (mAnsweredNotRun.contains(aAttempt)) {
      mViolation = "key " + aKey + " ran after the answer \"not run\"";
    }
    mPromiseRuns += node.mOwnership->LeaseValid(Clock(aNode)) ? 0 : 1;
    ++mRuns;
    if (!mOutcomes.emplace(aKey, aKey + " at " + process.mNode).second) {
      mViolation = "key " + aKey + " ran twice, now at " + process.mNode;
    }
    Schedule(Millis{ 5 + 200 * UniformFraction(mRandom) }, [=, this] {
      Deliver(aNode, aNode, process.mIncarnation, [=, this] {
        const RecordedResponse response{ 200, {}, mOutcomes[aKey] };
        mNodes[aNode].mLedger->Complete("s", aKey, response, Clock(aNode));
        Send(aNode, kBackup, [=, this] {
          mCopies.Store(
            process, { "s", aKey, 7, KeyState::Recorded, response }, mNow);
        });
      });
    });
  }

  // Faults.

  void InjectFault()
  {
    const int node = static_cast<int>(UniformBelow(mRandom, kNodes));
    const int other = static_cast<int>(UniformBelow(mRandom, kBackup + 1));
    const Millis length{ 12000 * UniformFraction(mRandom) };
    switch (UniformBelow(mRandom, 7)) {
      case 0:
        mNodes[node].mPausedUntil = mNow + length;
        break;
      case 1:
        BreakLink(node, other, length);
        break;
      case 2:
        BreakLink(other, node, length);
        break;
      case 3:
        BreakLink(node, other, length);
        BreakLink(other, node, length);
        break;
      case 4:
        // Platform outage.
        for (int i = 0; i < kNodes; ++i) {
          BreakLink(i, kPlatform, length);
          BreakLink(kPlatform, i, length);
        }
        break;
      case 5:
        Start(node);
        break;
      case 6:
        if (RandomBool(0.3)) {
          mCopies = BackupCopies();
          ++mBackupIncarnation;
        }
        break;
    }
    Schedule(Millis{ 6000 * UniformFraction(mRandom) },
             [this] { InjectFault(); });
  }

  void BreakLink(int aFrom, int aTo, Millis aLength)
  {
    if (aFrom != aTo && mBrokenLinks.insert({ aFrom, aTo }).second) {
      Schedule(aLength, [=, this] { mBrokenLinks.erase({ aFrom, aTo }); });
    }
  }

  /** Generates distinct keys of slot kSlot. */
  class SlotKeys
  {
  public:
    std::string Next()
    {
      std::string key;
      do {
        key = "k" + std::to_string(++mLast);
      } while (KeySlot(key) != kSlot);
      return key;
    }

  private:
    int mLast = 0;
  };

  ModelOptions mOptions;
  Random mRandom;
  Millis mNow;
  std::multimap<Millis, std::function<void()>> mEvents;
  std::array<Node, kNodes> mNodes;
  std::array<double, kNodes> mClockRates{ 1, 1, 1 };
  std::array<Millis, kNodes> mInDoubtUntil;
  std::set<std::pair<int, int>> mBrokenLinks;
  OwnersRow mRow{ .mService = "s" };
  std::map<std::string, Lease> mLeases;
  std::uint64_t mLastToken = 0;
  BackupCopies mCopies;
  std::uint64_t mBackupIncarnation = 1;
  /** By epoch: the process that received the entries in a hand-off. */
  std::map<std::uint64_t, NodeProcess> mHandOffReceivers;
  SlotKeys mSlotKeys;
  std::uint64_t mLastAttempt = 0;
  /** Attempts that were answered "not run". */
  std::set<std::uint64_t> mAnsweredNotRun;
  /** By key: the response of its only allowed run. */
  std::map<std::string, std::string> mOutcomes;
  std::string mViolation;
};

} // namespace papayaway
