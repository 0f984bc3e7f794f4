#pragma once

#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <base/Millis.h>

namespace papayaway::sidecar {

/** The metrics of a sidecar; docs/metrics.md lists them. */
class SidecarMetrics
{
public:
  SidecarMetrics();
  SidecarMetrics(const SidecarMetrics&) = delete;
  SidecarMetrics& operator=(const SidecarMetrics&) = delete;

  /** @return all metrics in the Prometheus text format. */
  [[nodiscard]] std::string Text() const;

  /** Counts a caller's request and records the time to its response. */
  void OnRequest(const std::string& aRoute,
                 const std::string& aOutcome,
                 Millis aTime);

  /** Counts a request that was refused without being run, by reason. */
  void OnRefused(const std::string& aReason);

  /** Counts a run at the local target by outcome and records its time. */
  void OnRun(const std::string& aOutcome, Millis aTime);

  /** Counts a request whose caller disconnected, on the caller's node.
   *  @param aStage how far the request had come. */
  void OnAbandoned(const std::string& aStage);

  /** Counts a cancellation on the node of the target.
   *  @param aState the state of the call that was cancelled. */
  void OnCancelled(const std::string& aState);

  /** Counts a call that the node of the target handed back because it limits
   *  what the target gets, by the limit. */
  void OnHandedBack(const std::string& aReason);

  /** Counts a check-in by what became of it. */
  void OnCheckIn(const std::string& aOutcome);

  /** Counts a call to the platform's store by kind of call and outcome. */
  void OnStoreCall(const std::string& aCall, const std::string& aOutcome);

private:
  prometheus::Registry mRegistry;
  prometheus::Family<prometheus::Counter>& mRequests;
  prometheus::Family<prometheus::Histogram>& mRequestTimes;
  prometheus::Family<prometheus::Counter>& mRefused;
  prometheus::Family<prometheus::Counter>& mRuns;
  prometheus::Family<prometheus::Counter>& mAbandoned;
  prometheus::Family<prometheus::Counter>& mCancelled;
  prometheus::Family<prometheus::Counter>& mStoreCalls;
  prometheus::Family<prometheus::Counter>& mCheckIns;
  prometheus::Family<prometheus::Counter>& mHandedBack;

public:
  prometheus::Histogram& mRunTimes;
  prometheus::Counter& mNestedCalls;
  prometheus::Counter& mParentsRefused;
  prometheus::Counter& mRetries;
  prometheus::Counter& mRetriesDenied;
  prometheus::Counter& mBadInput;
  prometheus::Counter& mTargetCrashes;
  prometheus::Counter& mTargetEndsWithoutSuspects;
  prometheus::Counter& mLogLinesDropped;
  prometheus::Counter& mTargetConnections;
  prometheus::Counter& mReadingPauses;
  prometheus::Counter& mLoopDelays;
  prometheus::Counter& mPlacementRefusals;
  prometheus::Gauge& mRunning;
  prometheus::Gauge& mWaiting;
  prometheus::Gauge& mAdmissionRate;
  prometheus::Gauge& mLimitedRoutes;
  prometheus::Gauge& mCallerConnections;
  prometheus::Gauge& mLinks;
  prometheus::Gauge& mStateVersion;
  prometheus::Gauge& mStoreEra;
  prometheus::Gauge& mStateAge;
  prometheus::Gauge& mLoopLag;
  prometheus::Gauge& mEvacuations;
  prometheus::Gauge& mOwnEvacuation;
  prometheus::Gauge& mCapShare;
  prometheus::Gauge& mCapHeld;
};

} // namespace papayaway::sidecar
