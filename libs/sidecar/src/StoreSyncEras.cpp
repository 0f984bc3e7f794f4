// StoreSync: what holds after the store came back from a copy.

#include <sidecar/StoreSync.h>

#include <algorithm>
#include <string_view>

namespace papayaway::sidecar {

namespace {

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

StoreSync::Result
StoreSync::CheckResult(const char* aCall,
                       std::optional<std::uint64_t> aSentInEra,
                       Result aResult)
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
  const std::optional<std::uint64_t> era =
    aResult ? std::optional(aResult->mVersion.Era()) : aResult.error().mEra;
  if (!era) {
    return aResult;
  }
  if (!mEra) {
    mEra = era;
    mMetrics.mStoreEra.Set(static_cast<double>(*era));
  } else if (*era > *mEra) {
    OnNewEra(*era);
  }
  // The names of calls begin with what they do.
  const std::string_view call = aCall;
  const bool isChange = call.starts_with("write_");
  if (*era < *mEra) {
    mLog.WriteStateChange(
      "store",
      "answer_of_earlier_era",
      { { "call", aCall }, { "era", *era }, { "newest", *mEra } });
    return tl::unexpected(
      StoreError{ .mFailure = isChange ? StoreFailure::OutcomeUnknown
                                       : StoreFailure::Unavailable,
                  .mMessage = "the answer is of an earlier era" });
  }
  if (aSentInEra && *aSentInEra != *mEra && aResult &&
      (isChange || call.starts_with("follow_"))) {
    return tl::unexpected(
      StoreError{ .mFailure = isChange ? StoreFailure::OutcomeUnknown
                                       : StoreFailure::HistoryGone,
                  .mMessage = "the store came back from a copy meanwhile" });
  }
  return aResult;
}

void
StoreSync::OnNewEra(std::uint64_t aEra)
{
  mLog.WriteStateChange(
    "store",
    "store_came_back_from_copy",
    { { "era", aEra },
      { "before", *mEra },
      { "operator_rows_version", mOperatorRowsVersion.ToString() } });
  mEra = aEra;
  mMetrics.mStoreEra.Set(static_cast<double>(aEra));
  mOperatorRowsRead = false;
  mOperatorRowsVersion = {};
  mRowVersionKnown = false;
  mStoredRecord.reset();
  mRecordChanged = true;
  mRestoresRows = true;
  mNodesTimer.StartOnce(Millis{ 1 });
  mHandlers.mCameBackFromCopy();
}

void
StoreSync::OnEraReported(std::uint64_t aEra, std::size_t aNodes)
{
  if (aEra <= std::max(Era(), mReportedEra) || !mNodesRead) {
    return;
  }
  mReportedEra = aEra;
  const Millis period = mOptions.mEraJitter + mOptions.mEraJitterPerNode *
                                                static_cast<double>(aNodes);
  mNodesTimer.StartOnce(period * UniformFraction(mRandom));
}

bool
StoreSync::Supersedes(const Row& aRow, const Row& aKnown) const
{
  if (aKnown.mVersion.Exists() &&
      aRow.mVersion.Era() != aKnown.mVersion.Era()) {
    // A copy may bring back an old row, which the operator replaces again.
    const std::weak_ordering order = mHandlers.mCompareValues(aRow, aKnown);
    if (order != std::weak_ordering::equivalent) {
      return order == std::weak_ordering::greater;
    }
  }
  return aRow.mVersion > aKnown.mVersion;
}

} // namespace papayaway::sidecar
