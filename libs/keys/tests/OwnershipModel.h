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

/** Steps of the protocol that are not part of KeyOwnership. */
struct ModelOptions
{
  bool mDoubtWindow = true;
  bool mStoreIntents = true;
  /** Whether the ledger is asked before each dispatch. */
  bool mGuardDispatch = true;
  /** The share of messages that take up to 9 s. */
  double mLongDelays = 0.03;
};

/**
 * Three nodes with one slot in dispute, their backup and the platform, joined
 * by messages that are delayed, reordered, lost and duplicated. Nodes pause,
 * crash and restart; links fail in one or both directions. Callers send each
 * key again for up to 25 s.
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
      mRate[i] = 0.999 + 0.002 * UniformFraction(mRandom);
    }
  }

  /** @return the first violation, or "". */
  std::string Run(Millis aDuration)
  {
    At(Millis{}, [this] { InjectFault(); });
    At(Millis{}, [this] { SendKey(); });
    while (mViolation.empty() && !mEvents.empty() && mNow < aDuration) {
      auto event = mEvents.extract(mEvents.begin());
      mNow = event.key();
      event.mapped()();
    }
    return mViolation;
  }

  /** Figures that show that a run was not idle. */
  int mRuns = 0;
  int mTakeovers = 0;
  int mPromiseRuns = 0;
  int mReplays = 0;

