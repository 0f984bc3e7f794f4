#include <gateway/TargetPace.h>

#include <algorithm>

#include <gateway/RateLimitedChoice.h>

namespace papayaway::gateway {

namespace {

/** The weight of the newest response in the failure rate; 6 failures in a row
 *  make a healthy target a failing one. */
constexpr double kFailureWeight = 0.15;
/** With fewer responses than this fraction of the rate, the target has not
 *  shown that it can carry the rate, which is then held. */
constexpr double kMinUse = 0.3;
/** Requests are handed back only above this many times the told rate, because
 *  their number varies. */
constexpr double kTolerance = 1.5;
/** Requests may come at once that the rate allows within this time. */
constexpr Millis kBurst{ 500 };
/** At least this many may come at once. */
constexpr double kMinBurst = 2;
/** An open request is overdue after this many mean run times. */
constexpr double kOverdueRuns = 5;
/** Above this utilization of the peers, callers would wait for a ramp. */
constexpr double kBusy = 0.85;
/** The fraction of its capacity at which a ramp starts if callers would
 *  otherwise have to wait for it. */
constexpr double kUrgentShare = 0.5;
/** Without peers a ramp ends at this fraction of the capacity, or at this many
 *  times the even share, the room for the variation of the demand. */
constexpr double kFullCapacity = 0.8;
constexpr double kRoom = 1.5;
/** The fraction of responses that waited for a slot from which an interval is
 *  slow. */
constexpr double kWaitedFraction = 0.25;
/** Run times have become longer with the rate if they are this many times those
 *  of the best interval of the ramp. */
constexpr double kWorse = 1.3;
/** Above every ratio of run times. */
constexpr double kUnknownRatio = 1e9;
/** The number of peers in the same data centre from which only these count. */
constexpr int kMinNearPeers = 2;

} // namespace

PeerSummary
SummarizePeers(std::span<const TargetCandidate> aPeers, const TargetLoad& aOwn)
{
  const auto near =
    std::count_if(aPeers.begin(), aPeers.end(), [](const auto& aPeer) {
      return aPeer.mDistance == Distance::SameDataCentre;
    });
  PeerSummary summary{ .mSuccessRate = 0 };
  double throughput = Throughput(aOwn);
  int targets = 1;
  int busy = 0;
  int slots = 0;
  for (const TargetCandidate& peer : aPeers) {
    if (near >= kMinNearPeers && peer.mDistance != Distance::SameDataCentre) {
      continue;
    }
    const TargetLoad& load = peer.mLoad;
    throughput += Throughput(load);
    ++targets;
    if (load.mAdmissionRate) {
      ++summary.mLimited;
      continue;
    }
    ++summary.mUnlimited;
    summary.mSuccessRate += load.mSuccessRate;
    summary.mRunTime += load.mMeanRunTime;
    busy += load.mRunning;
    slots += load.mSlots;
  }
  summary.mEvenShare = throughput / targets;
  summary.mUtilization = static_cast<double>(busy) / std::max(1, slots);
  summary.mRunTime = summary.mRunTime * (1.0 / std::max(1, summary.mUnlimited));
  summary.mSuccessRate =
    summary.mUnlimited == 0 ? 1 : summary.mSuccessRate / summary.mUnlimited;
  return summary;
}

void
TargetPace::Start(Millis aNow)
{
  mState = State::Ramping;
  mFailureRate = 0;
  mGoodTrials = 0;
  mSlowSince.reset();
  mBestRatio = kUnknownRatio;
  mInterval = { .mStarted = aNow };
  mRate = Floor();
  mTokens = 1;
  mTokensAt = aNow;
  mLastSent = aNow;
  mLastAnswer = aNow;
}

bool
TargetPace::MostAreLimited() const
{
  return mPeers.mLimited >= mPeers.mUnlimited;
}

double
TargetPace::Floor() const
{
  const bool noPeers = mPeers.mUnlimited == 0;
  const bool manyJoin = MostAreLimited() && mPeers.mUtilization > kBusy;
  return std::max({ mOptions.mMinRate,
                    mPeers.mEvenShare * mOptions.mInitialShare,
                    noPeers || manyJoin ? mCapacity * kUrgentShare : 0 });
}

bool
TargetPace::IsComplete() const
{
  if (mPeers.mUnlimited > 0) {
    return mRate >= mPeers.mEvenShare;
  }
  return mRate >= mCapacity * kFullCapacity ||
         mRate >= std::max(mOptions.mMinRate, mPeers.mEvenShare * kRoom);
}

bool
TargetPace::IsFailing() const
{
  return mFailureRate - (1 - mPeers.mSuccessRate) >= mOptions.mFailing;
}

void
TargetPace::SetFailing(Millis aNow)
{
  mState = State::Failing;
  mGoodTrials = 0;
  mRate = mOptions.mMinRate;
  mTokens = 0;
  mTokensAt = aNow;
}

void
TargetPace::OnTick(const PeerSummary& aPeers,
                   const TargetLoad& aOwn,
                   Millis aOldestOpen,
                   Millis aNow)
{
  mPeers = aPeers;
  mCapacity =
    aOwn.mSlots * (Seconds(1) / std::max(aOwn.mMeanRunTime, Millis{ 1 }));
  mColdRate = aOwn.mAdmissionRate;
  if (mLastAnswer <= Millis{}) {
    // This process has just begun to pace: the target is not idle or silent.
    mLastAnswer = aNow;
    mLastSent = aNow;
  }
  const Millis overdue =
    std::max(mOptions.mSilence, aOwn.mMeanRunTime * kOverdueRuns);
  if (aOldestOpen >= overdue && aNow - mLastAnswer >= overdue) {
    if (mState != State::Failing) {
      SetFailing(aNow);
    }
    return;
  }
  const bool peersWork =
    mPeers.mUnlimited > 0 && mPeers.mEvenShare >= mOptions.mMinRate;
  if (!peersWork) {
    mPeersIdleAt = aNow;
  }
  // If the peers were idle too, the whole service has had no requests, and the
  // target is no different from them.
  if (mState == State::Unlimited && aNow - mLastSent >= mOptions.mIdle &&
      aNow - mPeersIdleAt >= mOptions.mIdle) {
    Start(aNow);
  }
  if (mState == State::Ramping) {
    mRate = std::max(mRate, Floor());
    EndInterval(aNow);
  }
}

void
TargetPace::EndInterval(Millis aNow)
{
  const Millis length = aNow - mInterval.mStarted;
  if (length < mOptions.mInterval || mInterval.mResponses == 0) {
    return;
  }
  const double responses = mInterval.mResponses;
  const double excess =
    mInterval.mFailures / responses - (1 - mPeers.mSuccessRate);
  const double ratio =
    mInterval.mUsual > Millis{} ? mInterval.mRunTime / mInterval.mUsual : 1;
  const bool waited = mInterval.mWaited > responses * kWaitedFraction;
  const bool slow = waited || ratio > mOptions.mSlowRatio;
  const bool slower = waited || ratio > mBestRatio * kWorse;
  mBestRatio = std::min(mBestRatio, ratio);
  const bool used = responses >= mRate * (length / Seconds(1)) * kMinUse;
  const Millis started = mInterval.mStarted;
  mInterval = { .mStarted = aNow };
  if (excess > mOptions.mFailureExcess) {
    mRate *= mOptions.mDecrease;
  } else if (slow) {
    mSlowSince = mSlowSince.value_or(started);
    if (aNow - *mSlowSince >= mOptions.mSlowTime) {
      mRate *= slower ? mOptions.mDecrease : mOptions.mSlowIncrease;
    }
  } else {
    mSlowSince.reset();
    if (IsComplete() && !mColdRate) {
      mState = State::Unlimited;
      return;
    }
    mRate *= used ? mOptions.mIncrease : 1;
  }
  // What a cold target carries says nothing about higher rates.
  mRate = std::max(std::min(mRate, mColdRate.value_or(mRate)), Floor());
}

void
TargetPace::OnSent(Millis aNow)
{
  mTokens = std::max(0.0, Tokens(aNow) - 1);
  mTokensAt = aNow;
  mLastSent = aNow;
}

void
TargetPace::OnResponse(Millis aRunTime,
                       std::optional<Millis> aUsual,
                       bool aWaited,
                       Millis aNow)
{
  mLastAnswer = aNow;
  mFailureRate *= 1 - kFailureWeight;
  if (mState == State::Failing) {
    if (++mGoodTrials >= mOptions.mGoodTrials) {
      Start(aNow);
    }
    return;
  }
  const Millis usual = aUsual.value_or(mPeers.mRunTime);
  ++mInterval.mResponses;
  mInterval.mWaited += aWaited ? 1 : 0;
  if (usual > Millis{}) {
    mInterval.mRunTime += aRunTime;
    mInterval.mUsual += usual;
  }
}

void
TargetPace::OnFailure(Millis aNow)
{
  mGoodTrials = 0;
  mFailureRate = mFailureRate * (1 - kFailureWeight) + kFailureWeight;
  ++mInterval.mResponses;
  ++mInterval.mFailures;
  if (mState != State::Failing && IsFailing()) {
    SetFailing(aNow);
  }
}

double
TargetPace::Tokens(Millis aNow) const
{
  const double earned = mRate * kTolerance * ((aNow - mTokensAt) / Seconds(1));
  return std::min(std::max(kMinBurst, mRate * (kBurst / Seconds(1))),
                  mTokens + earned);
}

bool
TargetPace::MayAdmit(Millis aNow) const
{
  return mState == State::Unlimited || MostAreLimited() || Tokens(aNow) >= 1;
}

std::optional<double>
TargetPace::Rate() const
{
  return mState == State::Unlimited ? std::nullopt : std::optional(mRate);
}

} // namespace papayaway::gateway
