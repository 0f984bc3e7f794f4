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

/** The most records that are removed by one change. A change has at most 100
 *  entries. */
constexpr std::size_t kMaxRemovedRecords = 40;

/** Nodes that do not follow the operator rows read the nodes' table this many
 *  times less often. */
constexpr double kNonFollowerPeriodFactor = 3;

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

bool
StoreSync::MergeOperatorRow(const Row& aRow)
{
  Row& newest = mOperatorRows[aRow.mKey];
  if (!Supersedes(aRow, newest)) {
    return false;
  }
  const Row old = std::exchange(newest, aRow);
  mHandlers.mOperatorRowChanged(old, aRow);
  return true;
}

void
StoreSync::MergeOperatorRows(const RowList& aList, bool aWholeTable)
{
  // A whole table is also read when the store no longer has the version that
  // was known.
  mOperatorRowsVersion = aWholeTable
                           ? aList.mVersion
                           : std::max(mOperatorRowsVersion, aList.mVersion);
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
  const auto handle = [this, sentAt, era = mEra](Result aAnswer) {
    const Result result = CheckResult("read_orders", era, std::move(aAnswer));
    mFetchingOperatorRows = false;
    mFollowSucceeded = result.has_value();
    mFollowFailed = !mFollowSucceeded;
    if (!result) {
      mOperatorRowsTimer.StartOnce(RetryDelay(mOptions.mMaxRetryDelay));
      return;
    }
    mOperatorRowsRead = true;
    MergeOperatorRows(*result, true);
    OnConfirmed(sentAt);
    FetchOperatorRows();
  };
  mStore.Read(mNames.mOperatorTable, handle);
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
    mOperatorRowsVersion.Number(),
    wait,
    [this, sentAt, wait, era = mEra](Result aAnswer) {
      const Result result =
        CheckResult("follow_orders", era, std::move(aAnswer));
      mFetchingOperatorRows = false;
      if (!result) {
        // The missed changes are no longer available: read the whole
        // table.
        if (result.error().mFailure == StoreFailure::HistoryGone) {
          mOperatorRowsRead = false;
          if (mHistoryLosses++ == 0) {
            FetchOperatorRows();
          } else {
            mOperatorRowsTimer.StartOnce(
              std::min(mOptions.mMaxRetryDelay,
                       mOptions.mMinRetryDelay *
                         (1 << std::min(mHistoryLosses, 4))) *
              (0.5 + 0.5 * UniformFraction(mRandom)));
          }
        } else {
          mFollowSucceeded = false;
          mFollowFailed = true;
          mOperatorRowsTimer.StartOnce(RetryDelay(mOptions.mMaxRetryDelay));
        }
        return;
      }
      mFollowSucceeded = true;
      mFollowFailed = false;
      mHistoryLosses = 0;
      MergeOperatorRows(*result, false);
      // The answer may have been delayed on its way, so the time of its arrival
      // confirms nothing. The store sends an empty one after the wait.
      OnConfirmed(result->mRows.empty() ? std::min(sentAt + wait, BootNow())
                                        : sentAt);
      mOperatorRowsTimer.StartOnce(
        result->mRows.empty() ? Millis{ 1 } : mOptions.mOperatorRowsBatchDelay);
    });
}

