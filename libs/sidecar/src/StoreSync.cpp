#include <sidecar/StoreSync.h>

#include <algorithm>
#include <utility>

#include <sidecar/PeerMessages.h>

namespace papayaway::sidecar {

using gateway::NodeRecord;
using gateway::RolloutProgress;

namespace {

/** The system's own table: a row for each node and each rollout. */
constexpr const char* kTable = "papayaway";
constexpr std::string_view kNodePrefix = "node/";
constexpr std::string_view kRolloutPrefix = "rollout/";

/** Nodes that do not follow the store read the nodes' table this many times
 *  more rarely. */
constexpr double kRareRepair = 3;

const char*
OutcomeOf(const tl::expected<RowList, StoreError>& aResult)
{
  if (aResult) {
    return "ok";
  }
  switch (aResult.error().mFailure) {
    case StoreFailure::Conflict:
      return "conflict";
    case StoreFailure::HistoryGone:
      return "history_gone";
    case StoreFailure::OutcomeUnknown:
      return "unknown";
    case StoreFailure::Unavailable:
      break;
  }
  return "unavailable";
}

} // namespace

StoreSync::StoreSync(EventLoop& aLoop,
                     StoreSyncOptions aOptions,
                     RowStore& aStore,
                     const OperatorNames& aNames,
                     StoreSyncHandlers aHandlers,
                     EventLog& aLog,
                     SidecarMetrics& aMetrics,
                     Random& aRandom)
  : mOptions(std::move(aOptions))
  , mStore(aStore)
  , mNames(aNames)
  , mHandlers(std::move(aHandlers))
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mRandom(aRandom)
  , mOrdersTimer(aLoop, [this] { AskOrders(); })
  , mNodesTimer(aLoop, [this] { ReadNodes(); })
  , mRecordTimer(aLoop, [this] { WriteRecord(); })
{
}

StoreSync::~StoreSync() = default;

void
StoreSync::Start(bool aFirstStart)
{
  // The record is written with the target's first check-in.
  mRecordChanged = true;
  mRecordTimer.StartOnce(mOptions.mFirstWriteDelay);
  mMayWrite = aFirstStart;
  if (!aFirstStart) {
    ReadNodes();
  }
  // At the first start nothing is in the table yet. It is read after the
  // write: of two nodes that start at the same time, at least one then sees
  // the other.
}

void
StoreSync::ReadOrdersOnce()
{
  if (!mAsking && mOrders.empty()) {
    mAsking = true;
    ReadOrders();
  }
}

gateway::FollowState
StoreSync::Follow() const
{
  if (!mFollowing) {
    return gateway::FollowState::Idle;
  }
  if (mFollowFails) {
    return gateway::FollowState::Failing;
  }
  return mOrdersRead && mFollowWorks ? gateway::FollowState::Working
                                     : gateway::FollowState::Idle;
}

void
StoreSync::SetFollowing(bool aFollowing)
{
  if (mFollowing == aFollowing) {
    return;
  }
  mFollowing = aFollowing;
  mFollowWorks = false;
  mFollowFails = false;
  mLog.Change("store", "following", { { "follows", aFollowing } });
  AskOrders();
}

void
StoreSync::AskOrders()
{
  if (!mFollowing || mAsking) {
    return;
  }
  mAsking = true;
  if (mOrdersRead) {
    FollowOrders();
  } else {
    ReadOrders();
  }
}

Millis
StoreSync::StoreClock() const
{
  return mClock.mCount == 0 ? Millis{} : mClock + (SteadyNow() - mClockAt);
}

Millis
StoreSync::RetryPause(Millis aMost)
{
  const Millis pause =
    std::min(aMost, mOptions.mRetryLeast * (1 << std::min(mFailures, 4)));
  return pause * (0.5 + 0.5 * UniformFraction(mRandom));
}

void
StoreSync::OnAnswer(const char* aCall, const Result& aResult)
{
  mMetrics.OnStoreCall(aCall, OutcomeOf(aResult));
  if (aResult && aResult->mStoreClock.mCount > 0) {
    mClock = aResult->mStoreClock;
    mClockAt = SteadyNow();
  }
  const bool answers = aResult ||
                       aResult.error().mFailure == StoreFailure::Conflict ||
                       aResult.error().mFailure == StoreFailure::HistoryGone;
  mFailures = answers ? 0 : mFailures + 1;
  if (answers != mAvailable) {
    mAvailable = answers;
    mLog.Change("store",
                answers ? "store_answers" : "store_does_not_answer",
                { { "call", aCall },
                  { "reason", aResult ? "" : aResult.error().mMessage } });
  }
}

void
StoreSync::TakeOrder(const Row& aRow)
{
  Row& newest = mOrders[aRow.mKey];
  if (aRow.mVersion > newest.mVersion) {
    const Row old = std::exchange(newest, aRow);
    mHandlers.mOrder(old, aRow);
  }
}

void
StoreSync::TakeOrders(const RowList& aList)
{
  mOrdersVersion = std::max(mOrdersVersion, aList.mVersion);
  for (const Row& row : aList.mRows) {
    TakeOrder(row);
  }
}

void
StoreSync::ReadOrders()
{
  mStore.Read(mNames.mOrders, [this](Result aResult) {
    OnAnswer("read_orders", aResult);
    mAsking = false;
    mFollowWorks = aResult.has_value();
    mFollowFails = !mFollowWorks;
    if (!aResult) {
      mOrdersTimer.StartOnce(RetryPause(mOptions.mRetryMost));
      return;
    }
    mOrdersRead = true;
    TakeOrders(*aResult);
    AskOrders();
  });
}

void
StoreSync::FollowOrders()
{
  mStore.Follow(mNames.mOrders,
                mOrdersVersion,
                mOptions.mFollowWait,
                [this](Result aResult) {
                  OnAnswer("follow_orders", aResult);
                  mAsking = false;
                  if (!aResult) {
                    // What was missed is read whole.
                    if (aResult.error().mFailure == StoreFailure::HistoryGone) {
                      mOrdersRead = false;
                      AskOrders();
                    } else {
                      mFollowWorks = false;
                      mFollowFails = true;
                      mOrdersTimer.StartOnce(RetryPause(mOptions.mRetryMost));
                    }
                    return;
                  }
                  mFollowWorks = true;
                  mFollowFails = false;
                  TakeOrders(*aResult);
                  mOrdersTimer.StartOnce(
                    aResult->mRows.empty() ? Millis{ 1 } : mOptions.mBatch);
                });
}

void
StoreSync::TakeNodes(const RowList& aList)
{
  for (const Row& row : aList.mRows) {
    std::uint64_t& newest = mRowVersions[row.mKey];
    if (row.mVersion < newest) {
      continue;
    }
    newest = row.mVersion;
    const std::string_view key = row.mKey;
    if (key.starts_with(kNodePrefix)) {
      const Expected<NodeRecord> record = DecodeRecord(row.mValue);
      if (!record) {
        mMetrics.mBadInput.Increment();
        mLog.Change(
          "store",
          "bad_row",
          { { "key", row.mKey }, { "reason", record.error().mMessage } });
      } else if (record->mNode == mOptions.mNode) {
        mStoredRecord = *record;
        mHandlers.mOwnSuperseded(*record);
      } else {
        mHandlers.mRecord(*record);
      }
    } else if (key.starts_with(kRolloutPrefix)) {
      const Expected<RolloutProgress> progress = DecodeProgress(row.mValue);
      if (progress) {
        mHandlers.mProgress(*progress);
      } else {
        mMetrics.mBadInput.Increment();
        mLog.Change(
          "store",
          "bad_row",
          { { "key", row.mKey }, { "reason", progress.error().mMessage } });
      }
    }
  }
}

void
StoreSync::ReadNodes()
{
  mStore.Read(kTable, [this](Result aResult) {
    OnAnswer("read_nodes", aResult);
    if (!aResult) {
      mNodesTimer.StartOnce(RetryPause(mOptions.mRetryMost));
      return;
    }
    mNodesRead = true;
    mMayWrite = true;
    const std::string own = std::string(kNodePrefix) + mOptions.mNode;
    const bool present =
      std::any_of(aResult->mRows.begin(),
                  aResult->mRows.end(),
                  [&](const Row& aRow) { return aRow.mKey == own; });
    if (!present && mRowVersions[own] != 0) {
      // An operator removed the row.
      mRowVersions[own] = 0;
      mStoredRecord.reset();
      mRecordChanged = true;
    }
    if (present) {
      // The nodes that know the row find this node by it.
      mReadSinceWrite = true;
    }
    TakeNodes(*aResult);
    mHandlers.mLoaded();
    if (mRecordChanged && mFirstWriteTried) {
      WriteRecord();
    }
    mNodesTimer.StartOnce(mOptions.mRepairPeriod *
                          ((mFollowing ? 1.0 : kRareRepair) *
                           (0.75 + 0.5 * UniformFraction(mRandom))));
  });
}

void
StoreSync::Publish(bool aAtOnce)
{
  const bool waits = mRecordChanged;
  mRecordChanged = true;
  mWriteAtOnce = mWriteAtOnce || aAtOnce;
  if (mWriteAtOnce || !mFirstWriteTried) {
    WriteRecord();
  } else if (!waits) {
    mRecordTimer.StartOnce(mOptions.mRecordBatch);
  }
}

void
StoreSync::OnStoreReturned()
{
  if (mRecordChanged && mFailures > 0) {
    mRecordTimer.StartOnce(mOptions.mReturnSpread * UniformFraction(mRandom));
  }
}

void
StoreSync::WriteRecord()
{
  mFirstWriteTried = true;
  if (mWriting || !mRecordChanged || !mMayWrite) {
    return;
  }
  mRecordChanged = false;
  const NodeRecord record = mHandlers.mOwnRecord();
  if (mStoredRecord && mStoredRecord->SaysTheSame(record)) {
    // A process that starts again beside the same target.
    return;
  }
  mWriting = true;
  mWriteAtOnce = false;
  const std::string key = std::string(kNodePrefix) + mOptions.mNode;
  StoreChange change;
  change.mConditions.push_back(
    { .mTable = kTable, .mKey = key, .mVersion = mRowVersions[key] });
  change.mWrites.push_back(
    { .mTable = kTable, .mKey = key, .mValue = EncodeRecord(record) });
  mStore.Commit(change, [this, key, record](Result aResult) {
    OnAnswer("write_record", aResult);
    mWriting = false;
    mStoredRecord.reset();
    if (aResult) {
      mStoredRecord = record;
      mRowVersions[key] = std::max(mRowVersions[key], aResult->mVersion);
      if (!mReadSinceWrite) {
        mReadSinceWrite = true;
        ReadNodes();
      }
      if (mRecordChanged && mWriteAtOnce) {
        WriteRecord();
      } else if (mRecordChanged) {
        mRecordTimer.StartOnce(mOptions.mRecordBatch);
      }
      return;
    }
    mRecordChanged = true;
    if (aResult.error().mFailure == StoreFailure::Conflict ||
        aResult.error().mFailure == StoreFailure::OutcomeUnknown) {
      mNodesTimer.StartOnce(RetryPause(mOptions.mRetryMost));
    } else {
      mRecordTimer.StartOnce(mOptions.mRecordRetry *
                             (0.5 + 0.5 * UniformFraction(mRandom)));
    }
  });
}

void
StoreSync::WriteProgress(const RolloutProgress& aProgress,
                         const std::string& aStatus)
{
  const std::string key = std::string(kRolloutPrefix) + aProgress.mService;
  StoreChange change;
  change.mConditions.push_back(
    { .mTable = kTable, .mKey = key, .mVersion = mRowVersions[key] });
  change.mWrites.push_back(
    { .mTable = kTable, .mKey = key, .mValue = EncodeProgress(aProgress) });
  change.mWrites.push_back({ .mTable = mNames.mResults,
                             .mKey = mNames.mRolloutPrefix + aProgress.mService,
                             .mValue = aStatus });
  mStore.Commit(change, [this, key, aProgress](Result aResult) {
    OnAnswer("write_rollout", aResult);
    if (!aResult) {
      // Another node may have written, or this write may have been made.
      mNodesTimer.StartOnce(Millis{ 1 });
      return;
    }
    mRowVersions[key] = std::max(mRowVersions[key], aResult->mVersion);
    mHandlers.mProgress(aProgress);
  });
}

} // namespace papayaway::sidecar
