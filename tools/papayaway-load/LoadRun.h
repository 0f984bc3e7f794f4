#pragma once

#include <cstdint>
#include <memory>

#include <base/Random.h>
#include <net/DelayedCalls.h>
#include <net/HttpClient.h>

#include "LoadOptions.h"
#include "LoadReport.h"

namespace papayaway {

/** An open-loop load generator: sends calls at random arrival times without
 *  waiting for earlier calls, and stops the event loop when all have ended. */
class LoadRun
{
public:
  LoadRun(EventLoop& aLoop, const LoadOptions& aOptions);

  void Start();

  /** Starts no further calls; calls in flight continue. */
  void StopArrivals();

  [[nodiscard]] const LoadReport& Report() const { return mReport; }

private:
  struct Call
  {
    HttpCall mCall;
    Millis mArrival;
    int mRetriesLeft = 0;
  };

  void SendDueCalls();
  void StartCall(std::uint64_t aNumber, Millis aArrival);
  void Send(const std::shared_ptr<Call>& aCall);
  void OnResult(const std::shared_ptr<Call>& aCall, const HttpResult& aResult);
  void StopIfDone();
  [[nodiscard]] bool HasMoreArrivals() const;

  EventLoop& mLoop;
  const LoadOptions& mOptions;
  HttpClient mClient;
  DelayedCalls mDelayed;
  Random mRandom;
  LoadReport mReport;
  Millis mStart;
  Millis mNextArrival;
  std::uint64_t mArrivals = 0;
  std::uint64_t mCallsInFlight = 0;
  bool mArrivalsStopped = false;
};

} // namespace papayaway
