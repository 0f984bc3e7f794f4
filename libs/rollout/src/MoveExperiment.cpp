#include <rollout/MoveExperiment.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <tuple>

#include <rollout/ExposureBudget.h>
#include <rollout/MoveController.h>
#include <rollout/TakeBack.h>

namespace papayaway {
namespace {

constexpr Millis kTick{ 100 };
constexpr Millis kReportPeriod = Seconds(1);
const std::string kService = "hammer";
const std::string kOldVersion = "v1";
const std::string kNewVersion = "v2";
/** The first route is not idempotent. */
const std::vector<std::string> kRoutes{ "/bids", "/lots", "/search" };

/** The fault of one trial, drawn from its kind. */
struct DrawnFault
{
  MoveFault mKind = MoveFault::None;
  double mFailures = 0;
  double mSlowdown = 1;
  Millis mStart;
  double mLoad = 0;
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
        return aAge >= mStart;
      case MoveFault::UnderLoad:
        return aLoad > mLoad;
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

DrawnFault
DrawFault(const MoveExperimentOptions& aOptions, Random& aRandom)
{
  DrawnFault fault{ .mKind = aOptions.mFault };
  fault.mFailures = 0.3 + 0.7 * UniformFraction(aRandom);
  if (fault.mKind == MoveFault::Slow) {
    fault.mFailures = 0;
    fault.mSlowdown = 3 + 7 * UniformFraction(aRandom);
  }
  // A busy good move takes up to about half of its deadline; faults that
  // start after the end of the move do not show in it.
  fault.mStart = aOptions.mDeadline * (0.3 * UniformFraction(aRandom));
  fault.mLoad =
    aOptions.mCallsPerSecond * (0.02 + 0.4 * UniformFraction(aRandom));
  fault.mRoute = UniformBelow(aRandom, kRoutes.size());
  fault.mDataCentre = static_cast<int>(
    UniformBelow(aRandom, static_cast<std::uint64_t>(aOptions.mDataCentres)));
  return fault;
}

struct ServingNode
{
  std::string mName;
  std::string mDataCentre;
  ExposureBudget mBudget;
  EvidenceWindow mWindow;
  TakeBack mTakeBack;
  bool mFailed = false;
};

/** Reports on their way to the conductor. */
struct Report
{
  Millis mArrival;
  std::string mDataCentre;
  Evidence mEvidence;
};

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
        mNames.push_back(node.mName);
        mNodes.push_back(std::move(node));
      }
    }
    mInput.mService = kService;
    mInput.mMove = { .mTo = kNewVersion, .mDeadline = aOptions.mDeadline };
    mInput.mOld = { kOldVersion };
    mInput.mRoutes = kRoutes;
    mInput.mHoldsLease = true;
    mInput.mToken = 1;
  }

  MoveTrial Run()
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
      SpreadFact();
      if (mSpread && mSpread->mState == MoveState::TakenBack) {
        mTrial.mTakenBack = true;
        mTrial.mFinished = false;
        mTrial.mReason = mSpread->mReason;
        if (mFirstFaulty < Never()) {
          mTrial.mToZeroShare = mNow - mFirstFaulty;
        }
        break;
      }
      if (mSpread && mSpread->mState == MoveState::Finished) {
        if (!mTrial.mFinished) {
          mTrial.mFinished = true;
          mTrial.mDuration = mNow - kStart;
        }
        // A good version has nothing left to observe.
        if (mFault.mKind == MoveFault::None ||
            mNow > kStart + mTrial.mDuration + TakeBack::kWatchAfterFinish) {
          break;
        }
      }
    }
    if (!mTrial.mFinished) {
      mTrial.mDuration = mNow - kStart;
    }
    return mTrial;
  }