void
StoreSync::MergeNodes(const RowList& aList)
{
  for (const Row& row : aList.mRows) {
    gateway::StoreVersion& newest = mRowVersions[row.mKey];
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
  const auto handle =
    [this, key, text = mQuarantine, era = mEra](Result aAnswer) {
      const Result result =
        CheckResult("write_quarantine", era, std::move(aAnswer));
      mQuarantineScheduled = false;
      if (result) {
        mStoredQuarantine = text;
        mRowVersions[key] = text.empty()
                              ? gateway::StoreVersion()
                              : std::max(mRowVersions[key], result->mVersion);
        PublishQuarantine(mQuarantine);
        return;
      }
      mQuarantineScheduled = true;
      if (result.error().mFailure == StoreFailure::Conflict ||
          result.error().mFailure == StoreFailure::OutcomeUnknown) {
        mNodesTimer.StartOnce(RetryDelay(mOptions.mMaxRetryDelay));
      }
      mQuarantineTimer.StartOnce(mOptions.mUrgentRetryDelay *
                                 (1 + UniformFraction(mRandom)));
    };
  mStore.Commit(change, handle);
}

void
StoreSync::ResetAbsentRows(const RowList& aList)
{
  std::set<std::string_view> present;
  for (const Row& row : aList.mRows) {
    present.insert(row.mKey);
  }
  for (auto& [key, version] : mRowVersions) {
    // A row that was written after the read is not absent.
    if (version > aList.mVersion || present.contains(key)) {
      continue;
    }
    const bool removed =
      version.Exists() && version.Era() == aList.mVersion.Era();
    version = {};
    if (removed && key.starts_with(kNodePrefix) &&
        key.substr(kNodePrefix.size()) != mOptions.mNode) {
      mHandlers.mRecordRemoved(key.substr(kNodePrefix.size()));
    }
  }
}

void
StoreSync::RemoveRecords(const std::vector<std::string>& aNodes)
{
  StoreChange change;
  for (const std::string& node : aNodes) {
    const std::string key = std::string(kNodePrefix) + node;
    const auto version = mRowVersions.find(key);
    if (version != mRowVersions.end() && version->second.Exists() &&
        change.mDeletes.size() < kMaxRemovedRecords) {
      const Row row{ .mTable = kNodesTable,
                     .mKey = key,
                     .mVersion = version->second };
      change.mConditions.push_back(row);
      change.mDeletes.push_back(row);
    }
  }
  if (change.mDeletes.empty() || !mRowVersionKnown) {
    return;
  }
  mStore.Commit(change, [this, change, era = mEra](Result aAnswer) {
    const Result result =
      CheckResult("write_removals", era, std::move(aAnswer));
    if (!result) {
      mNodesTimer.StartOnce(RetryDelay(mOptions.mMaxRetryDelay));
      return;
    }
    for (const Row& row : change.mDeletes) {
      mRowVersions[row.mKey] = {};
      mHandlers.mRecordRemoved(row.mKey.substr(kNodePrefix.size()));
    }
  });
}

void
StoreSync::ReadNodes()
{
  const auto handle = [this, era = mEra](Result aAnswer) {
    const Result result = CheckResult("read_nodes", era, std::move(aAnswer));
    if (!result) {
      mNodesTimer.StartOnce(RetryDelay(mOptions.mMaxRetryDelay));
      return;
    }
    mNodesRead = true;
    mRowVersionKnown = true;
    const std::string ownKey = std::string(kNodePrefix) + mOptions.mNode;
    const bool wasPresent = mRowVersions[ownKey].Exists();
    const std::string quarantineKey =
      std::string(kQuarantinePrefix) + mOptions.mNode;
    ResetAbsentRows(*result);
    if (!mRowVersions[quarantineKey].Exists()) {
      mStoredQuarantine.clear();
    }
    if (wasPresent && !mRowVersions[ownKey].Exists()) {
      // An operator removed the row, or a copy of the store lacks it.
      mStoredRecord.reset();
      mRecordChanged = true;
    }
    std::set<std::string> rollouts;
    bool present = false;
    for (const Row& row : result->mRows) {
      present = present || row.mKey == ownKey;
      if (row.mKey.starts_with(kRolloutPrefix)) {
        rollouts.insert(row.mKey.substr(kRolloutPrefix.size()));
      }
    }
    if (present) {
      // Nodes that have read this row can already reach this node, so no read
      // after the first write is needed.
      mReadSinceWrite = true;
    }
    MergeNodes(*result);
    mHandlers.mNodesRead(rollouts);
    if (mRecordChanged && mFirstWriteTried) {
      WriteRecord();
    }
    if (std::exchange(mRestoresRows, false)) {
      // Without the usual interval: all processes may be killed soon.
      mQuarantineWrittenAt = {};
      mQuarantineScheduled = false;
      PublishQuarantine(mQuarantine);
    }
    mNodesTimer.StartOnce(mOptions.mNodesReadPeriod *
                          ((mFollowing ? 1.0 : kNonFollowerPeriodFactor) *
                           (0.75 + 0.5 * UniformFraction(mRandom))));
  };
  mStore.Read(kNodesTable, handle);
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
  const auto handle = [this, key, record, urgent, era = mEra](Result aAnswer) {
    const Result result = CheckResult("write_record", era, std::move(aAnswer));
    mWritingRecord = false;
    mStoredRecord.reset();
    if (result) {
      mStoredRecord = record;
      mRowVersions[key] = std::max(mRowVersions[key], result->mVersion);
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
    if (result.error().mFailure == StoreFailure::Conflict ||
        result.error().mFailure == StoreFailure::OutcomeUnknown) {
      mNodesTimer.StartOnce(RetryDelay(mOptions.mMaxRetryDelay));
    } else {
      mRecordTimer.StartOnce(
        (urgent ? mOptions.mUrgentRetryDelay : mOptions.mRecordRetryDelay) *
        (0.5 + 0.5 * UniformFraction(mRandom)));
    }
  };
  mStore.Commit(change, handle);
}

void
StoreSync::WriteProgress(const RolloutProgress& aProgress,
                         const std::string& aStatus)
{
  if (!mRowVersionKnown) {
    return;
  }
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
  const auto handle = [this, key, aProgress, era = mEra](Result aAnswer) {
    const Result result = CheckResult("write_rollout", era, std::move(aAnswer));
    if (!result) {
      // Another node may have written, or this write may have succeeded: read
      // the table to find out.
      mNodesTimer.StartOnce(Millis{ 1 });
      return;
    }
    mRowVersions[key] = std::max(mRowVersions[key], result->mVersion);
    mHandlers.mProgressStored(aProgress);
  };
  mStore.Commit(change, handle);
}

} // namespace papayaway::sidecar
