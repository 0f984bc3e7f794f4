#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <lab/Cluster.h>

namespace papayaway {

/** A change of the document is in force everywhere within this time. */
constexpr Millis kInForce = Seconds(4);
/** A departing endpoint gets no calls after this time. */
constexpr Millis kFewSeconds = Seconds(8);
/** For conditions whose time the design does not bound. */
constexpr Millis kGenerous = Seconds(25);

/** Tests with real processes: the platform's stand-in, nodes and targets. */
class ClusterTest : public testing::Test
{
protected:
  using Names = std::vector<std::string>;

  ClusterTest();

  /** Starts everything, waits until all nodes know all endpoints and brings
   *  aDocument into force. */
  void Begin(const std::vector<NodePlan>& aPlans,
             const nlohmann::json& aDocument);

  /** Promotes through aNode. @return the status and the body. */
  std::pair<int, nlohmann::json> Promote(const std::string& aNode,
                                         const nlohmann::json& aDocument,
                                         std::uint64_t aParent);

  /** @return the request of Promote(). */
  HttpCall PromotionCall(const std::string& aNode,
                         const nlohmann::json& aDocument,
                         std::uint64_t aParent);

  /** @return the report of aNode; an empty object if it has none. */
  nlohmann::json Report(const std::string& aNode, const std::string& aPath);

  /** @return the document version in force at aNode. */
  std::uint64_t VersionAt(const std::string& aNode);

  /** Waits until all of aNodes have exactly this version in force. */
  std::optional<Millis> WaitForVersion(const Names& aNodes,
                                       std::uint64_t aVersion,
                                       Millis aTimeout = kGenerous);

  /** Waits until aNodes know this number of ready endpoints. */
  std::optional<Millis> WaitForReady(const Names& aNodes,
                                     std::size_t aCount,
                                     Millis aTimeout = kGenerous);

  /** @return the member aMember as aObserver knows it. */
  nlohmann::json Member(const std::string& aObserver,
                        const std::string& aMember);

  /** Waits until all aObservers know aMember in this state. */
  std::optional<Millis> WaitForMember(const Names& aObservers,
                                      const std::string& aMember,
                                      const std::string& aState,
                                      Millis aTimeout = kGenerous);

  /** @return the versions in the order in which aNode applied them. */
  std::vector<std::uint64_t> AppliedVersions(const std::string& aNode);

  /** @return GET /stats of the target beside aNode. */
  nlohmann::json Stats(const std::string& aNode);

  /** @return all nodes but these. */
  [[nodiscard]] Names AllBut(const Names& aExcluded) const;

  HttpResult Bid(const std::string& aNode,
                 const std::string& aKey,
                 const std::string& aText = "bid");

  Cluster mCluster;
  /** The version that is in force after Begin(). */
  std::uint64_t mVersion = 0;
};

/** @return nodes in the data centres nbo-1 and nbo-2 in turn, named
 *    "ledger-0" and so on, then "hammer-0" and so on. */
std::vector<NodePlan> TwoDataCentres(int aLedgers, int aHammers);

/** @return samples/<aName>, with the regions reduced to nairobi, where the
 *    nodes of TwoDataCentres() stand. */
nlohmann::json Sample(const std::string& aName);

/** @return Sample("rafiki.json") with another deadline of the first route. */
nlohmann::json Changed(int aDeadlineMs);

/** @return Sample(aName) with deadlines that a busy host keeps. */
nlohmann::json PatientSample(const std::string& aName);

/** @return the header Papayaway-Outcome, or "". */
std::string OutcomeOf(const HttpResult& aResult);

} // namespace papayaway
