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

/** Runs the requests of the stand-in of a target. */
class Target
{
public:
  Target(EventLoop& aLoop,
         HttpClient& aClient,
         const TargetOptions& aOptions,
         Random aRandom);

  /** Serves aExchange. @param aConnections the open connections, for /stats.
   */
  void Serve(const std::shared_ptr<HttpExchange>& aExchange,
             std::size_t aConnections);

  /** Refuses new requests from now on; those in flight go on. */
  void RefuseNew() { mRefusesNew = true; }

  /** @return whether no request runs or waits. */
  [[nodiscard]] bool IsIdle() const { return mWork.empty(); }

private:
  // A request that runs or waits for a slot.
  struct Work
  {
    std::shared_ptr<HttpExchange> mExchange;
    Millis mDeadline = Never();
    bool mRuns = false;
    bool mFails = false;
    // The call to the next target of a chain, or 0.
    HttpClient::CallId mNextCall = 0;
  };
  using WorkMap = std::unordered_map<SlotQueue::Id, Work>;

  bool IsSilent(std::uint64_t aConnection);
  void Admit(const std::shared_ptr<HttpExchange>& aExchange);
  void Start(SlotQueue::Id aId);
  void CallNext(SlotQueue::Id aId, int aDepth);
  void AnswerWork(SlotQueue::Id aId);
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
  WorkMap mWork;
  bool mRefusesNew = false;
  std::uint64_t mRuns = 0;
  std::map<std::string, std::uint64_t> mRunsByKey;
  std::uint64_t mUncountedKeys = 0;
  std::map<std::uint64_t, int> mRequestsByConnection;
  DelayedCalls mDelayed;
};

} // namespace papayaway
