#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
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
  /** Called with operator rows that were read, before each of them is merged,
   *  and whether they are the whole table, or else only changes. */
  std::function<void(const RowList&, bool aWholeTable)> mOperatorRowsRead;
  /** Called when the store has answered with all changes of the operator rows,
   *  or that there are none, after they were merged. Receives the time (of
   *  BootNow()) up to which the answer contains all changes. */
  std::function<void(Millis)> mOperatorRowsMerged;
  /** Called with the stored record of another node. */
  std::function<void(const gateway::NodeRecord&)> mRecordRead;
  /** Called with rollout progress that was read from or written to the store.
   */
  std::function<void(const gateway::RolloutProgress&)> mProgressStored;
  /** Called each time the nodes' table was read. */
  std::function<void()> mNodesRead;
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
};

/**
 * Synchronises this node with the platform's store.
 *
 * It reads the operator rows, which hold the desired state and the rollout
 * orders, and the nodes' table, which holds the records of all nodes and the
 * progress of rollouts. It writes this node's record and rollout progress.
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

  /** Called when a linked node has reported that the store answers again. */
  void OnStoreRecovered();

  /** Schedules a write of what this node keeps of crashes.
   *  @param aText the encoded value of the row; no row if empty. */
  void PublishQuarantine(std::string aText);

  /** Writes the next step of a rollout and the status for the operator, unless
   *  another node has written a step in the meantime.
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
  /** Updates metrics, the store's clock and its availability. */
  void OnStoreResult(const char* aCall, const Result& aResult);
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
  std::uint64_t mOperatorRowsVersion = 0;
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
  std::map<std::string, std::uint64_t> mRowVersions;
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
