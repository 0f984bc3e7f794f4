#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <lab/Cluster.h>

namespace papayaway {

/** Time limit for a promoted document to be in force on all nodes. */
constexpr Millis kInForceLimit = Seconds(4);
/** Time limit for all nodes to detect that an endpoint or node is gone. */
constexpr Millis kDetectionLimit = Seconds(8);
/** Timeout for conditions on which the design sets no time limit. */
constexpr Millis kLongTimeout = Seconds(25);

/** Fixture for tests with real processes: a stand-in for the platform, nodes
 *  and targets. */
class ClusterTest : public testing::Test
{
protected:
  using Names = std::vector<std::string>;

  ClusterTest();

  /** Starts the platform, nodes and targets, waits until all nodes know all
   *  endpoints and promotes aDocument. */
  void StartCluster(const std::vector<NodePlan>& aPlans,
                    const nlohmann::json& aDocument);

  /** Promotes aDocument through aNode.
   *  @return the status and the body of the response. */
  std::pair<int, nlohmann::json> Promote(const std::string& aNode,
                                         const nlohmann::json& aDocument,
                                         std::uint64_t aParent);

  /** @return the request that Promote() sends. */
  HttpCall PromotionCall(const std::string& aNode,
                         const nlohmann::json& aDocument,
                         std::uint64_t aParent);

  /** @return the JSON object that aNode's admin API returns for aPath; an empty
   *    object if the request fails. */
  nlohmann::json Report(const std::string& aNode, const std::string& aPath);

  /** @return the document version in force at aNode. */
  std::uint64_t VersionAt(const std::string& aNode);

  /** Waits until aVersion is in force on all of aNodes.
   *  @return the time it took, or nullopt at the timeout. */
  std::optional<Millis> WaitForVersion(const Names& aNodes,
                                       std::uint64_t aVersion,
                                       Millis aTimeout = kLongTimeout);

  /** Waits until each of aNodes knows exactly aCount ready endpoints. */
  std::optional<Millis> WaitForReady(const Names& aNodes,
                                     std::size_t aCount,
                                     Millis aTimeout = kLongTimeout);

  /** @return the entry for aMember in the status report of aObserver. */
  nlohmann::json Member(const std::string& aObserver,
                        const std::string& aMember);

  /** Waits until all aObservers report aMember in state aState. */
  std::optional<Millis> WaitForMember(const Names& aObservers,
                                      const std::string& aMember,
                                      const std::string& aState,
                                      Millis aTimeout = kLongTimeout);

  /** @return the document versions in the order in which aNode applied them. */
  std::vector<std::uint64_t> AppliedVersions(const std::string& aNode);

  /** @return the response to GET /stats of the target on aNode's host. */
  nlohmann::json Stats(const std::string& aNode);

  /** @return all nodes except aExcluded. */
  [[nodiscard]] Names AllBut(const Names& aExcluded) const;

  /** Sends a non-idempotent request with the idempotency key aKey through
   *  aNode. */
  HttpResult Bid(const std::string& aNode,
                 const std::string& aKey,
                 const std::string& aText = "bid");

  Cluster mCluster;
  /** The document version that StartCluster() has promoted. */
  std::uint64_t mVersion = 0;
};

/** @return plans of nodes with targets of the services ledger and hammer, named
 *    "ledger-0", "hammer-0" and so on. The nodes of each service alternate
 *    between the data centres nbo-1 and nbo-2. */
std::vector<NodePlan> PlansInTwoDataCentres(int aLedgers, int aHammers);

/** @return the document samples/<aName>, reduced to the region nairobi, which
 *    has the nodes of PlansInTwoDataCentres(). */
nlohmann::json SampleDocument(const std::string& aName);

/** @return SampleDocument("rafiki.json") with aDeadlineMs as the deadline of
 *    the first route. */
nlohmann::json SampleWithDeadline(int aDeadlineMs);

/** @return SampleDocument(aName) with deadlines of 10 s, which are met on a
 *    busy host too. */
nlohmann::json SampleWithLongDeadlines(const std::string& aName);

/** @return the value of the header Papayaway-Outcome, or "". */
std::string OutcomeOf(const HttpResult& aResult);

} // namespace papayaway
