#pragma once

#include <cstdint>
#include <memory>

#include <base/Random.h>
#include <net/DelayedCalls.h>
#include <net/HttpClient.h>

#include "LoadOptions.h"
#include "LoadReport.h"

namespace papayaway {

/** Sends calls at their arrival times, whether earlier calls have ended or
 *  not, and stops the loop when all have ended. */
class LoadRun
{
public:
  LoadRun(EventLoop& aLoop, const LoadOptions& aOptions);

  void Start();

  /** Ends the arrivals; the calls that are open go on. */
  void StopArrivals();

  [[nodiscard]] const LoadReport& Report() const { return mReport; }

private:
  struct Call
  {
    HttpCall mCall;
    Millis mArrival;
    int mRetriesLeft = 0;
  };

  void SendDue();
  void Arrive(std::uint64_t aNumber, Millis aArrival);
  void Send(const std::shared_ptr<Call>& aCall);
  void OnResult(const std::shared_ptr<Call>& aCall, const HttpResult& aResult);
  void StopIfDone();
  [[nodiscard]] bool HasArrivals() const;

  EventLoop& mLoop;
  const LoadOptions& mOptions;
  HttpClient mClient;
  DelayedCalls mDelayed;
  Random mRandom;
  LoadReport mReport;
  Millis mStart;
  Millis mNextArrival;
  std::uint64_t mArrivals = 0;
  std::uint64_t mOpen = 0;
  bool mStopped = false;
};

} // namespace papayaway
