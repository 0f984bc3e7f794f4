#include <rollout/MoveExperiment.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <tuple>

#include <rollout/ExposureBudget.h>
#include <rollout/MoveController.h>
#include <rollout/TakeBackDecision.h>

namespace papayaway {
namespace {

constexpr Millis kTick{ 100 };
constexpr Millis kReportPeriod = Seconds(1);
const std::string kService = "hammer";
const std::string kOldVersion = "v1";
const std::string kNewVersion = "v2";
/** Only the first route is not idempotent. */
const std::vector<std::string> kRoutes{ "/bids", "/lots", "/search" };

/** The random parameters of the fault in one trial. */
struct FaultParameters
{
  MoveFault mKind = MoveFault::None;
  /** The fraction of the affected calls that fail. */
  double mFailureRate = 0;
  double mLatencyMultiplier = 1;
  /** For MoveFault::Late: the time from the start of the move. */
  Millis mOnset;
  /** For MoveFault::UnderLoad: calls per second of the new version. */
  double mLoadThreshold = 0;
  std::size_t mRoute = 0;
  int mDataCentre = 0;

  [[nodiscard]] bool Applies(Millis aAge,
                             double aLoad,
                             std::size_t aRoute,
                             int aDataCentre) const
  {
    switch (mKind) {
      case MoveFault::None:
        return false;
      case MoveFault::Late:
        return aAge >= mOnset;
      case MoveFault::UnderLoad:
        return aLoad > mLoadThreshold;
      case MoveFault::OneRoute:
        return aRoute == mRoute;
      case MoveFault::OneDataCentre:
        return aDataCentre == mDataCentre;
      case MoveFault::AtOnce:
      case MoveFault::Slow:
        break;
    }
    return true;
  }
};

FaultParameters
DrawFault(const MoveExperimentOptions& aOptions, Random& aRandom)
{
  FaultParameters fault{ .mKind = aOptions.mFault };
  fault.mFailureRate = 0.3 + 0.7 * UniformFraction(aRandom);
  if (fault.mKind == MoveFault::Slow) {
    fault.mFailureRate = 0;
    fault.mLatencyMultiplier = 3 + 7 * UniformFraction(aRandom);
  }
  // The move of a healthy version with much traffic takes up to about half of
  // its deadline. The onset is earlier than that, because a fault that starts
  // after the end of the move can't appear in it.
  fault.mOnset = aOptions.mDeadline * (0.3 * UniformFraction(aRandom));
  fault.mLoadThreshold =
    aOptions.mCallsPerSecond * (0.02 + 0.4 * UniformFraction(aRandom));
  fault.mRoute = UniformBelow(aRandom, kRoutes.size());
  fault.mDataCentre = static_cast<int>(
    UniformBelow(aRandom, static_cast<std::uint64_t>(aOptions.mDataCentres)));
  return fault;
}

/** A node that serves the new version. */
struct ServingNode
{
  std::string mName;
  std::string mDataCentre;
  ExposureBudget mBudget;
  EvidenceWindow mWindow;
  TakeBackDecision mTakeBackDecision;
  bool mNewVersionFailed = false;
};

/** A report on its way to the conductor. */
struct Report
{
  Millis mArrival;
  std::string mDataCentre;
  Evidence mEvidence;
};

/** The simulation of one move. */
class Trial
{
public:
  Trial(const MoveExperimentOptions& aOptions, Random& aRandom)
    : mOptions(aOptions)
    , mRandom(aRandom)
    , mFault(DrawFault(aOptions, aRandom))
  {
    for (int i = 0; i < aOptions.mDataCentres; ++i) {
      for (int j = 0; j < aOptions.mNodesPerDataCentre; ++j) {
        ServingNode node;
        node.mDataCentre = "dc-" + std::to_string(i);
        node.mName = node.mDataCentre + "-" + std::to_string(j);
        mNodeNames.push_back(node.mName);
        mNodes.push_back(std::move(node));
      }
    }
    mInput.mService = kService;
    mInput.mMove = { .mTo = kNewVersion, .mDeadline = aOptions.mDeadline };
    mInput.mOldVersions = { kOldVersion };
    mInput.mRoutes = kRoutes;
    mInput.mHoldsLease = true;
    mInput.mToken = 1;
  }

  MoveTrialResult Run()
  {
    for (mNow = kStart; mNow < kStart + mOptions.mDeadline * 1.2;
         mNow += kTick) {
      RunCalls();
      DecideAtNodes();
      if (mNow >= mNextReport) {
        mNextReport = mNow + kReportPeriod;
        SendReports();
        DecideAtConductor();
      }
      DeliverFact();
      if (mReceivedFact && mReceivedFact->mState == MoveState::TakenBack) {
        mResult.mTakenBack = true;
        mResult.mFinished = false;
        mResult.mReason = mReceivedFact->mReason;
        if (mFirstFaultyCall < Never()) {
          mResult.mTimeToZeroShare = mNow - mFirstFaultyCall;
        }
        break;
      }
      if (mReceivedFact && mReceivedFact->mState == MoveState::Finished) {
        if (!mResult.mFinished) {
          mResult.mFinished = true;
          mResult.mDuration = mNow - kStart;
        }
        // Without a fault the trial ends here; with one the move can still be
        // taken back.
        if (mFault.mKind == MoveFault::None ||
            mNow > kStart + mResult.mDuration +
                     TakeBackDecision::kPeriodAfterFinish) {
          break;
        }
      }
    }
    if (!mResult.mFinished) {
      mResult.mDuration = mNow - kStart;
    }
    return mResult;
  }

private:
  static constexpr Millis kStart = Seconds(100000);

