#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include <base/Millis.h>
#include <base/Random.h>
#include <gateway/FollowerElection.h>
#include <gateway/NodeRecord.h>
#include <gateway/Rollout.h>
#include <net/EventLoop.h>
#include <sidecar/EventLog.h>
#include <sidecar/PlatformPort.h>
#include <sidecar/RowStore.h>
#include <sidecar/SidecarMetrics.h>

namespace papayaway::sidecar {

struct StoreSyncHandlers
{
  /** A row of the operator, new or changed, and the one that it replaces. */
  std::function<void(const Row& aOld, const Row& aNew)> mOrder;
  /** The record of another node. */
  std::function<void(const gateway::NodeRecord&)> mRecord;
  std::function<void(const gateway::RolloutProgress&)> mProgress;
  /** The nodes' table was read. */
  std::function<void()> mLoaded;
  /** @return the record of this node as it is now. */
  std::function<gateway::NodeRecord()> mOwnRecord;
  /** The store has a record of this node from a later lifetime. */
  std::function<void(const gateway::NodeRecord&)> mOwnSuperseded;
};

struct StoreSyncOptions
{
  std::string mNode;
  /** How long the store is asked to wait for a change. Together with the time
   *  of a call it stays below the 3 s in which a change may be late after the
   *  store was silent. */
  Millis mFollowWait{ 2200 };
  /** Changes within this time after a change are read together. */
  Millis mBatch{ 400 };
  /** The nodes' table is read again this often; changes also come from the
   *  nodes themselves. */
  Millis mRepairPeriod{ 15000 };
  /** How long the record's first write waits for the target's check-in, so
   *  that it is written once and not twice. */
  Millis mFirstWriteDelay{ 1700 };
  /** Later changes within this time are written together. Neighbours are told
   *  at once; the row is for nodes that start. */
  Millis mRecordBatch{ 4000 };
  /** Between attempts while the store does not answer, whose calls are paid
   *  too. A data centre has two followers, which try apart from each other. */
  Millis mRetryLeast{ 300 };
  Millis mRetryMost{ 1200 };
  /** Between attempts to write the record. Many nodes may have to, and
   *  OnStoreReturned() shortens it. */
  Millis mRecordRetry{ 4000 };
  /** Nodes that learn of the store's return write within this time. */
  Millis mReturnSpread{ 500 };
};

/** Keeps this node and the platform's store in step. */
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

  /** Chooses whether this node follows the operator's rows and reads the
   *  nodes' table again from time to time. A node that does not gets the news
   *  from its neighbours. */
  void SetFollowing(bool aFollowing);

  /** Reads the operator's rows once, unless they are known already. */
  void ReadOrdersOnce();

  [[nodiscard]] gateway::FollowState Follow() const;

  /** Takes in a row of the operator that another node read. */
  void TakeOrder(const Row& aRow);

  /** @return the operator's rows as far as known. */
  [[nodiscard]] const std::map<std::string, Row>& Orders() const
  {
    return mOrders;
  }

  /** The record of this node has changed and is to be written.
   *  @param aAtOnce whether it does not wait for further changes. */
  void Publish(bool aAtOnce);

  /** A neighbour's calls are answered by the store again. */
  void OnStoreReturned();

  /** Writes the next step of a rollout and the operator's status, if no other
   *  node has written one since. */
  void WriteProgress(const gateway::RolloutProgress& aProgress,
                     const std::string& aStatus);

  /** @return whether the nodes' table was read once. */
  [[nodiscard]] bool Loaded() const { return mNodesRead; }

  /** @return the store's clock as far as known, or 0. */
  [[nodiscard]] Millis StoreClock() const;

private:
  using Result = tl::expected<RowList, StoreError>;

  void AskOrders();
  void ReadOrders();
  void FollowOrders();
  void ReadNodes();
  void WriteRecord();
  void TakeOrders(const RowList& aList);
  void TakeNodes(const RowList& aList);
  void OnAnswer(const char* aCall, const Result& aResult);
  [[nodiscard]] Millis RetryPause(Millis aMost);

  StoreSyncOptions mOptions;
  RowStore& mStore;
  OperatorNames mNames;
  StoreSyncHandlers mHandlers;
  EventLog& mLog;
  SidecarMetrics& mMetrics;
  Random& mRandom;
  Timer mOrdersTimer;
  Timer mNodesTimer;
  Timer mRecordTimer;
  bool mOrdersRead = false;
  bool mNodesRead = false;
  bool mAvailable = true;
  std::uint64_t mOrdersVersion = 0;
  /** The newest operator's rows by key. */
  std::map<std::string, Row> mOrders;
  bool mFollowing = false;
  bool mFollowWorks = false;
  /** Whether the last call for the operator's rows failed. */
  bool mFollowFails = false;
  /** A call to read or follow the operator's rows is under way. */
  bool mAsking = false;
  /** The versions of rows of the nodes' table. */
  std::map<std::string, std::uint64_t> mRowVersions;
  bool mWriting = false;
  /** Whether the nodes' table was read after the first write of the record. */
  bool mReadSinceWrite = false;
  bool mRecordChanged = false;
  /** What the row of this node holds, if it is known. */
  std::optional<gateway::NodeRecord> mStoredRecord;
  /** Whether the version of the row is known, or that there is none. */
  bool mMayWrite = false;
  /** Whether the first write of the record is due or was tried. */
  bool mFirstWriteTried = false;
  /** Whether changes of the record no longer wait for others. */
  bool mWriteAtOnce = false;
  int mFailures = 0;
  Millis mClock;
  Millis mClockAt;
};

} // namespace papayaway::sidecar
