#include <algorithm>
#include <csignal>
#include <fstream>

#include "ClusterTest.h"

namespace papayaway {
namespace {

class DocumentFailure : public ClusterTest
{
protected:
  /** @return the relay of a data centre that aNode reports, or "". */
  std::string Relay(const std::string& aNode, const std::string& aDataCentre)
  {
    return Report(aNode, "/v1/status")["relay"].value(aDataCentre, "");
  }

  /** Waits until aNode knows the relay of nbo-2.
   *  @return the relay, or "" at the timeout. */
  std::string WaitForRelay(const std::string& aNode)
  {
    mCluster.WaitUntil([&] { return !Relay(aNode, "nbo-2").empty(); });
    return Relay(aNode, "nbo-2");
  }
};

// Guards invariant 10 when the relay of the other data centre dies just before
// a promotion: the document must be in force in time on all other nodes.
TEST_F(DocumentFailure, InForceWhenRelayDies)
{
  ASSERT_NO_FATAL_FAILURE(
    StartCluster(PlansInTwoDataCentres(8, 0), SampleWithDeadline(500)));
  const std::string relay = WaitForRelay("ledger-0");
  ASSERT_FALSE(relay.empty());
  mCluster.NodeProcess(relay).Kill();
  const auto [status, body] =
    Promote("ledger-0", SampleWithDeadline(600), mVersion);
  ASSERT_EQ(status, 200) << body;
  const auto time =
    WaitForVersion(AllBut({ relay }), body["version"].get<std::uint64_t>());
  ASSERT_TRUE(time);
  EXPECT_LT(time->mCount, kInForceLimit.mCount);
}

// Guards invariant 10 when a third of the nodes dies right after a promotion,
// while the document is being distributed: it must be in force in time on all
// other nodes.
TEST_F(DocumentFailure, InForceWhenThirdOfNodesDies)
{
  ASSERT_NO_FATAL_FAILURE(
    StartCluster(PlansInTwoDataCentres(8, 0), SampleWithDeadline(500)));
  const std::string relay = WaitForRelay("ledger-0");
  Names victims{ "ledger-2", "ledger-3", "ledger-4" };
  // InForceWhenRelayDies covers the death of a relay.
  std::replace(victims.begin(), victims.end(), relay, std::string("ledger-5"));
  const auto [status, body] =
    Promote("ledger-0", SampleWithDeadline(600), mVersion);
  for (const std::string& victim : victims) {
    mCluster.NodeProcess(victim).Kill();
  }
  ASSERT_EQ(status, 200) << body;
  const auto time =
    WaitForVersion(AllBut(victims), body["version"].get<std::uint64_t>());
  ASSERT_TRUE(time);
  EXPECT_LT(time->mCount, kInForceLimit.mCount);
}

// Guards invariants 1 and 10 when old and new updates arrive together: a node
// that was paused during two promotions must end with the newer version and
// must not go back to an older one.
TEST_F(DocumentFailure, PausedNodeCatchesUp)
{
  ASSERT_NO_FATAL_FAILURE(
    StartCluster(PlansInTwoDataCentres(6, 0), SampleWithDeadline(500)));
  const std::string paused = "ledger-2";
  mCluster.NodeProcess(paused).Signal(SIGSTOP);
  std::uint64_t version = mVersion;
  for (const int deadline : { 600, 700 }) {
    const auto [status, body] =
      Promote("ledger-0", SampleWithDeadline(deadline), version);
    ASSERT_EQ(status, 200) << body;
    version = body["version"].get<std::uint64_t>();
    ASSERT_TRUE(WaitForVersion(AllBut({ paused }), version));
  }
  mCluster.NodeProcess(paused).Signal(SIGCONT);
  EXPECT_TRUE(WaitForVersion({ paused }, version));
  for (const std::string& node : mCluster.NodeNames()) {
    const auto applied = AppliedVersions(node);
    EXPECT_TRUE(std::is_sorted(applied.begin(), applied.end())) << node;
    EXPECT_EQ(applied.back(), version) << node;
  }
}

// Guards invariants 1 and 10 when two operators promote concurrently with the
// same parent: one gets a conflict response that contains the accepted version,
// and must not replace it.
TEST_F(DocumentFailure, OneOfTwoOperatorsWins)
{
  ASSERT_NO_FATAL_FAILURE(
    StartCluster(PlansInTwoDataCentres(4, 0), SampleWithDeadline(500)));
  std::vector<HttpResult> results;
  const std::vector<nlohmann::json> documents{ SampleWithDeadline(600),
                                               SampleWithDeadline(700) };
  for (std::size_t i = 0; i < documents.size(); ++i) {
    HttpCall call =
      PromotionCall("ledger-" + std::to_string(i), documents[i], mVersion);
    mCluster.Client().Send(std::move(call), [&](HttpResult aResult) {
      results.push_back(std::move(aResult));
    });
  }
  ASSERT_TRUE(mCluster.WaitUntil([&] { return results.size() == 2; }));
  std::sort(
    results.begin(), results.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mResponse.mStatus < aRight.mResponse.mStatus;
    });
  ASSERT_EQ(results[0].mResponse.mStatus, 200) << results[0].mResponse.mBody;
  ASSERT_EQ(results[1].mResponse.mStatus, 409) << results[1].mResponse.mBody;
  const auto winner = nlohmann::json::parse(results[0].mResponse.mBody);
  const auto loser = nlohmann::json::parse(results[1].mResponse.mBody);
  EXPECT_EQ(loser["version"], winner["version"]);
  const auto version = winner["version"].get<std::uint64_t>();
  ASSERT_TRUE(WaitForVersion(mCluster.NodeNames(), version));
  const auto inForce = Report("ledger-3", "/v1/document");
  EXPECT_EQ(loser["document"], inForce["document"]);
}

// Guards invariant 10 when the platform's response is lost after the write
// took effect: the operator must not get an error for an accepted document.
TEST_F(DocumentFailure, LostResponseStillReportsOutcome)
{
  ASSERT_NO_FATAL_FAILURE(
    StartCluster(PlansInTwoDataCentres(4, 0), SampleWithDeadline(500)));
  // Lease renewals are writes too, so enough responses are dropped to
  // include that of the promotion.
  mCluster.SetPlatformFaults({ { "lose_replies", 20 } });
  const auto [status, body] =
    Promote("ledger-0", SampleWithDeadline(600), mVersion);
  mCluster.SetPlatformFaults({ { "lose_replies", 0 } });
  ASSERT_EQ(status, 200) << body;
  const auto version = body["version"].get<std::uint64_t>();
  EXPECT_GT(version, mVersion);
  EXPECT_TRUE(WaitForVersion(mCluster.NodeNames(), version));
}

// Guards invariants 2 and 3 when a promoted document is invalid: it must be
// refused as a whole, with all findings, and must not be applied by any node.
TEST_F(DocumentFailure, FaultyDocumentChangesNothing)
{
  ASSERT_NO_FATAL_FAILURE(
    StartCluster(PlansInTwoDataCentres(4, 0), SampleWithDeadline(500)));
  nlohmann::json faulty = SampleWithDeadline(600);
  faulty["routes"][0]["service"] = "unknown";
  faulty["routes"][1]["deadline_ms"] = 0;
  faulty["services"][0]["versions"][0]["share"] = 999;
  const auto [status, body] = Promote("ledger-0", faulty, mVersion);
  EXPECT_EQ(status, 422) << body;
  EXPECT_EQ(body["findings"].size(), 3U) << body;
  const auto [next, accepted] =
    Promote("ledger-1", SampleWithDeadline(700), mVersion);
  ASSERT_EQ(next, 200) << accepted;
  const auto version = accepted["version"].get<std::uint64_t>();
  ASSERT_TRUE(WaitForVersion(mCluster.NodeNames(), version));
  const std::vector<std::uint64_t> expected{ mVersion, version };
  for (const std::string& node : mCluster.NodeNames()) {
    EXPECT_EQ(AppliedVersions(node), expected) << node;
  }
}

} // namespace
} // namespace papayaway