  /** Simulates the calls of one tick. */
  void RunCalls()
  {
    std::poisson_distribution<int> arrivals(mOptions.mCallsPerSecond *
                                            (kTick / Seconds(1)));
    const int calls = arrivals(mRandom);
    const int before = mNewVersionCalls;
    for (int i = 0; i < calls; ++i) {
      RunCall();
    }
    // Smooths the calls per second over about one second.
    mLoad += ((mNewVersionCalls - before) / (kTick / Seconds(1)) - mLoad) * 0.1;
  }

  void RunCall()
  {
    const std::size_t route = UniformBelow(mRandom, kRoutes.size());
    ServingNode& node = mNodes[UniformBelow(mRandom, mNodes.size())];
    const int share = mReceivedFact ? mReceivedFact->mShare : 0;
    const bool isBid = route == 0;
    bool isNew =
      UniformBelow(mRandom, kTotalShare) < static_cast<std::uint64_t>(share);
    if (isNew && isBid) {
      isNew = node.mBudget.Admit(kRoutes[route]);
    }
    const int dataCentre = std::stoi(node.mDataCentre.substr(3));
    const bool faulty =
      isNew && mFault.Applies(mNow - kStart, mLoad, route, dataCentre);
    const double rate =
      faulty ? std::max(mFault.mFailureRate, mOptions.mBaseFailureRate)
             : mOptions.mBaseFailureRate;
    const bool failed = UniformFraction(mRandom) < rate;
    std::lognormal_distribution<double> latencies(1.5, 0.5);
    const double latency =
      latencies(mRandom) * (faulty ? mFault.mLatencyMultiplier : 1);
    if (isNew) {
      ++mNewVersionCalls;
      mResult.mBids += isBid && !mResult.mFinished ? 1 : 0;
      mResult.mBidsAfterFault += isBid && mFirstFaultyCall < Never() ? 1 : 0;
      node.mNewVersionFailed |= failed;
      if (faulty && (failed || mFault.mLatencyMultiplier > 1)) {
        mResult.mFaultyCallInMove |= !mResult.mFinished;
        mFirstFaultyCall = std::min(mFirstFaultyCall, mNow);
        ++mResult.mFaultyCalls;
      }
    }
    Evidence evidence{ .mNode = node.mName,
                       .mService = kService,
                       .mVersion = isNew ? kNewVersion : kOldVersion,
                       .mRoute = kRoutes[route],
                       .mCalls = 1,
                       .mFailures = failed ? 1U : 0U,
                       .mLatencySum = latency,
                       .mLatencySquareSum = latency * latency };
    if (isNew) {
      node.mWindow.Add(evidence, node.mDataCentre, mNow);
    }
    Evidence& sum = mPendingEvidence[{
      node.mDataCentre, evidence.mVersion, evidence.mRoute }];
    evidence.mCalls += sum.mCalls;
    evidence.mFailures += sum.mFailures;
    evidence.mLatencySum += sum.mLatencySum;
    evidence.mLatencySquareSum += sum.mLatencySquareSum;
    sum = evidence;
  }

  void DecideAtNodes()
  {
    for (ServingNode& node : mNodes) {
      if (std::exchange(node.mNewVersionFailed, false) && mReceivedFact) {
        MoveInput input = mInput;
        input.mCurrent = mReceivedFact;
        const auto fact =
          node.mTakeBackDecision.Decide(input, node.mName, node.mWindow, mNow);
        if (fact) {
          Publish(*fact);
        }
      }
    }
  }

  void SendReports()
  {
    for (const auto& [key, evidence] : mPendingEvidence) {
      mReports.push_back(
        { mNow + mOptions.mPropagationDelay, std::get<0>(key), evidence });
    }
    mPendingEvidence.clear();
  }

  void DecideAtConductor()
  {
    std::erase_if(mReports, [&](const Report& aReport) {
      if (aReport.mArrival > mNow) {
        return false;
      }
      mWindow.Add(aReport.mEvidence, aReport.mDataCentre, mNow);
      return true;
    });
    mInput.mCurrent = mPublishedFact;
    if (const auto next = mController.NextFact(mInput, mWindow, mNow)) {
      Publish(*next);
    }
  }

  void Publish(const MoveFact& aFact)
  {
    if (mPublishedFact && mPublishedFact->mState == MoveState::TakenBack) {
      return;
    }
    mPublishedFact = aFact;
    mDeliveryTime = mNow + mOptions.mPropagationDelay;
  }

