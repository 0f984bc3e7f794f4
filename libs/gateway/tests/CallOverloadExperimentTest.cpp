#include <gateway/CallAdmission.h>
#include <gateway/RunTimes.h>
#include <gateway/SlotQueue.h>

#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <queue>

#include <base/Random.h>
#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

/** The overload of two services: an upper one, of whose runs 70 % make two
 *  concurrent calls of a lower one, which has requests of its own. */
struct Overload
{
  const char* mName;
  int mUpperTargets;
  int mLowerTargets;
  int mSlots;
  /** Requests a second, mean run times, objectives and priorities. */
  double mParentRate;
  Millis mParentRun;
  Millis mParentObjective;
  Millis mParentTimeout;
  int mParentPriority;
  double mOtherRate;
  Millis mOtherRun;
  Millis mOtherObjective;
  int mOtherPriority;
  Millis mCallRun;
  Millis mCallObjective;
  Millis mCallTimeout;
  int mCallPriority;
  /** Whether some targets are slow for short periods. */
  bool mSlowPeriods = false;
};

/** The measures that are active in a run of the experiment. */
struct Measures
{
  const char* mName;
  bool mUrgency = false;
  bool mAdmission = false;
};

struct Result
{
  int mParents = 0;
  int mStarted = 0;
  int mThrownAway = 0;
  int mInTime = 0;
  int mOthers = 0;
  int mOthersInTime = 0;
};

/** Simulates the services without network: each request goes to the less
 *  loaded of two random targets, and to up to three more if it is refused. */
class Simulation
{
public:
  Simulation(const Overload& aOverload, const Measures& aMeasures)
    : mOverload(aOverload)
    , mMeasures(aMeasures)
  {
    for (int i = 0; i < aOverload.mUpperTargets; ++i) {
      mUpper.push_back(
        { .mSeed = mUpper.size() + 1, .mQueue = SlotQueue(aOverload.mSlots) });
    }
    for (int i = 0; i < aOverload.mLowerTargets; ++i) {
      mLower.push_back({ .mSeed = mLower.size() + 1001,
                         .mQueue = SlotQueue(aOverload.mSlots) });
    }
  }

  Result Run(Millis aTime)
  {
    Arrive(mOverload.mParentRate, aTime, [this] { OfferParent(); });
    Arrive(mOverload.mOtherRate, aTime, [this] { OfferOther(); });
    for (Millis at; at < aTime; at += Millis{ 20 }) {
      mEvents.push({ at, mNextEvent++, [this] {
                      for (auto* const group : { &mUpper, &mLower }) {
                        for (Target& target : *group) {
                          Apply(target, target.mQueue.OnTick(mNow));
                        }
                      }
                    } });
    }
    while (!mEvents.empty()) {
      Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      event.mAction();
    }
    return mResult;
  }

private:
  struct Event
  {
    Millis mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mAction;
    bool operator<(const Event& aOther) const
    {
      return std::pair(mAt, mOrder) > std::pair(aOther.mAt, aOther.mOrder);
    }
  };
  struct Target
  {
    std::uint64_t mSeed = 0;
    SlotQueue mQueue;
    CallAdmission mAdmission;
    std::map<std::uint64_t, std::function<void()>> mOnStart;
    std::map<std::uint64_t, std::function<void()>> mOnRefused;
  };
  using Targets = std::vector<Target>;

  void Arrive(double aRate, Millis aEnd, const std::function<void()>& aAction)
  {
    for (Millis at; at < aEnd;) {
      mEvents.push({ at, mNextEvent++, aAction });
      at += Seconds(-std::log(1 - UniformFraction(mRandom)) / aRate);
    }
  }

  void After(Millis aTime, const std::function<void()>& aAction)
  {
    mEvents.push({ mNow + aTime, mNextEvent++, aAction });
  }

  void Apply(Target& aTarget, const SlotActions& aActions)
  {
    for (const auto id : aActions.mStart) {
      aTarget.mOnRefused.erase(id);
      aTarget.mOnStart.extract(id).mapped()();
    }
    for (const auto id : aActions.mRefuse) {
      aTarget.mOnStart.erase(id);
      aTarget.mOnRefused.extract(id).mapped()();
    }
  }

  Target& Choose(Targets& aTargets)
  {
    Target& first = aTargets[UniformBelow(mRandom, aTargets.size())];
    Target& second = aTargets[UniformBelow(mRandom, aTargets.size())];
    const auto load = [](const Target& aTarget) {
      return aTarget.mQueue.Running() + aTarget.mQueue.Waiting();
    };
    return load(second) < load(first) ? second : first;
  }

