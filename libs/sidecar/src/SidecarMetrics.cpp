#include <sidecar/SidecarMetrics.h>

#include <prometheus/text_serializer.h>

namespace papayaway::sidecar {

namespace {

/** Bucket boundaries for durations, in milliseconds. */
const prometheus::Histogram::BucketBoundaries&
DurationBuckets()
{
  static const prometheus::Histogram::BucketBoundaries buckets = {
    1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 800, 1200, 2000, 5000
  };
  return buckets;
}

prometheus::Family<prometheus::Counter>&
CounterFamily(prometheus::Registry& aRegistry,
              const char* aName,
              const char* aHelp)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(aRegistry);
}

prometheus::Counter&
Counter(prometheus::Registry& aRegistry, const char* aName, const char* aHelp)
{
  return CounterFamily(aRegistry, aName, aHelp).Add({});
}

prometheus::Gauge&
Gauge(prometheus::Registry& aRegistry, const char* aName, const char* aHelp)
{
  return prometheus::BuildGauge()
    .Name(aName)
    .Help(aHelp)
    .Register(aRegistry)
    .Add({});
}

prometheus::Family<prometheus::Histogram>&
HistogramFamily(prometheus::Registry& aRegistry,
                const char* aName,
                const char* aHelp)
{
  return prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(
    aRegistry);
}

} // namespace

SidecarMetrics::SidecarMetrics()
  : mRequests(CounterFamily(mRegistry,
                            "papayaway_requests_total",
                            "Requests of callers by route and outcome"))
  , mRequestTimes(
      HistogramFamily(mRegistry,
                      "papayaway_request_milliseconds",
                      "Time from a request to its answer, by route"))
  , mRefused(CounterFamily(mRegistry,
                           "papayaway_refused_total",
                           "Requests refused as not run, by reason"))
  , mRuns(CounterFamily(mRegistry,
                        "papayaway_runs_total",
                        "Requests sent to the local target, by outcome"))
  , mAbandoned(CounterFamily(mRegistry,
                             "papayaway_abandoned_total",
                             "Requests of callers that disconnected, by stage"))
  , mCancelled(CounterFamily(mRegistry,
                             "papayaway_cancelled_total",
                             "Calls cancelled at the target's node, by state"))
  , mStoreCalls(CounterFamily(mRegistry,
                              "papayaway_store_calls_total",
                              "Calls of the platform's store by outcome"))
  , mCheckIns(CounterFamily(mRegistry,
                            "papayaway_check_ins_total",
                            "Check-ins by what became of them"))
  , mHandedBack(CounterFamily(mRegistry,
                              "papayaway_handed_back_total",
                              "Calls handed back by a limit of the target"))
  , mRunTimes(HistogramFamily(mRegistry,
                              "papayaway_run_milliseconds",
                              "Time of requests at the local target")
                .Add({}, DurationBuckets()))
  , mNestedCalls(Counter(mRegistry,
                         "papayaway_nested_calls_total",
                         "Requests recognised as calls of the local target"))
  , mParentsRefused(
      Counter(mRegistry,
              "papayaway_parents_refused_total",
              "Requests not started because calls of their route are refused"))
  , mRetries(Counter(mRegistry,
                     "papayaway_repeats_total",
                     "Requests sent to a second target"))
  , mRetriesDenied(Counter(mRegistry,
                           "papayaway_repeats_denied_total",
                           "Repeats that the budget did not allow"))
  , mBadInput(Counter(mRegistry,
                      "papayaway_bad_input_total",
                      "Check-ins, rows and messages that can't be read"))
  , mTargetCrashes(Counter(mRegistry,
                           "papayaway_target_crashes_total",
                           "Crashes of targets of all nodes, as reported"))
  , mTargetEndsWithoutSuspects(
      Counter(mRegistry,
              "papayaway_target_ends_without_suspects_total",
              "Unannounced ends of the local target without lost requests"))
  , mLogLinesDropped(Counter(mRegistry,
                             "papayaway_log_lines_dropped_total",
                             "Lines dropped because the log's reader was slow"))
  , mTargetConnections(Counter(mRegistry,
                               "papayaway_target_connections_total",
                               "Connections opened to the local target"))
  , mReadingPauses(Counter(mRegistry,
                           "papayaway_reading_pauses_total",
                           "Pauses of reading from a caller's connection"))
  , mLoopDelays(Counter(mRegistry,
                        "papayaway_loop_delays_total",
                        "Ticks that ran late by a quarter second or more"))
  , mPlacementRefusals(
      Counter(mRegistry,
              "papayaway_placement_refusals_total",
              "Calls that may not run at the local target's place"))
  , mRunning(Gauge(mRegistry,
                   "papayaway_running",
                   "Requests running at the local target"))
  , mWaiting(Gauge(mRegistry,
                   "papayaway_waiting",
                   "Requests waiting for a slot of the local target"))
  , mAdmissionRate(Gauge(mRegistry,
                         "papayaway_admission_rate",
                         "Requests a second admitted by the local target's "
                         "node, -1 without a limit"))
  , mLimitedRoutes(Gauge(mRegistry,
                         "papayaway_limited_routes",
                         "Routes with fewer starts because calls are refused"))
  , mCallerConnections(Gauge(mRegistry,
                             "papayaway_caller_connections",
                             "Open connections of callers"))
  , mLinks(Gauge(mRegistry, "papayaway_links", "Open links to other nodes"))
  , mStateVersion(Gauge(mRegistry,
                        "papayaway_desired_state_version",
                        "Version of the desired state in force"))
  , mStoreEra(Gauge(mRegistry,
                    "papayaway_store_era",
                    "Newest era that the platform's store has reported"))
  , mStateAge(Gauge(mRegistry,
                    "papayaway_desired_state_age_seconds",
                    "Time since the desired state came into force"))
  , mLoopLag(Gauge(mRegistry,
                   "papayaway_loop_lag_milliseconds",
                   "How late the last timer of the loop ran"))
  , mEvacuations(
      Gauge(mRegistry, "papayaway_evacuations", "Evacuated data centres"))
  , mOwnEvacuation(Gauge(mRegistry,
                         "papayaway_own_evacuation",
                         "Whether the data centre of this node is evacuated"))
  , mCapShare(Gauge(mRegistry,
                    "papayaway_cap_share",
                    "Fraction of all usage caps that this node issues"))
  , mCapHeld(Gauge(mRegistry,
                   "papayaway_cap_held",
                   "Requests waiting for a token of their tenant"))
{
}

