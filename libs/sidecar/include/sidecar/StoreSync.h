#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <base/Random.h>
#include <gateway/FollowerElection.h>
#include <gateway/NodeRecord.h>
#include <gateway/Rollout.h>
#include <net/EventLoop.h>
#include <sidecar/EventLog.h>
#include <sidecar/PeerMessages.h>
#include <sidecar/PlatformProtocol.h>
#include <sidecar/RowStore.h>
#include <sidecar/SidecarMetrics.h>

namespace papayaway::sidecar {

struct StoreSyncHandlers
{
  /** Called with a new or changed operator row and the row that it
   *  replaces. */
  std::function<void(const Row& aOld, const Row& aNew)> mOperatorRowChanged;
  /** Compares two rows of the same key by their values, as far as these tell
   *  which one the operator wrote later; equivalent if they do not. */
  std::function<std::weak_ordering(const Row& aOne, const Row& aOther)>
    mCompareValues;
  /** Called with operator rows that were read, before each of them is merged,
   *  and whether they are the whole table, or else only changes. */
  std::function<void(const RowList&, bool aWholeTable)> mOperatorRowsRead;
  /** Called when the store has answered with all changes of the operator rows,
   *  or that there are none, after they were merged. Receives the time (of
   *  BootNow()) up to which the answer contains all changes. */
  std::function<void(Millis)> mOperatorRowsMerged;
  /** Called with the name of another node whose stored record was removed
   *  because its host is gone. */
  std::function<void(const std::string&)> mRecordRemoved;
  /** Called with the stored record of another node. */
  std::function<void(const gateway::NodeRecord&)> mRecordRead;
  /** Called with rollout progress that was read from or written to the store.
   */
  std::function<void(const gateway::RolloutProgress&)> mProgressStored;
  /** Called each time the nodes' table was read, with the services of which it
   *  has rollout progress. */
  std::function<void(const std::set<std::string>&)> mNodesRead;
  /** @return the current record of this node. */
  std::function<gateway::NodeRecord()> mOwnRecord;
  /** Called with the stored record of this node, which may be of another
   *  incarnation than that of this process. */
  std::function<void(const gateway::NodeRecord&)> mOwnRecordRead;
  /** Called with what a node, which may be this one, has kept of crashes. */
  std::function<void(const std::string&, const QuarantineMessage&)>
    mQuarantineRead;
  /** Called with the sequence number of the record of this process that the
   *  store has. */
  std::function<void(std::uint64_t)> mRecordStored;
  /** Called when a write of the record has failed. */
  std::function<void()> mRecordNotStored;
  /** Called when the store has come back from a copy, before the tables are
   *  read again. */
  std::function<void()> mCameBackFromCopy;
};

constexpr Millis kOperatorRowsBatchDelay{ 400 };

struct StoreSyncOptions
{
  std::string mNode;
  /** How long a follow call may wait at the store for a change. */
  Millis mFollowWait{ 500 };
  /** After a change of the operator rows, the next follow call waits this
   *  long, so that further changes are read together. */
  Millis mOperatorRowsBatchDelay = kOperatorRowsBatchDelay;
  /** The mean period between reads of the nodes' table by a follower; other
   *  nodes read it less often. Nodes also send their changes to each other
   *  directly. */
  Millis mNodesReadPeriod{ 15000 };
  /** How long the first write of the record waits for the target's first
   *  check-in, so that the record is written once instead of twice. */
  Millis mFirstWriteDelay{ 1700 };
  /** Later changes within this time are written together. The delay is
   *  harmless: linked nodes receive changes directly, and only nodes that start
   *  need the row. */
  Millis mRecordBatchDelay{ 4000 };
  /** The first and the longest delay between attempts while the store does not
   *  answer. Failed calls are billed as well, and the two followers of a data
   *  centre retry independently of each other. */
  Millis mMinRetryDelay{ 300 };
  Millis mMaxRetryDelay{ 1200 };
  /** The delay between attempts to write the record. It is long because many
   *  nodes may retry at once; OnStoreRecovered() shortens it. */
  Millis mRecordRetryDelay{ 4000 };
  /** That delay for a record that must be written at once. */
  Millis mUrgentRetryDelay{ 1000 };
  /** What a node keeps of crashes is written this long after a change, so that
   *  the requests that have run since are not in it, and not more often than
   *  the interval. */
  Millis mQuarantineDelay{ 250 };
  Millis mQuarantineInterval{ 3000 };
  /** When the store answers again, nodes write their records at random times
   *  within this period. */
  Millis mRecoveryJitter{ 500 };
  /** When the store has come back from a copy, nodes that do not follow it read
   *  the nodes' table at random times within the sum of this period and the
   *  second one for each node. */
  Millis mEraJitter{ 500 };
  Millis mEraJitterPerNode{ 10 };
};

/**
 * Synchronises this node with the platform's store.
 *
 * It reads the operator rows, which hold the desired state and the rollout
 * orders, and the nodes' table, which holds the records of all nodes and the
 * progress of rollouts. It writes this node's record and rollout progress.
 *
 * When the store has come back from a copy, that is, in a new era, it reads
 * both tables again and writes what the copy lacks. No version that was read in
 * an earlier era is used as a condition or to read changes.
 */
class StoreSync
{
public:
  StoreSync(EventLoop& aLoop,
            StoreSyncOptions aOptions,
            RowStore& aStore,
            const OperatorNames& aNames,
            StoreSyncHandlers aHandlers,
            EventLog& aLog,
            SidecarMetrics& aMetrics,
            Random& aRandom);
  StoreSync(const StoreSync&) = delete;
  StoreSync& operator=(const StoreSync&) = delete;
  ~StoreSync();

