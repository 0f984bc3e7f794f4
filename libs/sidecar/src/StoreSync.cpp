#include <sidecar/StoreSync.h>

#include <algorithm>
#include <utility>

#include <sidecar/PeerMessages.h>

namespace papayaway::sidecar {

using gateway::NodeRecord;
using gateway::RolloutProgress;

namespace {

/** The nodes' table in the store: it has a row for each node, for the progress
 *  of each rollout, and for each node whose target has crashed recently. */
constexpr const char* kNodesTable = "papayaway";
constexpr std::string_view kNodePrefix = "node/";
constexpr std::string_view kRolloutPrefix = "rollout/";
constexpr std::string_view kQuarantinePrefix = "quarantine/";

/** Nodes that do not follow the operator rows read the nodes' table this many
 *  times less often. */
constexpr double kNonFollowerPeriodFactor = 3;

const char*
OutcomeLabel(const tl::expected<RowList, StoreError>& aResult)
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
  , mOperatorRowsTimer(aLoop, [this] { FetchOperatorRows(); })
  , mNodesTimer(aLoop, [this] { ReadNodes(); })
  , mRecordTimer(aLoop, [this] { WriteRecord(); })
  , mQuarantineTimer(aLoop, [this] { WriteQuarantine(); })
{
}

StoreSync::~StoreSync() = default;

void
StoreSync::Start(bool aFirstStart)
{
  // Delayed so that the first write includes the target's first check-in.
  mRecordChanged = true;
  mRecordTimer.StartOnce(mOptions.mFirstWriteDelay);
  mRowVersionKnown = aFirstStart;
  if (!aFirstStart) {
    ReadNodes();
  }
  // At the first start of the system the table is empty. It is read after the
  // write of the record: of two nodes that start at the same time, at least one
  // then finds the other's record.
}

void
StoreSync::ReadOperatorRowsOnce()
{
  if (!mFetchingOperatorRows && mOperatorRows.empty()) {
    mFetchingOperatorRows = true;
    ReadOperatorRows();
  }
}

gateway::FollowState
StoreSync::FollowingState() const
{
  if (!mFollowing) {
    return gateway::FollowState::Idle;
  }
  if (mFollowFailed) {
    return gateway::FollowState::Failing;
  }
  return mOperatorRowsRead && mFollowSucceeded ? gateway::FollowState::Working
                                               : gateway::FollowState::Idle;
}

void
StoreSync::SetFollowing(bool aFollowing)
{
  if (mFollowing == aFollowing) {
    return;
  }
  mFollowing = aFollowing;
  // The first call returns at once, so that the other nodes soon know whether
  // this one reaches the store.
  mConfirmedAt.reset();
  mFollowSucceeded = false;
  mFollowFailed = false;
  mLog.WriteStateChange("store", "following", { { "follows", aFollowing } });
  FetchOperatorRows();
}

void
StoreSync::FetchOperatorRows()
{
  if (!mFollowing || mFetchingOperatorRows) {
    return;
  }
  mFetchingOperatorRows = true;
  if (mOperatorRowsRead) {
    FollowOperatorRows();
  } else {
    ReadOperatorRows();
  }
}

Millis
StoreSync::StoreClock() const
{
  return mLastStoreClock.mCount == 0
           ? Millis{}
           : mLastStoreClock + (SteadyNow() - mLastStoreClockAt);
}

Millis
StoreSync::RetryDelay(Millis aMaxDelay)
{
  const Millis delay = std::min(
    aMaxDelay, mOptions.mMinRetryDelay * (1 << std::min(mFailures, 4)));
  return delay * (0.5 + 0.5 * UniformFraction(mRandom));
}

void
StoreSync::OnStoreResult(const char* aCall, const Result& aResult)
{
  mMetrics.OnStoreCall(aCall, OutcomeLabel(aResult));
  if (aResult && aResult->mStoreClock.mCount > 0) {
    mLastStoreClock = aResult->mStoreClock;
    mLastStoreClockAt = SteadyNow();
  }
  const bool answered = aResult ||
                        aResult.error().mFailure == StoreFailure::Conflict ||
                        aResult.error().mFailure == StoreFailure::HistoryGone;
  mFailures = answered ? 0 : mFailures + 1;
  if (answered != mStoreAvailable) {
    mStoreAvailable = answered;
    mLog.WriteStateChange(
      "store",
      answered ? "store_answers" : "store_does_not_answer",
      { { "call", aCall },
        { "reason", aResult ? "" : aResult.error().mMessage } });
  }
}

bool
StoreSync::MergeOperatorRow(const Row& aRow)
{
  Row& newest = mOperatorRows[aRow.mKey];
  if (aRow.mVersion <= newest.mVersion) {
    return false;
  }
  const Row old = std::exchange(newest, aRow);
  mHandlers.mOperatorRowChanged(old, aRow);
  return true;
}

void
StoreSync::MergeOperatorRows(const RowList& aList, bool aWholeTable)
{
  mOperatorRowsVersion = std::max(mOperatorRowsVersion, aList.mVersion);
  mHandlers.mOperatorRowsRead(aList, aWholeTable);
  for (const Row& row : aList.mRows) {
    // Evacuations are exchanged as a set and not row by row.
    if (!row.mKey.starts_with(mNames.mEvacuationPrefix)) {
      MergeOperatorRow(row);
    }
  }
}

void
StoreSync::OnConfirmed(Millis aAt)
{
  mConfirmedAt = std::max(mConfirmedAt.value_or(aAt), aAt);
  mHandlers.mOperatorRowsMerged(aAt);
}

void
StoreSync::ReadOperatorRows()
{
  const Millis sentAt = BootNow();
  mStore.Read(mNames.mOperatorTable, [this, sentAt](Result aResult) {
    OnStoreResult("read_orders", aResult);
    mFetchingOperatorRows = false;
    mFollowSucceeded = aResult.has_value();
    mFollowFailed = !mFollowSucceeded;
    if (!aResult) {
      mOperatorRowsTimer.StartOnce(RetryDelay(mOptions.mMaxRetryDelay));
      return;
    }
    mOperatorRowsRead = true;
    MergeOperatorRows(*aResult, true);
    OnConfirmed(sentAt);
    FetchOperatorRows();
  });
}

void
StoreSync::FollowOperatorRows()
{
  const Millis sentAt = BootNow();
  // Confirmations come at regular times, also after changes.
  const Millis wait =
    mConfirmedAt ? std::clamp(*mConfirmedAt + mOptions.mFollowWait - sentAt,
                              Millis{},
                              mOptions.mFollowWait)
                 : Millis{};
  mStore.Follow(
    mNames.mOperatorTable,
    mOperatorRowsVersion,
    wait,
    [this, sentAt, wait](Result aResult) {
      OnStoreResult("follow_orders", aResult);
      mFetchingOperatorRows = false;
      if (!aResult) {
        // The missed changes are no longer available: read the whole
        // table.
        if (aResult.error().mFailure == StoreFailure::HistoryGone) {
          mOperatorRowsRead = false;
          FetchOperatorRows();
        } else {
          mFollowSucceeded = false;
          mFollowFailed = true;
          mOperatorRowsTimer.StartOnce(RetryDelay(mOptions.mMaxRetryDelay));
        }
        return;
      }
      mFollowSucceeded = true;
      mFollowFailed = false;
      MergeOperatorRows(*aResult, false);
      // The answer may have been delayed on its way, so the time of its arrival
      // confirms nothing. The store sends an empty one after the wait.
      OnConfirmed(aResult->mRows.empty() ? std::min(sentAt + wait, BootNow())
                                         : sentAt);
      mOperatorRowsTimer.StartOnce(aResult->mRows.empty()
                                     ? Millis{ 1 }
                                     : mOptions.mOperatorRowsBatchDelay);
    });
}

void
StoreSync::MergeNodes(const RowList& aList)
{
  for (const Row& row : aList.mRows) {
    std::uint64_t& newest = mRowVersions[row.mKey];
    if (row.mVersion < newest) {
      continue;
    }
    const bool changed = row.mVersion != newest;
    newest = row.mVersion;
    const std::string_view key = row.mKey;
    if (key.starts_with(kNodePrefix)) {
      const Expected<NodeRecord> record = DecodeRecord(row.mValue);
      if (!record || key.substr(kNodePrefix.size()) != record->mNode) {
        mMetrics.mBadInput.Increment();
        mLog.WriteStateChange("store",
                              "bad_row",
                              { { "key", row.mKey },
                                { "reason",
                                  record ? "the record is of another node"
                                         : record.error().mMessage } });
      } else if (record->mNode == mOptions.mNode) {
        mStoredRecord = *record;
        mHandlers.mOwnRecordRead(*record);
      } else {
        mHandlers.mRecordRead(*record);
      }
    } else if (key.starts_with(kQuarantinePrefix)) {
      if (changed) {
        OnQuarantineRow(row);
      }
    } else if (key.starts_with(kRolloutPrefix)) {
      const Expected<RolloutProgress> progress = DecodeProgress(row.mValue);
      if (progress) {
        mHandlers.mProgressStored(*progress);
      } else {
        mMetrics.mBadInput.Increment();
        mLog.WriteStateChange(
          "store",
          "bad_row",
          { { "key", row.mKey }, { "reason", progress.error().mMessage } });
      }
    }
  }
}

void
StoreSync::OnQuarantineRow(const Row& aRow)
{
  const std::string node = aRow.mKey.substr(kQuarantinePrefix.size());
  if (node == mOptions.mNode) {
    mStoredQuarantine = aRow.mValue;
  }
  const Expected<QuarantineMessage> kept = DecodeQuarantine(aRow.mValue);
  if (kept) {
    mHandlers.mQuarantineRead(node, *kept);
    return;
  }
  mMetrics.mBadInput.Increment();
  mLog.WriteStateChange(
    "store",
    "bad_row",
    { { "key", aRow.mKey }, { "reason", kept.error().mMessage } });
}

void
StoreSync::PublishQuarantine(std::string aText)
{
  mQuarantine = std::move(aText);
  if (mQuarantine != mStoredQuarantine && !mQuarantineScheduled) {
    mQuarantineScheduled = true;
    mQuarantineTimer.StartOnce(std::max(
      mOptions.mQuarantineDelay,
      mQuarantineWrittenAt + mOptions.mQuarantineInterval - SteadyNow()));
  }
}

void
StoreSync::WriteQuarantine()
{
  if (!mRowVersionKnown) {
    // An earlier process may have kept something.
    mQuarantineTimer.StartOnce(mOptions.mUrgentRetryDelay);
    return;
  }
  mQuarantineWrittenAt = SteadyNow();
  const std::string key = std::string(kQuarantinePrefix) + mOptions.mNode;
  const Row row{ .mTable = kNodesTable, .mKey = key, .mValue = mQuarantine };
  StoreChange change;
  change.mConditions.push_back(
    { .mTable = kNodesTable, .mKey = key, .mVersion = mRowVersions[key] });
  (mQuarantine.empty() ? change.mDeletes : change.mWrites).push_back(row);
  mStore.Commit(change, [this, key, text = mQuarantine](Result aResult) {
    OnStoreResult("write_quarantine", aResult);
    mQuarantineScheduled = false;
    if (aResult) {
      mStoredQuarantine = text;
      mRowVersions[key] =
        text.empty() ? 0 : std::max(mRowVersions[key], aResult->mVersion);
      PublishQuarantine(mQuarantine);
      return;
    }
    mQuarantineScheduled = true;
    if (aResult.error().mFailure == StoreFailure::Conflict ||
        aResult.error().mFailure == StoreFailure::OutcomeUnknown) {
      mNodesTimer.StartOnce(RetryDelay(mOptions.mMaxRetryDelay));
    }
    mQuarantineTimer.StartOnce(mOptions.mUrgentRetryDelay *
                               (1 + UniformFraction(mRandom)));
  });
}

void
StoreSync::ReadNodes()
{
  mStore.Read(kNodesTable, [this](Result aResult) {
    OnStoreResult("read_nodes", aResult);
    if (!aResult) {
      mNodesTimer.StartOnce(RetryDelay(mOptions.mMaxRetryDelay));
      return;
    }
    mNodesRead = true;
    mRowVersionKnown = true;
    const std::string ownKey = std::string(kNodePrefix) + mOptions.mNode;
    const auto contains = [&](const std::string& aKey) {
      return std::any_of(aResult->mRows.begin(),
                         aResult->mRows.end(),
                         [&](const Row& aRow) { return aRow.mKey == aKey; });
    };
    const bool present = contains(ownKey);
    const std::string quarantineKey =
      std::string(kQuarantinePrefix) + mOptions.mNode;
    if (!contains(quarantineKey)) {
      mRowVersions[quarantineKey] = 0;
      mStoredQuarantine.clear();
    }
    if (!present && mRowVersions[ownKey] != 0) {
      // An operator removed the row.
      mRowVersions[ownKey] = 0;
      mStoredRecord.reset();
      mRecordChanged = true;
    }
    if (present) {
      // Nodes that have read this row can already reach this node, so no read
      // after the first write is needed.
      mReadSinceWrite = true;
    }
    MergeNodes(*aResult);
    mHandlers.mNodesRead();
    if (mRecordChanged && mFirstWriteTried) {
      WriteRecord();
    }
    mNodesTimer.StartOnce(mOptions.mNodesReadPeriod *
                          ((mFollowing ? 1.0 : kNonFollowerPeriodFactor) *
                           (0.75 + 0.5 * UniformFraction(mRandom))));
  });
}

void
StoreSync::PublishRecord(bool aAtOnce)
{
  const bool alreadyPending = mRecordChanged;
  mRecordChanged = true;
  mWriteAtOnce = mWriteAtOnce || aAtOnce;
  if (mWriteAtOnce || !mFirstWriteTried) {
    WriteRecord();
  } else if (!alreadyPending) {
    mRecordTimer.StartOnce(mOptions.mRecordBatchDelay);
  }
}

void
StoreSync::OnStoreRecovered()
{
  if (mRecordChanged && mFailures > 0) {
    mRecordTimer.StartOnce(mOptions.mRecoveryJitter * UniformFraction(mRandom));
  }
}

void
StoreSync::WriteRecord()
{
  mFirstWriteTried = true;
  if (mWritingRecord || !mRecordChanged || !mRowVersionKnown) {
    return;
  }
  mRecordChanged = false;
  const NodeRecord record = mHandlers.mOwnRecord();
  if (mStoredRecord && mStoredRecord->HasSameContent(record)) {
    // Nothing to write, for instance because this process has restarted and
    // the target has not changed.
    mHandlers.mRecordStored(record.mSequence);
    return;
  }
  mWritingRecord = true;
  const bool urgent = std::exchange(mWriteAtOnce, false);
  const std::string key = std::string(kNodePrefix) + mOptions.mNode;
  StoreChange change;
  change.mConditions.push_back(
    { .mTable = kNodesTable, .mKey = key, .mVersion = mRowVersions[key] });
  change.mWrites.push_back(
    { .mTable = kNodesTable, .mKey = key, .mValue = EncodeRecord(record) });
  mStore.Commit(change, [this, key, record, urgent](Result aResult) {
    OnStoreResult("write_record", aResult);
    mWritingRecord = false;
    mStoredRecord.reset();
    if (aResult) {
      mStoredRecord = record;
      mRowVersions[key] = std::max(mRowVersions[key], aResult->mVersion);
      mHandlers.mRecordStored(record.mSequence);
      if (!mReadSinceWrite) {
        mReadSinceWrite = true;
        ReadNodes();
      }
      if (mRecordChanged && mWriteAtOnce) {
        WriteRecord();
      } else if (mRecordChanged) {
        mRecordTimer.StartOnce(mOptions.mRecordBatchDelay);
      }
      return;
    }
    mRecordChanged = true;
    mWriteAtOnce = mWriteAtOnce || urgent;
    mHandlers.mRecordNotStored();
    if (aResult.error().mFailure == StoreFailure::Conflict ||
        aResult.error().mFailure == StoreFailure::OutcomeUnknown) {
      mNodesTimer.StartOnce(RetryDelay(mOptions.mMaxRetryDelay));
    } else {
      mRecordTimer.StartOnce(
        (urgent ? mOptions.mUrgentRetryDelay : mOptions.mRecordRetryDelay) *
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
    { .mTable = kNodesTable, .mKey = key, .mVersion = mRowVersions[key] });
  change.mWrites.push_back({ .mTable = kNodesTable,
                             .mKey = key,
                             .mValue = EncodeProgress(aProgress) });
  change.mWrites.push_back({ .mTable = mNames.mResultsTable,
                             .mKey = mNames.mRolloutPrefix + aProgress.mService,
                             .mValue = aStatus });
  mStore.Commit(change, [this, key, aProgress](Result aResult) {
    OnStoreResult("write_rollout", aResult);
    if (!aResult) {
      // Another node may have written, or this write may have succeeded: read
      // the table to find out.
      mNodesTimer.StartOnce(Millis{ 1 });
      return;
    }
    mRowVersions[key] = std::max(mRowVersions[key], aResult->mVersion);
    mHandlers.mProgressStored(aProgress);
  });
}

} // namespace papayaway::sidecar
