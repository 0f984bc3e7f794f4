#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <base/Millis.h>
#include <gateway/CapLease.h>
#include <gateway/CapMessages.h>
#include <gateway/CapPool.h>
#include <gateway/DesiredState.h>
#include <gateway/UsageCap.h>

namespace papayaway::gateway {

struct CapNodeOptions
{
  std::string mDataCentre;
  std::string mNode;
  /** Differs for each process of the node. */
  std::uint64_t mProcess = 0;
  CapRules mRules;
};

enum class CapAddressee
{
  /** The node CapSending::mNode. */
  Node,
  /** All other nodes of the own data centre. */
  DataCentre,
  /** The relays of all other data centres. */
  Relays,
};

/** A message that the caller has to send. */
struct CapSending
{
  CapAddressee mAddressee = CapAddressee::Node;
  std::string mNode;
  std::variant<CapReport, CapAnswer> mMessage;
};

/** What a node knows about the others. */
struct CapView
{
  /** The number of known nodes, including this one and nodes that can't be
   *  reached, but without those that have stopped for good. */
  std::size_t mNodes = 1;
  /** @return how many nodes that this node can reach come before it in the
   *    order in which nodes take over from a silent coordinator. */
  std::function<std::size_t()> mRank;
};

/**
 * The part of one node in enforcing the usage caps of tenants over all nodes.
 *
 * Each of N nodes owns 1/N of all caps and lends it, for a short time, to one
 * coordinator, which issues tokens at the rate that its share allows. Nodes
 * request tokens from their relay, and relays from the coordinator. The node
 * from which the last round came is the relay. Any node may act as a
 * coordinator at any time: it can only issue what was lent to it. So the caps
 * hold whatever view nodes have of each other.
 */
class CapNode
{
public:
  /** @param aNow all times are those of a clock that does not stop while the
   *    process is frozen. */
  CapNode(CapNodeOptions aOptions, Millis aNow);

  /** Sets the tenants. Those with a rate of 0 have no cap. Without any cap the
   *  node sends nothing. */
  void SetTenants(const std::vector<Tenant>& aTenants, Millis aNow);

  /** Decides whether a request may run. If it is held, the decision follows in
   *  TakeReleases().
   *  @param aId identifies the request if it is held. */
  CapDecision Admit(const std::string& aTenant,
                    std::uint64_t aId,
                    Millis aHoldUntil,
                    Millis aNow);

  /** Returns the token of a request that did not run. */
  void Credit(const std::string& aTenant, Millis aTokenExpiry, Millis aNow);

  void OnReport(const std::string& aFrom,
                const CapReport& aReport,
                Millis aNow);

  /** @param aFromOwnDataCentre whether the sender is in the own data centre. */
  void OnAnswer(const std::string& aFrom,
                bool aFromOwnDataCentre,
                const CapAnswer& aAnswer,
                const CapView& aView,
                Millis aNow);

  /** Must be called at least every 50 ms. */
  void Tick(const CapView& aView, Millis aNow);

  /** @return the messages to send now. */
  std::vector<CapSending> TakeSendings();

  std::vector<CapRelease> TakeReleases(Millis aNow);

  /** @return whether any tenant has a cap. */
  [[nodiscard]] bool HasCaps() const { return mHasCaps; }

  [[nodiscard]] std::size_t HeldRequests() const { return mCap.HeldRequests(); }

  /** @return the fraction of all caps that was lent to this node. */
  [[nodiscard]] double Share(Millis aNow) const { return mLeases.Share(aNow); }

  [[nodiscard]] bool IsCoordinator() const { return mIsCoordinator; }

private:
  /** A request for tokens that has not been answered. */
  struct Request
  {
    /** The requesting node; "" for this node itself. */
    std::string mNode;
    std::uint64_t mRequest = 0;
    std::uint32_t mWanted = 0;
    Millis mReceivedAt;
  };
  struct LastRound
  {
    std::uint64_t mNumber = 0;
    Millis mReceivedAt;
  };
  using Requests = std::map<std::string, std::vector<Request>>;
  struct Asked
  {
    Requests mRequests;
    Millis mSentAt;
  };
  /** The answers to other nodes, by node and request. */
  using Answers = std::map<std::pair<std::string, std::uint64_t>, CapAnswer>;

  void OnRound(const std::string& aFrom,
               bool aFromOwnDataCentre,
               const CapRound& aRound,
               const CapView& aView,
               Millis aNow);
  void StartRound(const CapView& aView, Millis aNow);
  /** Sends the sum of the parts that were lent for a forwarded round, if it has
   *  grown. */
  void ReportLoans();
  /** Answers the waiting requests, or requests their sum from the relay or the
   *  coordinator. */
  void ProcessRequests(Millis aNow);
  void AddRequest(const std::string& aTenant, Request aRequest);
  /** Adds the requests for tokens that this node needs itself. */
  void AddOwnRequests(Millis aNow);
  /** Answers the given requests from the own pool. */
  void GrantFromPool(const Requests& aRequests, Millis aNow);
  /** Divides a grant among the requests for a tenant.
   *  @param aExpiry when the granted tokens expire. */
  void Distribute(const std::string& aTenant,
                  const std::vector<Request>& aRequests,
                  const CapGrant& aGrant,
                  Millis aExpiry,
                  Answers& aAnswers,
                  Millis aNow);
  void Send(const std::string& aNode,
            std::variant<CapReport, CapAnswer> aMessage);
  /** Ends the role of the coordinator if this process did not run for so long
   *  that another one has taken over. Otherwise both would compete for the
   *  leases. */
  void ResignAfterFreeze(Millis aNow);
  /** Updates the pool's share from the leases. */
  void UpdateShare(Millis aNow);

  CapNodeOptions mOptions;
  CapCoordinator mSelf;
  Millis mStartedAt;
  bool mHasCaps = false;
  std::map<std::string, CapTerms> mTerms;
  UsageCap mCap;
  CapLender mLender;
  CapLeases mLeases;
  CapPool mPool;

  bool mIsCoordinator = false;
  Millis mRoundAt;
  std::uint64_t mOwnRound = 0;
  /** The newest round of another coordinator, and when it was received. */
  std::optional<CapRound> mRound;
  Millis mHeardAt;
  /** The last round of each coordinator. A repeated one must not be answered,
   *  because the same part would count twice. Entries are kept as long as their
   *  round may count. */
  std::map<CapCoordinator, LastRound> mLastRounds;
  /** The node that the round came from. */
  std::string mRoundFrom;
  /** Where tokens are requested; "" is this node's own pool. */
  std::optional<std::string> mSource;
  /** The parts lent for mRound by the nodes that it was forwarded to and by
   *  this one, and the sum that was last reported. */
  std::map<std::string, double> mLoans;
  double mReportedLoans = 0;

  Millis mStockCheckedAt;
  Requests mWaiting;
  /** The requests whose sums were requested from mSource, by request. */
  std::map<std::uint64_t, Asked> mAsked;
  std::uint64_t mLastRequest = 0;
  std::vector<CapSending> mSendings;
};

} // namespace papayaway::gateway
