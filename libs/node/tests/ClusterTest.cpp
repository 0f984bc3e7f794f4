#include "ClusterTest.h"

#include <algorithm>
#include <fstream>

namespace papayaway {

ClusterTest::ClusterTest()
  : mCluster({ .mPrograms = PAPAYAWAY_PROGRAM_DIR })
{
}

void
ClusterTest::StartCluster(const std::vector<NodePlan>& aPlans,
                          const nlohmann::json& aDocument)
{
  mCluster.StartPlatform();
  mCluster.StartAll(aPlans);
  const auto targets =
    std::count_if(aPlans.begin(), aPlans.end(), [](const NodePlan& aPlan) {
      return !aPlan.mService.empty();
    });
  ASSERT_TRUE(
    WaitForReady(mCluster.NodeNames(), static_cast<std::size_t>(targets)));
  const auto [status, body] =
    Promote(mCluster.NodeNames().front(), aDocument, 0);
  ASSERT_EQ(status, 200) << body;
  mVersion = body["version"].get<std::uint64_t>();
  ASSERT_TRUE(WaitForVersion(mCluster.NodeNames(), mVersion));
}

std::pair<int, nlohmann::json>
ClusterTest::Promote(const std::string& aNode,
                     const nlohmann::json& aDocument,
                     std::uint64_t aParent)
{
  const HttpResult result =
    mCluster.Send(PromotionCall(aNode, aDocument, aParent));
  return { result.mResponse.mStatus,
           nlohmann::json::parse(result.mResponse.mBody, nullptr, false) };
}

HttpCall
ClusterTest::PromotionCall(const std::string& aNode,
                           const nlohmann::json& aDocument,
                           std::uint64_t aParent)
{
  const nlohmann::json body{ { "environment", "production" },
                             { "parent", aParent },
                             { "document", aDocument } };
  return {
    .mAddress = mCluster.NodeProcess(aNode).Address("admin"),
    .mRequest = { .mMethod = "POST",
                  .mPath = "/v1/promote",
                  .mHeaders = { { "Authorization",
                                  "Bearer " +
                                    mCluster.Options().mOperatorToken } },
                  .mBody = body.dump() },
    .mTimeout = kLongTimeout
  };
}

nlohmann::json
ClusterTest::Report(const std::string& aNode, const std::string& aPath)
{
  const auto [status, body] = mCluster.Admin(aNode, "GET", aPath);
  return status == 200 && body.is_object() ? body : nlohmann::json::object();
}

std::uint64_t
ClusterTest::VersionAt(const std::string& aNode)
{
  const nlohmann::json status = Report(aNode, "/v1/status");
  return status.empty() ? 0
                        : status["document"]["version"].get<std::uint64_t>();
}

std::optional<Millis>
ClusterTest::WaitForVersion(const Names& aNodes,
                            std::uint64_t aVersion,
                            Millis aTimeout)
{
  return mCluster.WaitUntil(
    [&] {
      return std::all_of(
        aNodes.begin(), aNodes.end(), [&](const std::string& aNode) {
          return VersionAt(aNode) == aVersion;
        });
    },
    aTimeout);
}

std::optional<Millis>
ClusterTest::WaitForReady(const Names& aNodes,
                          std::size_t aCount,
                          Millis aTimeout)
{
  const auto knowsAll = [&](const std::string& aNode) {
    const nlohmann::json endpoints =
      Report(aNode, "/v1/endpoints")
        .value("endpoints", nlohmann::json::array());
    const auto ready =
      std::count_if(endpoints.begin(), endpoints.end(), [](const auto& aEntry) {
        return aEntry["state"] == "ready";
      });
    return static_cast<std::size_t>(ready) == aCount;
  };
  return mCluster.WaitUntil(
    [&] { return std::all_of(aNodes.begin(), aNodes.end(), knowsAll); },
    aTimeout);
}

nlohmann::json
ClusterTest::Member(const std::string& aObserver, const std::string& aMember)
{
  const nlohmann::json status = Report(aObserver, "/v1/status");
  for (const auto& member : status.value("members", nlohmann::json::array())) {
    if (member["node"] == aMember) {
      return member;
    }
  }
  return { { "state", "" }, { "incarnation", 0 } };
}

std::optional<Millis>
ClusterTest::WaitForMember(const Names& aObservers,
                           const std::string& aMember,
                           const std::string& aState,
                           Millis aTimeout)
{
  return mCluster.WaitUntil(
    [&] {
      return std::all_of(
        aObservers.begin(), aObservers.end(), [&](const std::string& aNode) {
          return Member(aNode, aMember)["state"] == aState;
        });
    },
    aTimeout);
}

std::vector<std::uint64_t>
ClusterTest::AppliedVersions(const std::string& aNode)
{
  std::vector<std::uint64_t> versions;
  const nlohmann::json timeline = Report(aNode, "/v1/timeline");
  for (const auto& event : timeline.value("events", nlohmann::json::array())) {
    if (event["kind"] == "document-applied") {
      versions.push_back(std::stoull(event["version"].get<std::string>()));
    }
  }
  return versions;
}

nlohmann::json
ClusterTest::Stats(const std::string& aNode)
{
  const HttpResult result =
    mCluster.Send({ .mAddress = mCluster.TargetProcess(aNode).Address("http"),
                    .mRequest = { .mPath = "/stats" } });
  const auto stats =
    nlohmann::json::parse(result.mResponse.mBody, nullptr, false);
  return stats.is_object() ? stats : nlohmann::json::object();
}

ClusterTest::Names
ClusterTest::AllBut(const Names& aExcluded) const
{
  Names rest;
  for (const std::string& name : mCluster.NodeNames()) {
    if (std::find(aExcluded.begin(), aExcluded.end(), name) ==
        aExcluded.end()) {
      rest.push_back(name);
    }
  }
  return rest;
}

HttpResult
ClusterTest::Bid(const std::string& aNode,
                 const std::string& aKey,
                 const std::string& aText)
{
  return mCluster.CallThrough(aNode,
                              { .mMethod = "POST",
                                .mPath = "/bids/lot-7",
                                .mHeaders = { { "Idempotency-Key", aKey } },
                                .mBody = aText });
}

std::vector<NodePlan>
PlansInTwoDataCentres(int aLedgers, int aHammers)
{
  std::vector<NodePlan> plans;
  const auto add = [&](const std::string& aService, int aCount) {
    for (int i = 0; i < aCount; ++i) {
      plans.push_back({ .mName = aService + "-" + std::to_string(i),
                        .mDataCentre = i % 2 == 0 ? "nbo-1" : "nbo-2",
                        .mRegion = "nairobi",
                        .mService = aService });
    }
  };
  add("ledger", aLedgers);
  add("hammer", aHammers);
  return plans;
}

nlohmann::json
SampleDocument(const std::string& aName)
{
  std::ifstream file(std::string(PAPAYAWAY_SOURCE_DIR "/samples/") + aName);
  nlohmann::json document = nlohmann::json::parse(file);
  document["regions"].erase(1);
  return document;
}

nlohmann::json
SampleWithDeadline(int aDeadlineMs)
{
  nlohmann::json document = SampleDocument("rafiki.json");
  document["routes"][0]["deadline_ms"] = aDeadlineMs;
  return document;
}

nlohmann::json
SampleWithLongDeadlines(const std::string& aName)
{
  nlohmann::json document = SampleDocument(aName);
  for (auto& route : document["routes"]) {
    route["deadline_ms"] = 10000;
  }
  return document;
}

std::string
OutcomeOf(const HttpResult& aResult)
{
  return std::string(aResult.mResponse.mHeaders.Value("Papayaway-Outcome"));
}

} // namespace papayaway