  void DeliverFact()
  {
    if (mNow >= mDeliveryTime) {
      mDeliveryTime = Never();
      mReceivedFact = mPublishedFact;
      for (ServingNode& node : mNodes) {
        node.mBudget.Update(*mReceivedFact, node.mName, mNodeNames);
      }
    }
  }

  const MoveExperimentOptions& mOptions;
  Random& mRandom;
  FaultParameters mFault;
  std::vector<ServingNode> mNodes;
  std::vector<std::string> mNodeNames;
  MoveInput mInput;
  MoveController mController;
  EvidenceWindow mWindow;
  /** Evidence that is not yet reported, by data centre, version and route. */
  std::map<std::tuple<std::string, std::string, std::string>, Evidence>
    mPendingEvidence;
  std::vector<Report> mReports;
  /** The newest published fact, and the fact that all nodes have received. */
  std::optional<MoveFact> mPublishedFact;
  std::optional<MoveFact> mReceivedFact;
  /** When mPublishedFact reaches all nodes. */
  Millis mDeliveryTime = Never();
  Millis mNow;
  Millis mNextReport;
  Millis mFirstFaultyCall = Never();
  int mNewVersionCalls = 0;
  /** Calls per second of the new version, smoothed. */
  double mLoad = 0;
  MoveTrialResult mResult;
};

} // namespace

std::string
ToString(MoveFault aFault)
{
  switch (aFault) {
    case MoveFault::None:
      return "none";
    case MoveFault::AtOnce:
      return "at once";
    case MoveFault::Late:
      return "late";
    case MoveFault::UnderLoad:
      return "under load";
    case MoveFault::OneRoute:
      return "one route";
    case MoveFault::OneDataCentre:
      return "one data centre";
    case MoveFault::Slow:
      break;
  }
  return "slow";
}

MoveTrialResult
RunMoveTrial(const MoveExperimentOptions& aOptions, Random& aRandom)
{
  return Trial(aOptions, aRandom).Run();
}

MoveExperimentResult
RunMoveExperiment(const MoveExperimentOptions& aOptions)
{
  Random random(aOptions.mSeed);
  MoveExperimentResult result;
  Millis totalTimeToZeroShare;
  for (int i = 0; i < aOptions.mMoves; ++i) {
    const MoveTrialResult trial = RunMoveTrial(aOptions, random);
    ++result.mMoves;
    if (trial.mFinished && trial.mDuration <= aOptions.mDeadline) {
      ++result.mFinishedByDeadline;
    }
    if (trial.mFinished) {
      result.mMaxMoveDuration =
        std::max(result.mMaxMoveDuration, trial.mDuration);
    }
    result.mMovesTakenBack += trial.mTakenBack ? 1 : 0;
    result.mMovesWithoutFaultyCall +=
      trial.mFaultyCallInMove || trial.mTakenBack ? 0 : 1;
    result.mMaxBids = std::max(result.mMaxBids, trial.mBids);
    result.mMaxFaultyCalls =
      std::max(result.mMaxFaultyCalls, trial.mFaultyCalls);
    result.mMaxBidsAfterFault =
      std::max(result.mMaxBidsAfterFault, trial.mBidsAfterFault);
    result.mMeanFaultyCalls +=
      static_cast<double>(trial.mFaultyCalls) / aOptions.mMoves;
    totalTimeToZeroShare += trial.mTimeToZeroShare;
    result.mMaxTimeToZeroShare =
      std::max(result.mMaxTimeToZeroShare, trial.mTimeToZeroShare);
  }
  if (result.mMovesTakenBack > 0) {
    result.mMeanTimeToZeroShare =
      totalTimeToZeroShare * (1.0 / result.mMovesTakenBack);
  }
  return result;
}

std::string
ToString(const MoveExperimentOptions& aOptions,
         const MoveExperimentResult& aResult)
{
  char text[400];
  std::snprintf(
    text,
    sizeof text,
    "%-15s %5.0f calls/s: moves %d, finished by deadline %d, taken back %d, "
    "without a faulty call %d, most bids %d, after the fault %d, faulty calls "
    "mean %.1f most %d, zero share mean %.1f s longest %.1f s, longest finish "
    "%.0f s",
    ToString(aOptions.mFault).c_str(),
    aOptions.mCallsPerSecond,
    aResult.mMoves,
    aResult.mFinishedByDeadline,
    aResult.mMovesTakenBack,
    aResult.mMovesWithoutFaultyCall,
    aResult.mMaxBids,
    aResult.mMaxBidsAfterFault,
    aResult.mMeanFaultyCalls,
    aResult.mMaxFaultyCalls,
    aResult.mMeanTimeToZeroShare / Seconds(1),
    aResult.mMaxTimeToZeroShare / Seconds(1),
    aResult.mMaxMoveDuration / Seconds(1));
  return text;
}

} // namespace papayaway