  /** Reads the nodes' table and writes the record of this node.
   *  @param aFirstStart whether the whole system starts for the first time. */
  void Start(bool aFirstStart);

  /** Sets whether this node follows the operator rows in the store. A node
   *  that does not follow receives them from linked nodes and reads the
   *  nodes' table less often. */
  void SetFollowing(bool aFollowing);

  /** Reads the operator rows once, unless some are already known or a read is
   *  in progress. */
  void ReadOperatorRowsOnce();

  /** @return whether this node follows the operator rows. */
  [[nodiscard]] bool IsFollowing() const { return mFollowing; }

  /** @return whether following the operator rows works. */
  [[nodiscard]] gateway::FollowState FollowingState() const;

  /** @return the newest era that the store has reported, or 0. */
  [[nodiscard]] std::uint64_t Era() const { return mEra.value_or(0); }

  /** Handles that another node knows an era of the store.
   *  @param aNodes the number of nodes that may read the store because of it.
   */
  void OnEraReported(std::uint64_t aEra, std::size_t aNodes);

  /** Merges an operator row, which may come from another node.
   *  @return whether it was newer than the known one. */
  bool MergeOperatorRow(const Row& aRow);

  /** @return the newest known operator rows, by key. */
  [[nodiscard]] const std::map<std::string, Row>& OperatorRows() const
  {
    return mOperatorRows;
  }

  /** Schedules a write of this node's record, which has changed.
   *  @param aAtOnce whether to write without waiting for further changes. */
  void PublishRecord(bool aAtOnce);

  /** @return whether the stored record of this node has these targets that have
   *    left. */
  [[nodiscard]] bool HasStored(
    const std::vector<gateway::LeftTarget>& aLeft) const
  {
    return mStoredRecord ? mStoredRecord->mLeft == aLeft : aLeft.empty();
  }

  /** Removes the stored records of nodes whose hosts are gone, unless they have
   *  been written again in the meantime. */
  void RemoveRecords(const std::vector<std::string>& aNodes);

  /** Called when a linked node has reported that the store answers again. */
  void OnStoreRecovered();

  /** Schedules a write of what this node keeps of crashes.
   *  @param aText the encoded value of the row; no row if empty. */
  void PublishQuarantine(std::string aText);

  /** Writes the progress of a rollout and the status for the operator, unless
   *  another node has written progress in the meantime, or the versions of the
   *  rows are not known.
   *  @param aStatus the encoded status that the operator reads. */
  void WriteProgress(const gateway::RolloutProgress& aProgress,
                     const std::string& aStatus);

  /** @return whether the store answered the last call. */
  [[nodiscard]] bool StoreAvailable() const { return mStoreAvailable; }

  /** @return whether the nodes' table has been read at least once. */
  [[nodiscard]] bool NodesRead() const { return mNodesRead; }

  /** @return the estimated time of the store's clock, or 0 if unknown. */
  [[nodiscard]] Millis StoreClock() const;

private:
  using Result = tl::expected<RowList, StoreError>;

