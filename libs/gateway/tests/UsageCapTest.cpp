#include <gateway/UsageCap.h>

#include <cmath>

#include <gtest/gtest.h>

#include "CapSimulation.h"

namespace papayaway::gateway {
namespace {

constexpr Millis kWindow = Seconds(5);

double
AllowedInWindow(const Tenant& aTenant)
{
  return (aTenant.mRequestsPerSecond * 5 + aTenant.mBurst) * 1.1 + 20;
}

Tenant
MakeTenant(std::size_t aNumber, double aRate, double aBurst)
{
  return { .mName = "tenant-" + std::to_string(aNumber),
           .mKeys = {},
           .mRequestsPerSecond = aRate,
           .mBurst = aBurst,
           .mAllowedRegions = {} };
}

/** @return whether a request that can't be held is admitted by a UsageCap or a
 *    CapNode. */
template<typename Cap>
bool
TakesToken(Cap& aCap, const std::string& aTenant, Millis aNow)
{
  return aCap.Admit(aTenant, 99, aNow, aNow).mOutcome == CapOutcome::Admitted;
}

// Guards against tokens that are counted twice, outlive their expiry or are
// issued by two coordinators. Load: a tenant that sends nothing for 4 s and
// then 4 times its cap for 8 s, on all nodes, while messages are lost, repeated
// and late and nodes are partitioned, frozen, killed and restarted. The rules
// have no slack, and the allowance for waits at targets is not used, so that an
// excess of a few percent shows.
TEST(UsageCap, NoWindowExceedsTheCapWhateverFails)
{
  const CapRules rules{ .mSlack = 0 };
  const Tenant tenant = MakeTenant(0, 300, 0);
  const CapTerms terms = MakeCapTerms(300, 0, rules);
  const double allowed =
    terms.mDepth + terms.mRate * (kWindow + terms.mTokenLife).mCount / 1000;
  ASSERT_LE(allowed, 300 * 5 * 1.1);
  double closest = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CapSimulation simulation({ .mDataCentres = 1 + seed % 4,
                               .mNodesPerDataCentre = 2 + seed % 5,
                               .mSeed = seed,
                               .mLost = 0.01,
                               .mRepeated = 0.1,
                               .mLate = 0.05,
                               .mRules = rules },
                             { tenant });
    const std::size_t nodes = simulation.Nodes().size();
    for (std::size_t node = 0; node < nodes; ++node) {
      const double rate = 1200 / static_cast<double>(nodes);
      simulation.AddCaller(node, 0, rate, [rate](Millis aNow) {
        return std::fmod(aNow.mCount, 12000) < 4000 ? 0 : rate;
      });
    }
    for (int step = 1; step <= 10; ++step) {
      simulation.RunUntil(Seconds(4 * step));
      const std::size_t index = UniformBelow(simulation.Source(), nodes);
      CapSimulation::Node& node = simulation.Nodes()[index];
      switch (UniformBelow(simulation.Source(), 5)) {
        case 0:
          node.mAlive = false;
          break;
        case 1:
          simulation.Restart(index);
          break;
        case 2:
          node.mFrozenUntil =
            simulation.Now() +
            Millis{ 300 + UniformFraction(simulation.Source()) * 4000 };
          break;
        case 3:
          node.mGroup = 1;
          break;
        default:
          for (CapSimulation::Node& other : simulation.Nodes()) {
            other.mGroup = other.mDataCentre % 2 == 0 ? 0 : 2;
          }
      }
      simulation.RunUntil(simulation.Now() + Millis{ 1500 });
      for (std::size_t i = 0; i < nodes; ++i) {
        simulation.Nodes()[i].mGroup = 0;
        if (!simulation.Nodes()[i].mAlive) {
          simulation.Restart(i);
        }
      }
    }
    EXPECT_LE(simulation.GreatestShare(), 1 + 1e-9) << "seed " << seed;
    const auto busiest = static_cast<double>(simulation.Busiest(0, kWindow));
    closest = std::max(closest, busiest);
    EXPECT_LE(busiest, allowed) << "seed " << seed;
  }
  RecordProperty("busiest_window_percent_of_allowed",
                 static_cast<int>(100 * closest / allowed));
}

// Guards against small tenants that are refused because their cap is spread
// over nodes that do not need it. Load: 84 nodes, 40 tenants with one caller at
// one node, 1 to 3 requests a second, cap 1.6 times that.
TEST(UsageCap, SmallTenantsAreServedBelowTheirCaps)
{
  std::vector<Tenant> tenants;
  for (std::size_t i = 0; i < 40; ++i) {
    tenants.push_back(MakeTenant(i, 1.6 * (1 + static_cast<double>(i % 3)), 0));
  }
  CapSimulation simulation({}, tenants);
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    const double rate = tenants[i].mRequestsPerSecond / 1.6;
    simulation.AddCaller(i * 2, i, rate, [rate](Millis aNow) {
      return aNow < Seconds(10) ? 0 : rate;
    });
  }
  simulation.RunUntil(Seconds(100));
  std::size_t admitted = 0;
  std::size_t refused = 0;
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    admitted += simulation.Admitted(i).size();
    refused += simulation.Refused(i).size();
  }
  RecordProperty("admitted", static_cast<int>(admitted));
  RecordProperty("refused", static_cast<int>(refused));
  EXPECT_GT(admitted, 6000U);
  EXPECT_LT(static_cast<double>(refused), static_cast<double>(admitted) / 1000);
}

