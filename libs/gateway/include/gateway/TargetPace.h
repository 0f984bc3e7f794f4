#pragma once

#include <optional>
#include <span>

#include <base/Millis.h>
#include <gateway/TargetChoice.h>

namespace papayaway::gateway {

/** How fast the rate of a starting or recovering target changes. */
struct TargetPaceOptions
{
  /** The rate at which a ramp starts, as a fraction of the even share. */
  double mInitialShare = 0.2;
  /** The lowest rate of a ramp, and the rate of trials at a failing target, in
   *  requests a second. */
  double mMinRate = 2;
  /** The factor by which the rate rises after a good interval; about 2 s from
   *  a fifth of the even share to all of it. */
  double mIncrease = 1.5;
  /** The factor by which it rises while runs are slow, but no slower than at
   *  lower rates: some targets get fast only by running requests. */
  double mSlowIncrease = 1.15;
  /** The factor by which it falls after a bad interval. */
  double mDecrease = 0.7;
  /** An interval in which runs take more than this many times as long as at the
   *  peers is slow. Healthy targets differ by up to 1.6. */
  double mSlowRatio = 1.8;
  /** The rate falls only after it has been slow for this long; until then it is
   *  held. Targets are slow for 0.6 s at a time without being overloaded. */
  Millis mSlowTime{ 1000 };
  /** The shortest interval between two changes of the rate. */
  Millis mInterval{ 250 };
  /** The fraction of failures above that of the peers that makes an interval
   *  bad. */
  double mFailureExcess = 0.1;
  /** A target is failing if this fraction of its last responses, above that of
   *  the peers, are failures. */
  double mFailing = 0.6;
  /** A target that has open requests and has answered nothing for this long is
   *  failing. */
  Millis mSilence = Seconds(1);
  /** Good responses in a row after which a failing target is ramped up. */
  int mGoodTrials = 2;
  /** A target that got nothing for this long while its peers work is ramped up
   *  when requests come again, for example after an evacuation. */
  Millis mIdle = Seconds(5);

  bool operator==(const TargetPaceOptions&) const = default;
};

/** The other targets of a service, as their nodes report them. */
struct PeerSummary
{
  /** Targets that get their even share. */
  int mUnlimited = 0;
  /** Targets whose rate is limited; the one of this node is not counted. */
  int mLimited = 0;
  /** The requests a second of one target if all had the same. */
  double mEvenShare = 0;
  /** The fraction of the slots of the unlimited targets that is in use. */
  double mUtilization = 0;
  /** The mean fraction of runs that succeed at the unlimited targets. */
  double mSuccessRate = 1;
  /** The mean run time at the unlimited targets. */
  Millis mRunTime;

  bool operator==(const PeerSummary&) const = default;
};

/** @param aPeers the ready targets of the service other than the one of this
 *    node. Those of the same data centre are used if there are at least two.
 *  @param aOwn the load of the target of this node. */
PeerSummary SummarizePeers(std::span<const TargetCandidate> aPeers,
                           const TargetLoad& aOwn);

/**
 * Limits the requests to a target that starts or recovers, until it carries its
 * even share.
 *
 * A ramp starts at a low rate. The rate rises while runs take about as long as
 * at the peers, is held while they are slow or wait for a slot, and falls if
 * they stay slow or fail. The ramp ends at the even share. A target that fails
 * or is silent gets a few trials a second; after two good responses a ramp
 * starts.
 *
 * While no target of the service is without a limit there is nowhere else to
 * send requests: the rate is then only told and nothing is handed back.
 */
class TargetPace
{
public:
  enum class State
  {
    Unlimited,
    Ramping,
    /** Only trials are sent. */
    Failing,
  };

  TargetPace() = default;
  explicit TargetPace(TargetPaceOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /** Starts a ramp, for a new process of the target. */
  void Start(Millis aNow);

  /** Ends any limit, because the service does not use it. */
  void End() { mState = State::Unlimited; }

  /** Applies the loads of the peers and of the target. To be called
   *  periodically.
   *  @param aOwn the load of the target, with the rate that it tolerates while
   *    it is cold as its admission rate.
   *  @param aOldestOpen how long the oldest open request has run. */
  void OnTick(const PeerSummary& aPeers,
              const TargetLoad& aOwn,
              Millis aOldestOpen,
              Millis aNow);

  /** Counts a request that is sent to the target. */
  void OnSent(Millis aNow);

  /** Applies a response.
   *  @param aRunTime how long the request ran.
   *  @param aUsual how long requests of its route usually run at all targets;
   *    nullopt if that is unknown, then it is compared with all runs of the
   *    peers.
   *  @param aWaited whether it waited for a slot. */
  void OnResponse(Millis aRunTime,
                  std::optional<Millis> aUsual,
                  bool aWaited,
                  Millis aNow);

  /** Applies a failed response, a lost connection or a missed deadline. */
  void OnFailure(Millis aNow);

  /** @return whether a request may be sent now. */
  [[nodiscard]] bool MayAdmit(Millis aNow) const;

  /** @return requests a second; nullopt if there is no limit. */
  [[nodiscard]] std::optional<double> Rate() const;

  [[nodiscard]] State Current() const { return mState; }

private:
  /** What the responses of one interval show. */
  struct Interval
  {
    Millis mStarted;
    int mResponses = 0;
    int mFailures = 0;
    int mWaited = 0;
    /** The sums of the run times whose usual times are known. */
    Millis mRunTime;
    Millis mUsual;
  };

  void EndInterval(Millis aNow);
  void SetFailing(Millis aNow);
  /** @return whether the other targets are too few to carry what this one hands
   *    back, for example because the whole service has just started. */
  [[nodiscard]] bool MostAreLimited() const;
  /** @return the lowest rate of a ramp now. */
  [[nodiscard]] double Floor() const;
  [[nodiscard]] double Tokens(Millis aNow) const;
  [[nodiscard]] bool IsFailing() const;
  /** @return whether the rate is all that the target would get without it. */
  [[nodiscard]] bool IsComplete() const;

  TargetPaceOptions mOptions;
  State mState = State::Unlimited;
  PeerSummary mPeers;
  /** The requests a second that the target can run with all slots in use. */
  double mCapacity = 0;
  std::optional<double> mColdRate;
  double mRate = 0;
  Interval mInterval;
  /** Since when all intervals were slow. */
  std::optional<Millis> mSlowSince;
  /** The smallest ratio of run times to usual ones in an interval of this
   *  ramp. */
  double mBestRatio = 0;
  /** The fraction of recent responses that failed, as a moving average. */
  double mFailureRate = 0;
  int mGoodTrials = 0;
  Millis mLastSent;
  /** When the peers last had few requests. */
  Millis mPeersIdleAt;
  Millis mLastAnswer;
  double mTokens = 0;
  Millis mTokensAt;
};

} // namespace papayaway::gateway