private:
  static constexpr int kNodes = 3;
  static constexpr int kPlatform = kNodes;
  static constexpr int kBackup = kNodes + 1;
  static constexpr Millis kTtl = Seconds(4);
  static constexpr int kSlot = 0;

  using Ownership = BasicKeyOwnership<Rules>;

  struct Node
  {
    std::uint64_t mIncarnation = 0;
    std::unique_ptr<Ownership> mOwnership;
    std::unique_ptr<KeyLedger> mLedger;
    Millis mPausedUntil;
    std::uint64_t mToken = 0;
    /** By owner, since when its lease is seen expired. */
    std::map<NodeRun, Millis> mExpired;
    bool mReady = false;
    std::uint64_t mReadyEpoch = 0;
    /** The process of the backup whose acknowledgements count. */
    NodeRun mBackup;
  };

  struct Lease
  {
    std::string mHolder;
    std::uint64_t mToken = 0;
    Millis mUntil;
  };

  void At(Millis aDelay, std::function<void()> aDo)
  {
    mEvents.emplace(mNow + aDelay, std::move(aDo));
  }

  bool Chance(double aChance) { return UniformFraction(mRandom) < aChance; }

  Millis Clock(int aNode) const { return Seconds(10) + mNow * mRate[aNode]; }

  NodeRun Run(int aNode) const
  {
    return { std::string(1, static_cast<char>('a' + aNode)),
             mNodes[aNode].mIncarnation };
  }

  static int Index(const NodeRun& aRun) { return aRun.mNode[0] - 'a'; }

  /** Delivers aDo at aTo unless the message is lost; a paused node gets it
   *  later, a restarted one not at all. */
  void Send(int aFrom, int aTo, std::function<void()> aDo)
  {
    const int copies = Chance(0.02) ? 0 : Chance(0.03) ? 2 : 1;
    const std::uint64_t incarnation =
      aTo < kNodes ? mNodes[aTo].mIncarnation : 0;
    for (int i = 0; i < copies; ++i) {
      const Millis delay{
        1 + 40 * UniformFraction(mRandom) +
        (Chance(mOptions.mLongDelays) ? 9000 * UniformFraction(mRandom) : 0)
      };
      At(delay, [=, this] { Deliver(aFrom, aTo, incarnation, aDo); });
    }
  }

  void Deliver(int aFrom,
               int aTo,
               std::uint64_t aIncarnation,
               const std::function<void()>& aDo)
  {
    if (mCut.contains({ aFrom, aTo })) {
      return;
    }
    if (aTo < kNodes) {
      if (mNodes[aTo].mIncarnation != aIncarnation) {
        return;
      }
      if (mNow < mNodes[aTo].mPausedUntil) {
        At(mNodes[aTo].mPausedUntil - mNow +
             Millis{ 5 * UniformFraction(mRandom) },
           [=, this] { Deliver(aFrom, aTo, aIncarnation, aDo); });
        return;
      }
    }
    aDo();
  }

  void Start(int aNode)
  {
    Node& node = mNodes[aNode];
    const std::uint64_t incarnation = node.mIncarnation + 1;
    node = Node{ .mIncarnation = incarnation };
    node.mOwnership = std::make_unique<Ownership>(
      "s",
      KeyCandidate{ Run(aNode), "dc", true },
      OwnershipOptions{ .mMargin = Millis{ 300 }, .mPromise = Seconds(4) });
    node.mLedger = std::make_unique<KeyLedger>();
    At(Millis{ 100 * UniformFraction(mRandom) },
       [=, this] { Tick(aNode, incarnation); });
  }

  /** The periodic work of a node. */
  void Tick(int aNode, std::uint64_t aIncarnation)
  {
    Deliver(aNode, aNode, aIncarnation, [=, this] {
      RenewLease(aNode);
      ReadRow(aNode);
      AskPromises(aNode);
      ProposeWrite(aNode);
      TryTakeover(aNode);
      At(Millis{ 400 + 300 * UniformFraction(mRandom) },
         [=, this] { Tick(aNode, aIncarnation); });
    });
  }

  // The platform.

  /** @return the token, or 0 if another holds the lease. */
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
    lease.mUntil = mNow + kTtl;
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
      !mRow.mSlots[kSlot].mRun.mNode.empty() &&
          mRow.mSlots[kSlot].mEpoch != aWrite.mRow.mSlots[kSlot].mEpoch &&
          !aWrite.mRow.mSlots[kSlot].mClean
        ? 1
        : 0;
    mRow = aWrite.mRow;
    mRow.mVersion = version;
    return true;
  }

  void RenewLease(int aNode)
  {
    const Millis sent = Clock(aNode);
    const NodeRun run = Run(aNode);
    Send(aNode, kPlatform, [=, this] {
      const std::uint64_t token = TakeLease(SessionLease(run), Holder(run));
      Send(kPlatform, aNode, [=, this] {
        if (Run(aNode) != run) {
          return;
        }
        Node& node = mNodes[aNode];
        if (token == 0) {
          node.mOwnership->LeaseRefused();
        } else {
          node.mToken = std::max(node.mToken, token);
          node.mOwnership->LeaseGranted(sent, kTtl, token, Clock(aNode));
        }
      });
    });
  }

  static std::string Holder(const NodeRun& aRun) { return SessionLease(aRun); }

  void ReadRow(int aNode)
  {
    const Millis sent = Clock(aNode);
    const NodeRun run = Run(aNode);
    Send(aNode, kPlatform, [=, this] {
      const OwnersRow row = mRow;
      std::set<NodeRun> expired;
      for (const SlotOwner& slot : row.mSlots) {
        if (!slot.mRun.mNode.empty() &&
            mNow >= mLeases[SessionLease(slot.mRun)].mUntil) {
          expired.insert(slot.mRun);
        }
      }
      Send(kPlatform, aNode, [=, this] {
        if (Run(aNode) == run) {
          SeeRow(aNode, row, sent);
          std::map<NodeRun, Millis> since;
          for (const NodeRun& owner : expired) {
            const auto old = mNodes[aNode].mExpired.find(owner);
            since[owner] =
              old == mNodes[aNode].mExpired.end() ? Clock(aNode) : old->second;
          }
          mNodes[aNode].mExpired = std::move(since);
        }
      });
    });
  }

  void SeeRow(int aNode, const OwnersRow& aRow, Millis aSent)
  {
    Node& node = mNodes[aNode];
    const std::optional<OwnersRow> before = node.mOwnership->Row();
    node.mOwnership->RowSeen(aRow, aSent);
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
      node.mReady = true;
      return;
    }
    const bool known =
      before && before->mSlots[kSlot].mEpoch + 1 == slot.mEpoch;
    if (slot.mClean) {
      // The entries came before the row; without them the node has doubt.
      FinishRestore(aNode, slot.mEpoch, mHandedOver[slot.mEpoch] != Run(aNode));
      return;
    }
    const SlotOwner previous = known ? before->mSlots[kSlot] : SlotOwner{};
    const std::uint64_t epoch = slot.mEpoch;
    const NodeRun run = Run(aNode);
    At(Millis{ 600 }, [=, this] {
      // No answer of the backup in time.
      if (Run(aNode) == run && !mNodes[aNode].mReady) {
        FinishRestore(aNode, epoch, true);
      }
    });
    Send(aNode, kBackup, [=, this] {
      const std::vector<KeyEntry> entries =
        mCopies.HandOver(previous.mRun, "s", kSlot);
      const NodeRun backup{ "backup", mBackupIncarnation };
      Send(kBackup, aNode, [=, this] {
        if (Run(aNode) != run || mNodes[aNode].mReadyEpoch != epoch) {
          return;
        }
        for (const KeyEntry& entry : entries) {
          mNodes[aNode].mLedger->Restore(entry, Clock(aNode));
        }
        if (!mNodes[aNode].mReady) {
          FinishRestore(
            aNode, epoch, !known || NeedsDoubt(previous, { backup }));
        }
      });
    });
  }

  void FinishRestore(int aNode, std::uint64_t aEpoch, bool aDoubt)
  {
    Node& node = mNodes[aNode];
    if (node.mReadyEpoch != aEpoch || !node.mOwnership->Owns(kSlot)) {
      return;
    }
    if (aDoubt && mOptions.mDoubtWindow) {
      node.mLedger->OpenDoubt("s", kSlot, Clock(aNode) + Seconds(30));
      mDoubtUntil[aNode] = Clock(aNode) + Seconds(30);
    }
    node.mReady = true;
  }

  void Write(int aNode, const RowWrite& aWrite)
  {
    const Millis sent = Clock(aNode);
    const NodeRun run = Run(aNode);
    Send(aNode, kPlatform, [=, this] {
      const bool done = WriteRow(aWrite);
      const OwnersRow row = mRow;
      Send(kPlatform, aNode, [=, this] {
        if (Run(aNode) == run && done) {
          SeeRow(aNode, row, sent);
        }
      });
    });
  }

  // The work of a node.

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
    if (Clock(aNode) >= mDoubtUntil[aNode] &&
        slot.mBackup != NodeRun{ "backup", mBackupIncarnation } &&
        !node.mLedger->HasInFlight("s", kSlot)) {
      CopyToBackup(aNode);
    } else if (Chance(0.02)) {
      HandOff(aNode);
    }
  }

  /** Sends a full copy and names the backup once it is confirmed. */
  void CopyToBackup(int aNode)
  {
    const std::vector<KeyEntry> entries =
      mNodes[aNode].mLedger->Entries("s", kSlot);
    const NodeRun run = Run(aNode);
    const NodeRun chosen{ "backup", mBackupIncarnation };
    const std::uint64_t epoch = mNodes[aNode].mReadyEpoch;
    mNodes[aNode].mBackup = chosen;
    Send(aNode, kBackup, [=, this] {
      for (const KeyEntry& entry : entries) {
        mCopies.Store(run, entry, mNow);
      }
      const NodeRun backup{ "backup", mBackupIncarnation };
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
    std::vector<std::pair<int, NodeRun>> plan;
    for (const auto& step : node.mOwnership->PlanHandOff(true)) {
      if (step.first == kSlot) {
        plan.push_back(step);
      }
    }
    if (plan.empty() || node.mLedger->HasInFlight("s", kSlot) ||
        Clock(aNode) < mDoubtUntil[aNode]) {
      return;
    }
    node.mOwnership->BeginHandOff(plan);
    const std::vector<KeyEntry> entries = node.mLedger->Entries("s", kSlot);
    const int next = Index(plan[0].second);
    const std::uint64_t epoch =
      node.mOwnership->Row()->mSlots[kSlot].mEpoch + 1;
    const std::uint64_t version = node.mOwnership->Row()->mVersion;
    Send(aNode, next, [=, this] {
      if (Run(next) != plan[0].second) {
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
          mHandedOver[epoch] = plan[0].second;
          Write(aNode, *write);
        }
      });
    });
  }

  void AskPromises(int aNode)
  {
    Node& node = mNodes[aNode];
    if (!node.mOwnership->Owns(kSlot)) {
      return;
    }
    const std::vector<NodeRun> candidates = node.mOwnership->Acknowledged();
    for (const NodeRun& candidate : candidates) {
      const PromiseRequest request =
        node.mOwnership->AskPromise(candidate, Clock(aNode));
      const int other = Index(candidate);
      Send(aNode, other, [=, this] {
        if (mNodes[other].mOwnership->GivePromise(request, Clock(other))) {
          Send(other, aNode, [=, this] {
            mNodes[aNode].mOwnership->PromiseReceived(request);
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
    const std::map<NodeRun, Millis> expired = node.mExpired;
    for (const auto& [owner, since] : expired) {
      if (!node.mOwnership->BeginTakeover(
            owner, Clock(aNode) - since, Clock(aNode))) {
        continue;
      }
      const NodeRun run = Run(aNode);
      const std::string lease = SessionLease(owner);
      Send(aNode, kPlatform, [=, this] {
        const std::uint64_t token = TakeLease(lease, Holder(run));
        Send(kPlatform, aNode, [=, this] {
          if (token == 0) {
            mNodes[aNode].mOwnership->GiveUpTakeover();
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
      At(i == 0 ? Millis{} : Millis{ 25000 * UniformFraction(mRandom) },
         [=, this] {
           Deliver(node, node, mNodes[node].mIncarnation, [=, this] {
             Receive(node, key);
           });
         });
    }
    At(Millis{ 300 * UniformFraction(mRandom) }, [this] { SendKey(); });
  }

  void Receive(int aNode, const std::string& aKey)
  {
    Node& node = mNodes[aNode];
    if (!node.mReady || !node.mOwnership->MayRun(kSlot, Clock(aNode))) {
      return; // Refused as "not run".
    }
    const std::uint64_t attempt = ++mLastAttempt;
    const KeyAnswer answer =
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
    const NodeRun run = Run(aNode);
    if (!mOptions.mStoreIntents) {
      Dispatch(aNode, aKey, attempt);
      return;
    }
    const std::uint64_t epoch = node.mOwnership->Row()->mSlots[kSlot].mEpoch;
    Send(aNode, kBackup, [=, this] {
      if (!mCopies.StoreIntent(run, "s", aKey, 7, mNow)) {
        return;
      }
      const NodeRun backup{ "backup", mBackupIncarnation };
      Send(kBackup, aNode, [=, this] {
        const Ownership& ownership = *mNodes[aNode].mOwnership;
        const SlotOwner& slot = ownership.Row()->mSlots[kSlot];
        const NodeRun& chosen = mNodes[aNode].mBackup;
        if (slot.mEpoch == epoch &&
            (chosen.mNode.empty() || chosen == backup) &&
            (slot.mBackup.mNode.empty() || slot.mBackup == backup)) {
          Dispatch(aNode, aKey, attempt);
        }
      });
    });
    At(Millis{ 500 }, [=, this] {
      if (Run(aNode) == run) {
        for (const std::uint64_t waiter :
             mNodes[aNode].mLedger->Abandon("s", aKey)) {
          mAnsweredNotRun.insert(waiter);
        }
      }
    });
  }

  void Dispatch(int aNode, const std::string& aKey, std::uint64_t aAttempt)
  {
    const NodeRun run = Run(aNode);
    Node& node = mNodes[aNode];
    if (!node.mOwnership->MayRun(kSlot, Clock(aNode)) ||
        (mOptions.mGuardDispatch &&
         !node.mLedger->Dispatch("s", aKey, aAttempt))) {
      return;
    }
    if (mAnsweredNotRun.contains(aAttempt)) {
      mViolation = "key " + aKey + " ran after the answer \"not run\"";
    }
    mPromiseRuns += node.mOwnership->LeaseValid(Clock(aNode)) ? 0 : 1;
    ++mRuns;
    if (!mOutcomes.emplace(aKey, aKey + " at " + run.mNode).second) {
      mViolation = "key " + aKey + " ran twice, now at " + run.mNode;
    }
    At(Millis{ 5 + 200 * UniformFraction(mRandom) }, [=, this] {
      Deliver(aNode, aNode, run.mIncarnation, [=, this] {
        const RecordedResponse response{ 200, {}, mOutcomes[aKey] };
        mNodes[aNode].mLedger->Complete("s", aKey, response, Clock(aNode));
        Send(aNode, kBackup, [=, this] {
          mCopies.Store(
            run, { "s", aKey, 7, KeyState::Recorded, response }, mNow);
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
        Cut(node, other, length);
        break;
      case 2:
        Cut(other, node, length);
        break;
      case 3:
        Cut(node, other, length);
        Cut(other, node, length);
        break;
      case 4:
        // Platform outage.
        for (int i = 0; i < kNodes; ++i) {
          Cut(i, kPlatform, length);
          Cut(kPlatform, i, length);
        }
        break;
      case 5:
        Start(node);
        break;
      case 6:
        if (Chance(0.3)) {
          mCopies = BackupCopies();
          ++mBackupIncarnation;
        }
        break;
    }
    At(Millis{ 6000 * UniformFraction(mRandom) }, [this] { InjectFault(); });
  }

  void Cut(int aFrom, int aTo, Millis aLength)
  {
    if (aFrom != aTo && mCut.insert({ aFrom, aTo }).second) {
      At(aLength, [=, this] { mCut.erase({ aFrom, aTo }); });
    }
  }

  /** Makes keys of the slot in dispute. */
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
  std::array<double, kNodes> mRate{ 1, 1, 1 };
  std::array<Millis, kNodes> mDoubtUntil;
  std::set<std::pair<int, int>> mCut;
  OwnersRow mRow{ .mService = "s" };
  std::map<std::string, Lease> mLeases;
  std::uint64_t mLastToken = 0;
  BackupCopies mCopies;
  std::uint64_t mBackupIncarnation = 1;
  std::map<std::uint64_t, NodeRun> mHandedOver;
  SlotKeys mSlotKeys;
  std::uint64_t mLastAttempt = 0;
  std::set<std::uint64_t> mAnsweredNotRun;
  /** By key, what its one run answered. */
  std::map<std::string, std::string> mOutcomes;
  std::string mViolation;
};

} // namespace papayaway
