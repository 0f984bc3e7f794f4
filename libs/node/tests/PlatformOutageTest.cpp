#include <algorithm>

#include "ClusterTest.h"

namespace papayaway {
namespace {

class PlatformOutage : public ClusterTest
{
protected:
  void SetOutage(bool aOutage, bool aHang = false)
  {
    mCluster.SetPlatformFaults({ { "outage", aOutage }, { "hang", aHang } });
  }
};

// Guards invariants 1, 2 and 10 when nodes die and restart during an outage of
// the platform: they must get the document and the endpoints from a neighbour,
// and must not go back to an older document when the outage ends.
TEST_F(PlatformOutage, RestartedNodesRecoverFromNeighbours)
{
  ASSERT_NO_FATAL_FAILURE(
    StartCluster(PlansInTwoDataCentres(6, 0), SampleWithDeadline(5000)));
  SetOutage(true);
  const Names victims{ "ledger-2", "ledger-3" };
  for (const std::string& victim : victims) {
    mCluster.NodeProcess(victim).Kill();
    mCluster.TargetProcess(victim).Kill();
  }
  for (const std::string& victim : victims) {
    const NodePlan plan = mCluster.Plan(victim);
    mCluster.StartNode(plan);
    mCluster.StartTarget(plan);
  }
  ASSERT_TRUE(WaitForVersion(victims, mVersion));
  ASSERT_TRUE(WaitForReady(mCluster.NodeNames(), 6));
  for (const std::string& victim : victims) {
    EXPECT_EQ(Report(victim, "/v1/status")["recovered_from"], "neighbour");
    const HttpResult read =
      mCluster.CallThrough(victim, { .mPath = "/lots/1" });
    EXPECT_EQ(read.mResponse.mStatus, 200) << read.mResponse.mBody;
  }
  SetOutage(false);
  const auto [status, body] =
    Promote("ledger-0", SampleWithDeadline(6000), mVersion);
  ASSERT_EQ(status, 200) << body;
  const auto version = body["version"].get<std::uint64_t>();
  EXPECT_GT(version, mVersion);
  EXPECT_TRUE(WaitForVersion(mCluster.NodeNames(), version));
  const std::vector<std::uint64_t> expected{ mVersion, version };
  for (const std::string& node : mCluster.NodeNames()) {
    EXPECT_EQ(AppliedVersions(node), expected) << node;
  }
}

// Guards invariant 10 when the platform refuses all requests or never answers:
// the response to a promotion states whether its outcome is "not-run" or
// "unknown", no node applies it, and a promotion after the outage succeeds.
TEST_F(PlatformOutage, PromotionReportsItsOutcome)
{
  ASSERT_NO_FATAL_FAILURE(
    StartCluster(PlansInTwoDataCentres(4, 0), SampleWithDeadline(500)));
  for (const bool hang : { false, true }) {
    SetOutage(true, hang);
    const auto [status, body] =
      Promote("ledger-0", SampleWithDeadline(600), mVersion);
    EXPECT_EQ(status, 503) << body << " hang " << hang;
    const std::string outcome =
      body.is_object() ? body.value("outcome", "") : "";
    EXPECT_TRUE(outcome == "not-run" || outcome == "unknown")
      << body << " hang " << hang;
    for (const std::string& node : mCluster.NodeNames()) {
      EXPECT_EQ(VersionAt(node), mVersion) << node;
    }
  }
  SetOutage(false);
  const auto [status, body] =
    Promote("ledger-1", SampleWithDeadline(700), mVersion);
  ASSERT_EQ(status, 200) << body;
  EXPECT_TRUE(
    WaitForVersion(mCluster.NodeNames(), body["version"].get<std::uint64_t>()));
}

} // namespace
} // namespace papayaway