  /** Reads the operator rows or waits for changes, if this node follows and
   *  no such call is in progress. */
  void FetchOperatorRows();
  void ReadOperatorRows();
  void FollowOperatorRows();
  /** Handles that an answer contains all changes up to aAt. */
  void OnConfirmed(Millis aAt);
  void ReadNodes();
  void WriteRecord();
  void WriteQuarantine();
  void OnQuarantineRow(const Row& aRow);
  void MergeOperatorRows(const RowList& aList, bool aWholeTable);
  void MergeNodes(const RowList& aList);
  /** @return whether the row replaces the known one of the same key. */
  [[nodiscard]] bool Supersedes(const Row& aRow, const Row& aKnown) const;
  /**
   * Updates metrics, the store's clock, its availability and its era.
   * @param aSentInEra the value of mEra when the call was sent.
   * @return the result, or an error if it does not hold in the present era: an
   *   answer of an earlier era, or a change or a wait for changes that the
   *   store's return from a copy has overtaken.
   */
  Result CheckResult(const char* aCall,
                     std::optional<std::uint64_t> aSentInEra,
                     Result aResult);
  void OnNewEra(std::uint64_t aEra);
  /** Marks the rows that a read of the nodes' table did not find as absent.
   *  Those that were there earlier in this era were removed. */
  void ResetAbsentRows(const RowList& aList);
  /** @return a random delay that grows with the number of failures. */
  [[nodiscard]] Millis RetryDelay(Millis aMaxDelay);

  StoreSyncOptions mOptions;
  RowStore& mStore;
  OperatorNames mNames;
  StoreSyncHandlers mHandlers;
  EventLog& mLog;
  SidecarMetrics& mMetrics;
  Random& mRandom;
  Timer mOperatorRowsTimer;
  Timer mNodesTimer;
  Timer mRecordTimer;
  Timer mQuarantineTimer;
  bool mOperatorRowsRead = false;
  bool mNodesRead = false;
  bool mStoreAvailable = true;
  /** The newest era that the store has reported. */
  std::optional<std::uint64_t> mEra;
  /** The newest era that another node has reported. */
  std::uint64_t mReportedEra = 0;
  /** Whether the rows of this node must be compared with the nodes' table,
   *  because the store came back from a copy. */
  bool mRestoresRows = false;
  /** How often the store has had no history since it last returned changes. */
  int mHistoryLosses = 0;
  gateway::StoreVersion mOperatorRowsVersion;
  /** The newest operator rows, by key. */
  std::map<std::string, Row> mOperatorRows;
  /** The time up to which the answers of the store contain all changes of the
   *  operator rows. */
  std::optional<Millis> mConfirmedAt;
  bool mFollowing = false;
  /** Whether the last call for the operator rows succeeded. */
  bool mFollowSucceeded = false;
  /** Whether that call failed. Both are false until the first call ends;
   *  SetFollowing() resets them. */
  bool mFollowFailed = false;
  /** Whether a call to read or follow the operator rows is in progress. */
  bool mFetchingOperatorRows = false;
  /** The newest known versions of the rows of the nodes' table, by key. */
  std::map<std::string, gateway::StoreVersion> mRowVersions;
  bool mWritingRecord = false;
  /** Whether the nodes' table was read after the first write of the record, or
   *  contained this node's row already. */
  bool mReadSinceWrite = false;
  bool mRecordChanged = false;
  /** The record in this node's row, if it is known. */
  std::optional<gateway::NodeRecord> mStoredRecord;
  /** Whether the version of this node's row, or its absence, is known. It is
   *  the condition under which the record is written. */
  bool mRowVersionKnown = false;
  /** Whether the first write of the record is due or was tried. */
  bool mFirstWriteTried = false;
  /** Whether the next write of the record must not wait for further changes. */
  bool mWriteAtOnce = false;
  /** What this node keeps of crashes, and the value of its row; empty if there
   *  is none. */
  std::string mQuarantine;
  std::string mStoredQuarantine;
  bool mQuarantineScheduled = false;
  Millis mQuarantineWrittenAt;
  /** Consecutive calls that the store did not answer. */
  int mFailures = 0;
  /** The last received time of the store's clock, and when it was received. */
  Millis mLastStoreClock;
  Millis mLastStoreClockAt;
};

} // namespace papayaway::sidecar
