#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include <base/Random.h>
#include <net/DelayedCalls.h>
#include <net/HttpClient.h>
#include <net/HttpServer.h>

#include "SlotQueue.h"
#include "TargetOptions.h"

namespace papayaway {

/** A configurable target for tests and benchmarks. It runs requests in a
 *  limited number of slots and can simulate faults. */
class Target
{
public:
  Target(EventLoop& aLoop,
         HttpClient& aClient,
         const TargetOptions& aOptions,
         Random aRandom);

  /** Serves a request.
   *  @param aConnections the number of open connections, for /stats. */
  void Serve(const std::shared_ptr<HttpExchange>& aExchange,
             std::size_t aConnections);

  /** Refuses new requests from now on; requests in flight continue. */
  void RefuseNewRequests() { mRefusesNewRequests = true; }

  /** @return whether no request is running or queued. */
  [[nodiscard]] bool IsIdle() const { return mRequests.empty(); }

private:
  // A request that is running or queued for a slot.
  struct ActiveRequest
  {
    std::shared_ptr<HttpExchange> mExchange;
    Millis mDeadline = Never();
    bool mIsRunning = false;
    bool mShouldFail = false;
    // The call in flight to the next target of the chain, or 0.
    HttpClient::CallId mNextCall = 0;
  };
  using RequestMap = std::unordered_map<SlotQueue::Id, ActiveRequest>;

  bool CountRequestAndCheckSilence(std::uint64_t aConnection);
  void Admit(const std::shared_ptr<HttpExchange>& aExchange);
  void Start(SlotQueue::Id aId);
  void CallNext(SlotQueue::Id aId, int aDepth);
  void RespondWithResult(SlotQueue::Id aId);
  void Finish(SlotQueue::Id aId, HttpResponse aResponse);
  void Abandon(SlotQueue::Id aId);
  void CountRun(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse Refusal(int aStatus, const char* aReason) const;
  [[nodiscard]] HttpResponse Stats(std::size_t aConnections) const;
  [[nodiscard]] HttpResponse Health() const;
  [[nodiscard]] HttpResponse Load() const;

  HttpClient& mClient;
  const TargetOptions& mOptions;
  Random mRandom;
  SlotQueue mSlots;
  Millis mStart = SteadyNow();
  SlotQueue::Id mLastId = 0;
  RequestMap mRequests;
  bool mRefusesNewRequests = false;
  std::uint64_t mRuns = 0;
  std::map<std::string, std::uint64_t> mRunsByKey;
  std::uint64_t mUncountedKeys = 0;
  std::map<std::uint64_t, int> mRequestsByConnection;
  DelayedCalls mDelayed;
};

} // namespace papayaway