private:
  static constexpr Millis kStart = Seconds(100000);

  /** Draws the calls of one tick. */
  void RunCalls()
  {
    std::poisson_distribution<int> arrivals(mOptions.mCallsPerSecond *
                                            (kTick / Seconds(1)));
    const int calls = arrivals(mRandom);
    const int before = mNewCalls;
    for (int i = 0; i < calls; ++i) {
      RunCall();
    }
    // The load is a mean over about one second.
    mLoad += ((mNewCalls - before) / (kTick / Seconds(1)) - mLoad) * 0.1;
  }

  void RunCall()
  {
    const std::size_t route = UniformBelow(mRandom, kRoutes.size());
    ServingNode& node = mNodes[UniformBelow(mRandom, mNodes.size())];
    const int share = mSpread ? mSpread->mShare : 0;
    const bool isBid = route == 0;
    bool isNew =
      UniformBelow(mRandom, kWholeShare) < static_cast<std::uint64_t>(share);
    if (isNew && isBid) {
      isNew = node.mBudget.Admit(kRoutes[route]);
    }
    const int dataCentre = std::stoi(node.mDataCentre.substr(3));
    const bool faulty =
      isNew && mFault.Applies(mNow - kStart, mLoad, route, dataCentre);
    const double rate = faulty
                          ? std::max(mFault.mFailures, mOptions.mBaseFailures)
                          : mOptions.mBaseFailures;
    const bool failed = UniformFraction(mRandom) < rate;
    std::lognormal_distribution<double> latencies(1.5, 0.5);
    const double latency = latencies(mRandom) * (faulty ? mFault.mSlowdown : 1);
    if (isNew) {
      ++mNewCalls;
      mTrial.mBids += isBid && !mTrial.mFinished ? 1 : 0;
      mTrial.mBidsAfterFault += isBid && mFirstFaulty < Never() ? 1 : 0;
      node.mFailed |= failed;
      if (faulty && (failed || mFault.mSlowdown > 1)) {
        mTrial.mShowedInMove |= !mTrial.mFinished;
        mFirstFaulty = std::min(mFirstFaulty, mNow);
        ++mTrial.mFaultyCalls;
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
    Evidence& sum =
      mPending[{ node.mDataCentre, evidence.mVersion, evidence.mRoute }];
    evidence.mCalls += sum.mCalls;
    evidence.mFailures += sum.mFailures;
    evidence.mLatencySum += sum.mLatencySum;
    evidence.mLatencySquareSum += sum.mLatencySquareSum;
    sum = evidence;
  }

  void DecideAtNodes()
  {
    for (ServingNode& node : mNodes) {
      if (std::exchange(node.mFailed, false) && mSpread) {
        MoveInput input = mInput;
        input.mCurrent = mSpread;
        const auto fact =
          node.mTakeBack.Decide(input, node.mName, node.mWindow, mNow);
        if (fact) {
          Publish(*fact);
        }
      }
    }
  }

  void SendReports()
  {
    for (const auto& [key, evidence] : mPending) {
      mReports.push_back(
        { mNow + mOptions.mDelay, std::get<0>(key), evidence });
    }
    mPending.clear();
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
    mInput.mCurrent = mFact;
    if (const auto next = mController.Next(mInput, mWindow, mNow)) {
      Publish(*next);
    }
  }

  void Publish(const MoveFact& aFact)
  {
    if (mFact && mFact->mState == MoveState::TakenBack) {
      return;
    }
    mFact = aFact;
    mSpreadAt = mNow + mOptions.mDelay;
  }

  void SpreadFact()
  {
    if (mNow >= mSpreadAt) {
      mSpreadAt = Never();
      mSpread = mFact;
      for (ServingNode& node : mNodes) {
        node.mBudget.Update(*mSpread, node.mName, mNames);
      }
    }
  }

  const MoveExperimentOptions& mOptions;
  Random& mRandom;
  DrawnFault mFault;
  std::vector<ServingNode> mNodes;
  std::vector<std::string> mNames;
  MoveInput mInput;
  MoveController mController;
  EvidenceWindow mWindow;
  /** By data centre, version and route. */
  std::map<std::tuple<std::string, std::string, std::string>, Evidence>
    mPending;
  std::vector<Report> mReports;
  /** The fact as published and as every node has it. */
  std::optional<MoveFact> mFact;
  std::optional<MoveFact> mSpread;
  Millis mSpreadAt = Never();
  Millis mNow;
  Millis mNextReport;
  Millis mFirstFaulty = Never();
  int mNewCalls = 0;
  double mLoad = 0;
  MoveTrial mTrial;
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

MoveTrial
RunMoveTrial(const MoveExperimentOptions& aOptions, Random& aRandom)
{
  return Trial(aOptions, aRandom).Run();
}

MoveExperimentResult
RunMoveExperiment(const MoveExperimentOptions& aOptions)
{
  Random random(aOptions.mSeed);
  MoveExperimentResult result;
  Millis toZero;
  for (int i = 0; i < aOptions.mMoves; ++i) {
    const MoveTrial trial = RunMoveTrial(aOptions, random);
    ++result.mMoves;
    if (trial.mFinished && trial.mDuration <= aOptions.mDeadline) {
      ++result.mFinishedByDeadline;
    }
    if (trial.mFinished) {
      result.mLongestFinish = std::max(result.mLongestFinish, trial.mDuration);
    }
    result.mTakenBack += trial.mTakenBack ? 1 : 0;
    result.mNoFaultyCall += trial.mShowedInMove || trial.mTakenBack ? 0 : 1;
    result.mMostBids = std::max(result.mMostBids, trial.mBids);
    result.mMostFaultyCalls =
      std::max(result.mMostFaultyCalls, trial.mFaultyCalls);
    result.mMostBidsAfterFault =
      std::max(result.mMostBidsAfterFault, trial.mBidsAfterFault);
    result.mMeanFaultyCalls +=
      static_cast<double>(trial.mFaultyCalls) / aOptions.mMoves;
    toZero += trial.mToZeroShare;
    result.mLongestToZeroShare =
      std::max(result.mLongestToZeroShare, trial.mToZeroShare);
  }
  if (result.mTakenBack > 0) {
    result.mMeanToZeroShare = toZero * (1.0 / result.mTakenBack);
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
    aResult.mTakenBack,
    aResult.mNoFaultyCall,
    aResult.mMostBids,
    aResult.mMostBidsAfterFault,
    aResult.mMeanFaultyCalls,
    aResult.mMostFaultyCalls,
    aResult.mMeanToZeroShare / Seconds(1),
    aResult.mLongestToZeroShare / Seconds(1),
    aResult.mLongestFinish / Seconds(1));
  return text;
}

} // namespace papayaway
