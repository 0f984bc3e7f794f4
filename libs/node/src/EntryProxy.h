#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <mesh/FactStore.h>
#include <net/HttpServer.h>
#include <traffic/EndpointPicker.h>
#include <traffic/RetryBudget.h>
#include <traffic/RouteTable.h>
#include <wire/Messages.h>

#include "NodeContext.h"
#include "PeerLinks.h"
#include "TargetProxy.h"

namespace papayaway {

struct EntryProxyHandlers
{
  /** Called after a call has been answered.
   *  @param aCustomer the value of the customer header, or empty. */
  std::function<
    void(const Call&, const std::string& aCustomer, int aStatus, Outcome)>
    mAnswered;
  /** @return whether the request is quarantined because it crashes targets. */
  std::function<bool(const Call&)> mIsQuarantined;
  /** @return whether the request may be sent to another target although the
   *    first one may have crashed on it. */
  std::function<bool(const Call&)> mMayRetry;
};

/** Accepts calls from callers and forwards each to an endpoint, on this or
 *  another node. */
class EntryProxy
{
public:
  EntryProxy(NodeContext& aContext,
             PeerLinks& aLinks,
             const FactStore& aFacts,
             TargetProxy& aTargetProxy,
             EntryProxyHandlers aHandlers);

  void OnRequest(const std::shared_ptr<HttpExchange>& aExchange);

  void OnSnapshot(std::shared_ptr<const RouteTable> aTable);
  void OnReply(const Reply& aReply);
  /** Fails or retries the calls that wait for a response on a lost link. */
  void OnLinkLost(const LinkInfo& aLink);

  /** @return the number of calls that are not answered yet. */
  [[nodiscard]] std::size_t InFlight() const { return mCalls.size(); }

private:
  struct ActiveCall
  {
    std::shared_ptr<HttpExchange> mExchange;
    Call mCall;
    std::string mCustomer;
    Millis mArrived;
    Millis mDeadline;
    Millis mSent;
    std::string mNode;
    int mSlots = 1;
    /** The link the call was sent on; 0 for the target of this host. */
    LinkId mLink = 0;
    ServedId mServed = 0;
    std::vector<std::string> mExcludedNodes;
    std::vector<std::string> mExcludedVersions;
    int mAttempts = 0;
    /** The attempt number in the caller's request. */
    int mArrivedAttempt = 0;
    /** The number of attempts that consumed a token of the retry budget. */
    int mRetries = 0;
    /** The last refusal, returned to the caller if no other endpoint accepts
     *  the call. */
    Reply mLastReply;
    std::unique_ptr<Timer> mTimeout;
  };

  void Dispatch(std::uint64_t aId);
  [[nodiscard]] const Endpoint* ChooseEndpoint(ActiveCall& aActive);
  [[nodiscard]] std::string ChooseVersion(const ActiveCall& aActive);
  /** @return a version that has endpoints but a share of zero, for a call that
   *    all versions with a share have refused; "" if there is none. */
  [[nodiscard]] std::string VersionWithoutShare(
    const ActiveCall& aActive) const;
  void HandleReply(std::uint64_t aId, Reply aReply);
  [[nodiscard]] bool TryRetry(ActiveCall& aActive, const Reply& aReply);
  void OnTimeout(std::uint64_t aId);
  void OnAbandoned(std::uint64_t aId);
  void CancelAttempt(const ActiveCall& aActive);
  void Answer(std::uint64_t aId, const Reply& aReply);
  void Respond(HttpExchange& aExchange, const Reply& aReply);
  /** Answers a call that is refused without being sent to an endpoint. */
  void Refuse(HttpExchange& aExchange, const Call& aCall, const Reply& aReply);
  [[nodiscard]] std::string CustomerOf(const HttpRequest& aRequest) const;

  NodeContext& mContext;
  PeerLinks& mLinks;
  const FactStore& mFacts;
  TargetProxy& mTargetProxy;
  EntryProxyHandlers mHandlers;
  std::shared_ptr<const RouteTable> mTable;
  EndpointPicker mPicker;
  std::uint64_t mNextId = 1;
  std::unordered_map<std::uint64_t, ActiveCall> mCalls;
  RetryBudget mRetryBudget;
  prometheus::Counter& mRetriesRefused;
  prometheus::Counter& mTooManyCalls;
};

} // namespace papayaway