  /** Offers a request to up to four targets.
   *  @param aParent whether it makes calls, and so is subject to admission. */
  void Offer(Targets& aTargets,
             SlotRequest aRequest,
             bool aParent,
             int aAttempts,
             const std::function<void(Target&)>& aOnStart,
             const std::function<void()>& aOnRefused)
  {
    Target& target = Choose(aTargets);
    const auto refused = [=, this, &aTargets, &target](bool aAdmitted) {
      if (aParent && aAdmitted) {
        target.mAdmission.OnNotStarted(kParent);
      }
      if (aAttempts > 1) {
        After(Millis{ 1 }, [=, this, &aTargets] {
          Offer(
            aTargets, aRequest, aParent, aAttempts - 1, aOnStart, aOnRefused);
        });
      } else {
        aOnRefused();
      }
    };
    if (aParent && mMeasures.mAdmission &&
        !target.mAdmission.TryAdmit(kParent, mNow)) {
      refused(false);
      return;
    }
    aRequest.mId = mNextId++;
    target.mOnStart[aRequest.mId] = [=, &target] { aOnStart(target); };
    target.mOnRefused[aRequest.mId] = [=] { refused(true); };
    Apply(target, target.mQueue.Offer(aRequest, mNow));
  }

  SlotRequest Request(const std::string& aRoute,
                      int aPriority,
                      Millis aObjective,
                      Millis aTimeout) const
  {
    return { .mPriority = aPriority,
             .mDeadline = mNow + aTimeout,
             .mObjective = mNow + aObjective,
             .mRunTime = mRunTimes.Mean(aRoute),
             .mRunTimeP75 = mRunTimes.Percentile75(aRoute) };
  }

  /** @return a run time that varies as those of targets do. Of the targets, 15
   *  in 100 run 2.5 times slower for periods of 0.6 s. */
  Millis Vary(const Target& aTarget, Millis aMean)
  {
    const auto period = static_cast<std::uint64_t>(mNow / Millis{ 600 });
    Random slow(aTarget.mSeed * 1000 + period);
    const double factor =
      mOverload.mSlowPeriods && UniformBelow(slow, 100) < 15 ? 2.5 : 1;
    return aMean * (factor * (0.5 + UniformFraction(mRandom)));
  }

  void End(Target& aTarget, const std::string& aRoute, Millis aStarted)
  {
    mRunTimes.OnRun(aRoute, mNow - aStarted);
    Apply(aTarget, aTarget.mQueue.OnFinished(mNow));
  }

  void OfferOther()
  {
    ++mResult.mOthers;
    const Millis objective = mNow + mOverload.mOtherObjective;
    Offer(
      mLower,
      Request("other",
              mOverload.mOtherPriority,
              mOverload.mOtherObjective,
              mOverload.mOtherObjective * 4),
      false,
      4,
      [=, this](Target& aTarget) {
        const Millis started = mNow;
        After(Vary(aTarget, mOverload.mOtherRun), [=, this, &aTarget] {
          mResult.mOthersInTime += mNow <= objective ? 1 : 0;
          End(aTarget, "other", started);
        });
      },
      [] {});
  }

  struct ParentRun
  {
    Millis mStarted;
    Millis mObjective;
    Millis mDeadline;
    int mCallsLeft = 0;
    bool mFailed = false;
  };

  void OfferParent()
  {
    ++mResult.mParents;
    const Millis arrived = mNow;
    Offer(
      mUpper,
      Request(kParent,
              mOverload.mParentPriority,
              mOverload.mParentObjective,
              mOverload.mParentTimeout),
      true,
      4,
      [=, this](Target& aTarget) {
        ++mResult.mStarted;
        const auto run = std::make_shared<ParentRun>(
          ParentRun{ .mStarted = mNow,
                     .mObjective = arrived + mOverload.mParentObjective,
                     .mDeadline = arrived + mOverload.mParentTimeout });
        After(Vary(aTarget, mOverload.mParentRun) * 0.5, [=, this, &aTarget] {
          run->mCallsLeft = UniformFraction(mRandom) < 0.7 ? 2 : 0;
          if (run->mCallsLeft == 0) {
            Finish(aTarget, run);
            return;
          }
          OfferCall(aTarget, run);
          OfferCall(aTarget, run);
        });
      },
      [] {});
  }

  void OfferCall(Target& aParent, const std::shared_ptr<ParentRun>& aRun)
  {
    const Millis began = mNow;
    const Millis timeout =
      std::min(mOverload.mCallTimeout, aRun->mDeadline - mNow);
    SlotRequest request = Request(
      "call", mOverload.mCallPriority, mOverload.mCallObjective, timeout);
    if (mMeasures.mUrgency) {
      request.mNestedCall = true;
      request.mPriority = mOverload.mParentPriority;
      request.mObjective =
        std::min(request.mDeadline,
                 std::max(request.mObjective,
                          aRun->mObjective - mOverload.mParentRun * 0.5));
    }
    const auto ended = [=, this, &aParent](bool aAnswered) {
      aParent.mAdmission.OnCallEnded(kParent,
                                     aAnswered ? NestedCallEnd::Answered
                                               : NestedCallEnd::RefusedOrLate,
                                     began,
                                     mNow);
      if (aRun->mFailed) {
        return;
      }
      if (!aAnswered) {
        aRun->mFailed = true;
        ++mResult.mThrownAway;
        End(aParent, kParent, aRun->mStarted);
      } else if (--aRun->mCallsLeft == 0) {
        After(Vary(aParent, mOverload.mParentRun) * 0.5,
              [=, this, &aParent] { Finish(aParent, aRun); });
      }
    };
    Offer(
      mLower,
      request,
      false,
      4,
      [=, this](Target& aTarget) {
        const Millis started = mNow;
        After(Vary(aTarget, mOverload.mCallRun), [=, this, &aTarget] {
          ended(mNow <= began + timeout);
          End(aTarget, "call", started);
        });
      },
      [ended] { ended(false); });
  }