std::string
SidecarMetrics::Text() const
{
  return prometheus::TextSerializer().Serialize(mRegistry.Collect());
}

void
SidecarMetrics::OnRequest(const std::string& aRoute,
                          const std::string& aOutcome,
                          Millis aTime)
{
  mRequests.Add({ { "route", aRoute }, { "outcome", aOutcome } }).Increment();
  mRequestTimes.Add({ { "route", aRoute } }, DurationBuckets())
    .Observe(aTime.mCount);
}

void
SidecarMetrics::OnRefused(const std::string& aReason)
{
  mRefused.Add({ { "reason", aReason } }).Increment();
}

void
SidecarMetrics::OnRun(const std::string& aOutcome, Millis aTime)
{
  mRuns.Add({ { "outcome", aOutcome } }).Increment();
  mRunTimes.Observe(aTime.mCount);
}

void
SidecarMetrics::OnAbandoned(const std::string& aStage)
{
  mAbandoned.Add({ { "stage", aStage } }).Increment();
}

void
SidecarMetrics::OnCancelled(const std::string& aState)
{
  mCancelled.Add({ { "state", aState } }).Increment();
}

void
SidecarMetrics::OnHandedBack(const std::string& aReason)
{
  mHandedBack.Add({ { "reason", aReason } }).Increment();
}

void
SidecarMetrics::OnCheckIn(const std::string& aOutcome)
{
  mCheckIns.Add({ { "outcome", aOutcome } }).Increment();
}

void
SidecarMetrics::OnStoreCall(const std::string& aCall,
                            const std::string& aOutcome)
{
  mStoreCalls.Add({ { "call", aCall }, { "outcome", aOutcome } }).Increment();
}

} // namespace papayaway::sidecar