// Guards against a cap that is used up in the wrong places. Load: one tenant on
// 40 of 84 nodes sends 7 times its usual 250 requests a second from one moment
// on; later its callers move to the other nodes.
TEST(UsageCap, HotTenantUsesItsCapOnManyNodes)
{
  const Tenant tenant = MakeTenant(0, 400, 0);
  CapSimulation simulation({}, { tenant });
  for (std::size_t node = 0; node < 80; ++node) {
    simulation.AddCaller(node, 0, 7 * 250 / 40.0, [node](Millis aNow) {
      const bool here = (aNow < Seconds(30)) == (node % 2 == 0);
      const double usual = 250 / 40.0;
      return aNow < Seconds(10)   ? 0
             : !here              ? 0
             : aNow < Seconds(20) ? usual
                                  : 7 * usual;
    });
  }
  simulation.RunUntil(Seconds(40));
  const auto refused = [&](double aFrom, double aTo) {
    return CapSimulation::CountIn(
      simulation.Refused(0), Seconds(aFrom), Seconds(aTo));
  };
  // All callers start at the same moment and find no stocks.
  EXPECT_LT(refused(10, 10.5), 10U);
  EXPECT_LT(refused(10.5, 20), 2U);
  // When the callers move, the tokens in the stocks of their former nodes
  // expire unused, so the third case begins 2 s later.
  for (const double from : { 20.0, 25.0, 32.0 }) {
    const std::size_t count = CapSimulation::CountIn(
      simulation.Admitted(0), Seconds(from), Seconds(from + 5));
    RecordProperty("admitted_from_" + std::to_string(static_cast<int>(from)),
                   static_cast<int>(count));
    EXPECT_GE(static_cast<double>(count), 0.95 * 400 * 5) << "from " << from;
  }
  EXPECT_LE(simulation.Busiest(0, kWindow), AllowedInWindow(tenant));
  RecordProperty("messages_per_node_and_second",
                 static_cast<int>(simulation.Messages() / 84 / 40));
}

// Guards against caps that stay unusable when the coordinator fails, and
// against nodes that wait for it although it has been replaced. Load: a tenant
// on 20 nodes at its usual rate; the coordinator is killed, then its successor
// frozen.
TEST(UsageCap, AnotherCoordinatorTakesOver)
{
  CapSimulation simulation({}, { MakeTenant(0, 160, 0) });
  for (std::size_t node = 4; node < 84; node += 4) {
    simulation.AddCaller(
      node, 0, 5, [](Millis aNow) { return aNow < Seconds(10) ? 0 : 5.0; });
  }
  simulation.RunUntil(Seconds(20));
  EXPECT_TRUE(simulation.Nodes()[0].mCap->IsCoordinator());
  simulation.Nodes()[0].mAlive = false;
  simulation.RunUntil(Seconds(30));
  EXPECT_TRUE(simulation.Nodes()[1].mCap->IsCoordinator());
  simulation.Nodes()[1].mFrozenUntil = Seconds(36);
  simulation.RunUntil(Seconds(50));
  const auto refused = [&](double aFrom, double aTo) {
    return CapSimulation::CountIn(
      simulation.Refused(0), Seconds(aFrom), Seconds(aTo));
  };
  RecordProperty("refused_after_kill", static_cast<int>(refused(20, 30)));
  RecordProperty("refused_after_freeze", static_cast<int>(refused(30, 50)));
  EXPECT_LT(refused(20, 30), 200U);
  EXPECT_EQ(refused(22.5, 30), 0U);
  EXPECT_EQ(refused(32.5, 36), 0U);
  EXPECT_EQ(refused(40, 50), 0U);
}