  void Finish(Target& aTarget, const std::shared_ptr<ParentRun>& aRun)
  {
    mResult.mInTime += mNow <= aRun->mObjective ? 1 : 0;
    End(aTarget, kParent, aRun->mStarted);
  }

  inline static const std::string kParent = "parent";
  Overload mOverload;
  Measures mMeasures;
  Random mRandom{ 42 };
  RunTimes mRunTimes;
  Targets mUpper;
  Targets mLower;
  std::priority_queue<Event> mEvents;
  std::uint64_t mNextEvent = 0;
  std::uint64_t mNextId = 1;
  Millis mNow;
  Result mResult;
};

constexpr std::array<Measures, 3> kMeasures = {
  Measures{ .mName = "none" },
  Measures{ .mName = "urgency", .mUrgency = true },
  Measures{ .mName = "urgency, admission",
            .mUrgency = true,
            .mAdmission = true }
};

/** Runs the experiment for 15 s with each of kMeasures and prints the
 *  results. */
std::array<Result, 3>
RunAll(const Overload& aOverload)
{
  std::array<Result, 3> results;
  std::printf("%s\n%-20s %8s %8s %12s %8s %8s %8s\n",
              aOverload.mName,
              "measures",
              "parents",
              "started",
              "thrown away",
              "in time",
              "others",
              "in time");
  for (std::size_t i = 0; i < kMeasures.size(); ++i) {
    const Result& result = results[i] =
      Simulation(aOverload, kMeasures[i]).Run(Seconds(15));
    std::printf("%-20s %8d %8d %12d %8d %8d %8d\n",
                kMeasures[i].mName,
                result.mParents,
                result.mStarted,
                result.mThrownAway,
                result.mInTime,
                result.mOthers,
                result.mOthersInTime);
  }
  return results;
}

// Load: print bureau, twice the usual job-status requests at portal and twice
// the usual place-order requests at orders, which are more urgent.
// Guards against runs at portal that are thrown away because a call of orders
// is refused.
TEST(CallOverloadExperiment, PortalCallingOrders)
{
  const auto results = RunAll({ .mName = "portal calling orders",
                                .mUpperTargets = 50,
                                .mLowerTargets = 30,
                                .mSlots = 6,
                                .mParentRate = 2058,
                                .mParentRun{ 120 },
                                .mParentObjective{ 500 },
                                .mParentTimeout{ 1000 },
                                .mParentPriority = 2,
                                .mOtherRate = 674,
                                .mOtherRun{ 150 },
                                .mOtherObjective{ 600 },
                                .mOtherPriority = 1,
                                .mCallRun{ 35 },
                                .mCallObjective{ 200 },
                                .mCallTimeout{ 400 },
                                .mCallPriority = 2,
                                .mSlowPeriods = true });
  EXPECT_LT(results[2].mThrownAway, results[0].mThrownAway / 4);
  EXPECT_GT(results[2].mInTime, results[0].mInTime);
}

// Load: nominations, balance-read at nomdesk calls flowfile, whose own
// requests, 1.5 times the usual ones, are less urgent.
// Guards against the most urgent route losing its runs to less urgent requests
// of the service that it calls.
TEST(CallOverloadExperiment, NomdeskCallingFlowfile)
{
  const auto results = RunAll({ .mName = "nomdesk calling flowfile",
                                .mUpperTargets = 66,
                                .mLowerTargets = 18,
                                .mSlots = 18,
                                .mParentRate = 2132,
                                .mParentRun{ 410 },
                                .mParentObjective{ 1000 },
                                .mParentTimeout{ 2500 },
                                .mParentPriority = 0,
                                .mOtherRate = 417,
                                .mOtherRun{ 414 },
                                .mOtherObjective{ 2500 },
                                .mOtherPriority = 1,
                                .mCallRun{ 100 },
                                .mCallObjective{ 400 },
                                .mCallTimeout{ 1200 },
                                .mCallPriority = 2 });
  EXPECT_LT(results[2].mThrownAway, results[0].mThrownAway / 4);
  EXPECT_GT(results[2].mInTime, results[0].mInTime);
}

} // namespace
} // namespace papayaway::gateway
