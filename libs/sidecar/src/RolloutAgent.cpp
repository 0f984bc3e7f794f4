#include <sidecar/RolloutAgent.h>

#include <utility>

namespace papayaway::sidecar {

using gateway::RolloutOrder;
using gateway::RolloutProgress;
using gateway::RolloutState;

namespace {

/** Each node further down waits this much longer with a step, so that usually
 *  one node writes. */
constexpr Millis kRankDelay{ 350 };
/** A write that brought no news is tried again after this. */
constexpr Millis kRewrite{ 1200 };

} // namespace

bool
RolloutAgent::Undecided(const Rollout& aRollout) const
{
  return aRollout.mOrder &&
         (!aRollout.mProgress ||
          aRollout.mProgress->mOrderedAt < aRollout.mOrder->mOrderedAt ||
          aRollout.mProgress->mState == RolloutState::Running);
}

void
RolloutAgent::OnOrder(const RolloutOrder& aOrder)
{
  Rollout& rollout = mRollouts[aOrder.mService];
  if (rollout.mOrder && rollout.mOrder->mOrderedAt >= aOrder.mOrderedAt) {
    return;
  }
  rollout.mOrder = aOrder;
  rollout.mWanted = false;
  mParts.mLog.Change("rollout",
                     "rollout_ordered",
                     { { "service", aOrder.mService },
                       { "version", aOrder.mVersion },
                       { "period_ms", aOrder.mPeriod.Whole() },
                       { "row_version", aOrder.mOrderedAt } });
}

void
RolloutAgent::OnProgress(const RolloutProgress& aProgress)
{
  Rollout& rollout = mRollouts[aProgress.mService];
  if (rollout.mProgress && !aProgress.Supersedes(*rollout.mProgress)) {
    return;
  }
  rollout.mProgress = aProgress;
  rollout.mWanted = false;
  if (aProgress.mState == RolloutState::RolledBack && !rollout.mUnwritten) {
    // The node that decided it may die before it writes.
    rollout.mUnwritten = aProgress;
    rollout.mWantedSince = SteadyNow();
    rollout.mWrittenAt = {};
  }
  mParts.mLog.Change(
    "rollout",
    "rollout_progress",
    { { "service", aProgress.mService },
      { "version", aProgress.mVersion },
      { "state",
        aProgress.mState == RolloutState::Running     ? "running"
        : aProgress.mState == RolloutState::Succeeded ? "succeeded"
                                                      : "rolled_back" },
      { "share", gateway::kStageShares.at(aProgress.mStage) },
      { "reason", aProgress.mReason } });
  mParts.mBroadcast(ProgressMessage{ aProgress });
}

void
RolloutAgent::OnEvidence(const EvidenceMessage& aMessage)
{
  mBook.Merge(aMessage.mNode, aMessage.mLifetime, aMessage.mCounts);
}

void
RolloutAgent::OnRun(const std::string& aNode,
                    std::uint64_t aLifetime,
                    const RunReport& aRun)
{
  const gateway::VersionRoute key{ .mService = aRun.mService,
                                   .mVersion = aRun.mVersion,
                                   .mRoute = aRun.mRoute };
  gateway::VersionCounts& counts = mOwn[key];
  ++counts.mRuns;
  counts.mFailures += aRun.mFailed ? 1 : 0;
  counts.mTime += aRun.mTime;
  const auto found = mRollouts.find(aRun.mService);
  if (found != mRollouts.end() && Undecided(found->second)) {
    const Millis mean = mBook.MeanOfOthers(
      aRun.mService, found->second.mOrder->mVersion, aRun.mRoute);
    const bool slow =
      !aRun.mCold && mean.mCount > 0 && aRun.mTime > mean * mPolicy.mSlowFactor;
    counts.mSlow += slow ? 1 : 0;
  }
  mBook.Merge(aNode, aLifetime, { { key, counts } });
}

void
RolloutAgent::Tick(const std::string& aNode,
                   std::uint64_t aLifetime,
                   Millis aNow)
{
  EvidenceMessage news{ .mNode = aNode, .mLifetime = aLifetime };
  for (auto& [service, rollout] : mRollouts) {
    if (rollout.mUnwritten) {
      WriteRollback(rollout, aNow);
    }
    if (!Undecided(rollout)) {
      continue;
    }
    for (const auto& [key, counts] : mOwn) {
      if (key.mService == service && mTold[key] != counts) {
        mTold[key] = counts;
        news.mCounts.emplace(key, counts);
      }
    }
    Step(service, rollout, aNow);
  }
  if (!news.mCounts.empty()) {
    mBook.Merge(aNode, aLifetime, news.mCounts);
    mParts.mTellEvidence(news);
  }
}

void
RolloutAgent::WriteRollback(Rollout& aRollout, Millis aNow)
{
  const RolloutProgress& progress = *aRollout.mUnwritten;
  const Millis delay =
    kRankDelay * static_cast<double>(mParts.mRank(progress.mService));
  if (aNow - aRollout.mWantedSince < delay ||
      (aRollout.mWrittenAt.mCount > 0 &&
       aNow - aRollout.mWrittenAt < kRewrite)) {
    return;
  }
  aRollout.mWrittenAt = aNow;
  mParts.mWrite(progress);
}

void
RolloutAgent::OnWritten(const RolloutProgress& aProgress)
{
  Rollout& rollout = mRollouts[aProgress.mService];
  if (rollout.mUnwritten &&
      rollout.mUnwritten->mOrderedAt <= aProgress.mOrderedAt &&
      aProgress.mState != RolloutState::Running) {
    rollout.mUnwritten.reset();
  }
  OnProgress(aProgress);
}

void
RolloutAgent::Step(const std::string& aService, Rollout& aRollout, Millis aNow)
{
  const Millis clock = mParts.mStoreClock();
  if (clock.mCount <= 0) {
    return;
  }
  const RolloutOrder order = *aRollout.mOrder;
  const auto next = gateway::NextStep(
    order,
    { .mProgress = aRollout.mProgress,
      .mNow = clock,
      .mOldIdle = mParts.mTargets.OthersIdle(aService, order.mVersion),
      .mNewReady = mParts.mTargets.HasReady(aService, order.mVersion, false) },
    mBook,
    mPolicy);
  if (!next) {
    aRollout.mWanted = false;
    return;
  }
  if (!aRollout.mWanted) {
    aRollout.mWanted = true;
    aRollout.mWantedSince = aNow;
    aRollout.mWrittenAt = {};
  }
  if (next->mState == RolloutState::RolledBack) {
    // In force here and at the linked nodes before it is written.
    OnProgress(*next);
    return;
  }
  const Millis delay = kRankDelay * static_cast<double>(mParts.mRank(aService));
  if (aNow - aRollout.mWantedSince < delay ||
      (aRollout.mWrittenAt.mCount > 0 &&
       aNow - aRollout.mWrittenAt < kRewrite)) {
    return;
  }
  aRollout.mWrittenAt = aNow;
  mParts.mWrite(*next);
}

VersionChoice
RolloutAgent::Draw(const std::string& aService)
{
  const auto found = mRollouts.find(aService);
  if (found == mRollouts.end()) {
    return {};
  }
  Rollout& rollout = found->second;
  const bool current =
    rollout.mProgress && (!rollout.mOrder || rollout.mProgress->mOrderedAt >=
                                               rollout.mOrder->mOrderedAt);
  if (!current) {
    return { .mRule = VersionRule::AllBut,
             .mVersion = rollout.mOrder->mVersion };
  }
  const RolloutProgress& progress = *rollout.mProgress;
  switch (progress.mState) {
    case RolloutState::RolledBack:
      return { .mRule = VersionRule::AllBut, .mVersion = progress.mVersion };
    case RolloutState::Succeeded:
      return { .mRule = VersionRule::Only, .mVersion = progress.mVersion };
    case RolloutState::Running:
      break;
  }
  rollout.mCredit += gateway::kStageShares.at(progress.mStage);
  if (rollout.mCredit >= 1) {
    rollout.mCredit -= 1;
    return { .mRule = VersionRule::Only, .mVersion = progress.mVersion };
  }
  return { .mRule = VersionRule::AllBut, .mVersion = progress.mVersion };
}

bool
RolloutAgent::TakesRequests(const gateway::TargetInfo& aTarget) const
{
  const auto found = mRollouts.find(aTarget.mService);
  if (found == mRollouts.end() || !found->second.mProgress) {
    return true;
  }
  const RolloutProgress& progress = *found->second.mProgress;
  const bool isNew = aTarget.mVersion == progress.mVersion;
  switch (progress.mState) {
    case RolloutState::RolledBack:
      return !isNew;
    case RolloutState::Succeeded:
      return isNew;
    case RolloutState::Running:
      break;
  }
  // In the last stage the old targets become idle before they are stopped.
  return isNew || progress.mStage + 1 < gateway::kStageShares.size();
}

} // namespace papayaway::sidecar