// Guards against a lower cap that does not bind because tokens or buckets of
// the higher one remain. Load: a tenant at 4 times its cap on all nodes, which
// learn of the change within 1 s.
TEST(UsageCap, ALowerCapBindsAfterOneWindow)
{
  CapSimulation simulation({ .mNodesPerDataCentre = 4 },
                           { MakeTenant(0, 200, 40) });
  for (std::size_t node = 0; node < 16; ++node) {
    simulation.AddCaller(node, 0, 50, [](Millis) { return 50.0; });
    simulation.At(Seconds(20 + static_cast<double>(node) / 16),
                  [&simulation, node] {
                    simulation.Nodes()[node].mCap->SetTenants(
                      { MakeTenant(0, 50, 0) }, simulation.Now());
                  });
  }
  simulation.RunUntil(Seconds(40));
  EXPECT_GT(simulation.Busiest(0, kWindow), 0.95 * 200 * 5);
  EXPECT_LE(simulation.Busiest(0, kWindow, Seconds(26)),
            AllowedInWindow(MakeTenant(0, 50, 0)));
}

// Guards against a token whose life is extended when it is returned, and
// against one that stays valid while the process is frozen.
TEST(UsageCap, ReturnedTokensKeepTheirExpiry)
{
  UsageCap cap;
  cap.SetTerms({ { "t", MakeCapTerms(10, 0, {}) } });
  EXPECT_EQ(cap.Admit("t", 1, Millis{ 50 }, Millis{ 0 }).mOutcome,
            CapOutcome::Held);
  cap.OnGrant("t", 1, 1, Millis{ 500 }, {}, Millis{ 10 });
  const auto releases = cap.TakeReleases(Millis{ 10 });
  ASSERT_EQ(releases.size(), 1U);
  EXPECT_EQ(releases[0].mDecision.mTokenExpiry, Millis{ 500 });
  cap.Credit("t", Millis{ 500 }, Millis{ 100 });
  EXPECT_TRUE(TakesToken(cap, "t", Millis{ 499 }));
  cap.Credit("t", Millis{ 500 }, Millis{ 499 });
  EXPECT_FALSE(TakesToken(cap, "t", Millis{ 500 }));
}

// Guards against a repeated or outdated answer that adds tokens, and against
// tokens whose life is counted from the receipt of a late answer.
TEST(UsageCap, AnAnswerCountsOnceAndFromTheSendingOfItsRequest)
{
  const Tenant tenant = MakeTenant(0, 10, 0);
  const CapView view{ .mNodes = 2, .mRank = [] { return 1; } };
  const CapRound round{ { "d", "coordinator", 1 }, 1 };
  std::vector<std::uint64_t> requests;
  for (const std::uint64_t process : { 1000, 2000 }) {
    CapNode node({ .mDataCentre = "d", .mNode = "n", .mProcess = process }, {});
    node.SetTenants({ tenant }, {});
    node.OnAnswer("coordinator", true, { .mRound = round }, view, {});
    EXPECT_EQ(
      node.Admit(tenant.mName, 1, Millis{ 500 }, Millis{ 100 }).mOutcome,
      CapOutcome::Held);
    const auto sendings = node.TakeSendings();
    ASSERT_FALSE(sendings.empty());
    const std::uint64_t request =
      std::get<CapReport>(sendings.back().mMessage).mRequest;
    requests.push_back(request);
    const CapAnswer answer{ .mRequest = request,
                            .mGrants = { { .mTenant = tenant.mName,
                                           .mGrant = { .mTokens = 2 },
                                           .mValidFor = Millis{ 150 } } } };
    node.OnAnswer("coordinator", true, answer, view, Millis{ 200 });
    node.OnAnswer("coordinator", true, answer, view, Millis{ 210 });
    const auto releases = node.TakeReleases(Millis{ 210 });
    ASSERT_EQ(releases.size(), 1U);
    EXPECT_EQ(releases[0].mDecision.mTokenExpiry, Millis{ 250 });
    EXPECT_TRUE(TakesToken(node, tenant.mName, Millis{ 220 }));
    EXPECT_FALSE(TakesToken(node, tenant.mName, Millis{ 230 }));
  }
  EXPECT_NE(requests[0], requests[1])
    << "an answer to the earlier process would be accepted";
}

} // namespace
} // namespace papayaway::gateway
