#include <gtest/gtest.h>

#include "Faults.h"
#include "PlatformService.h"

namespace papayaway {
namespace {

using nlohmann::json;

HttpResponse
Send(PlatformService& aService,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody,
     Millis aNow = {})
{
  return aService.Serve({ .mMethod = aMethod, .mPath = aPath, .mBody = aBody },
                        aNow);
}

// Guards against overwriting a concurrent change to the same row.
TEST(Table, ConditionOnOldVersionFailsWithCurrentVersion)
{
  Table table;
  EXPECT_TRUE(table.FailedConditions({ { "row", 0 } }).empty());
  EXPECT_EQ(table.Write("row", "first"), 1U);
  EXPECT_EQ(table.Write("row", "second"), 2U);
  const auto failed = table.FailedConditions({ { "row", 1 }, { "other", 0 } });
  ASSERT_EQ(failed.size(), 1U);
  EXPECT_EQ(failed[0].mKey, "row");
  EXPECT_EQ(failed[0].mVersion, 2U);
}

// Guards against reuse of a version after a row was deleted.
TEST(Table, RecreatedRowHasAHigherVersion)
{
  Table table;
  table.Write("row", 1);
  table.Write("row", 2);
  table.Delete("row");
  EXPECT_EQ(table.Write("row", 3), 3U);
}

// Guards against two holders at the same time, and against renewing a lease
// that has been granted to another holder in the meantime.
TEST(Leases, TokenIncreasesWithEachChangeOfHolder)
{
  Leases leases;
  const Leases::Claim first{ "a", "", { 100 }, {} };
  const Leases::Claim second{ "b", "", { 100 }, {} };
  EXPECT_EQ(leases.Acquire("name", first, { 0 }), 1U);
  EXPECT_FALSE(leases.Acquire("name", second, { 99 }));
  Leases::Claim renewal = first;
  renewal.mToken = 1;
  EXPECT_EQ(leases.Acquire("name", renewal, { 99 }), 1U);
  EXPECT_FALSE(leases.Acquire("name", second, { 198 }));
  EXPECT_EQ(leases.Acquire("name", second, { 199 }), 2U);
  EXPECT_FALSE(leases.Acquire("name", renewal, { 250 }));
  EXPECT_FALSE(leases.Holds("name", 1, { 250 }));
  EXPECT_TRUE(leases.Holds("name", 2, { 250 }));
  EXPECT_FALSE(leases.Holds("name", 2, { 299 }));
  EXPECT_FALSE(leases.Release("name", "a", 1));
  EXPECT_TRUE(leases.Release("name", "b", 2));
  EXPECT_EQ(leases.Acquire("name", first, { 260 }), 3U);
}

// Guards against a repeated transaction that is applied twice.
TEST(PlatformService, RepeatedOperationIsAppliedOnceWithSameResult)
{
  PlatformService service;
  const std::string body =
    R"({"operation":"o1","writes":[{"key":"row","value":7}]})";
  EXPECT_EQ(Send(service, "GET", "/operations/o1", "").mStatus, 404);
  const HttpResponse first = Send(service, "POST", "/transactions", body);
  EXPECT_EQ(json::parse(first.mBody), json::parse(R"({"versions":{"row":1}})"));
  EXPECT_EQ(Send(service, "POST", "/transactions", body), first);
  EXPECT_EQ(Send(service, "GET", "/operations/o1", "").mBody, first.mBody);
  EXPECT_EQ(json::parse(Send(service, "GET", "/table/row", "").mBody),
            json::parse(R"({"version":1,"value":7})"));
}

// Guards against a paused lease holder that writes after its lease expired,
// and against a refused transaction that is applied partially.
TEST(PlatformService, StaleTokenFailsTransactionAndReportsLease)
{
  PlatformService service;
  const std::string claim = R"({"holder":"a","ttl_ms":100})";
  EXPECT_EQ(Send(service, "POST", "/leases/l", claim).mStatus, 200);
  const std::string body = R"({"operation":"o","leases":[{"name":"l",
    "token":1}],"writes":[{"key":"row","value":1}]})";
  const HttpResponse stale =
    Send(service, "POST", "/transactions", body, { 100 });
  EXPECT_EQ(stale.mStatus, 409);
  EXPECT_EQ(json::parse(stale.mBody).at("leases"), json::array({ "l" }));
  EXPECT_EQ(Send(service, "GET", "/table/row", "").mStatus, 404);
  EXPECT_EQ(Send(service, "POST", "/transactions", body, { 50 }).mStatus, 200);
}

// Guards against a malformed transaction that is applied partially.
TEST(PlatformService, MalformedTransactionHasNoEffect)
{
  PlatformService service;
  const std::string body =
    R"({"operation":"o","writes":[{"key":"row","value":1},{"key":5}]})";
  EXPECT_EQ(Send(service, "POST", "/transactions", body).mStatus, 400);
  EXPECT_EQ(Send(service, "GET", "/table/row", "").mStatus, 404);
}

// Guards against evicting a result before its retention time has passed.
TEST(Operations, KeepsResultsForRetentionTime)
{
  Operations operations({ 100 }, 2);
  operations.Record("a", 1, { 0 });
  operations.Record("b", 2, { 100 });
  EXPECT_NE(operations.Result("a"), nullptr);
  operations.Record("c", 3, { 101 });
  EXPECT_EQ(operations.Result("a"), nullptr);
  EXPECT_NE(operations.Result("b"), nullptr);
  EXPECT_EQ(operations.Size(), 2U);
}

// Guards against a read that counts as one of the lost responses configured for
// writes.
TEST(Faults, OnlyWritesLoseResponses)
{
  Faults faults{ .mLoseResponses = 1 };
  EXPECT_EQ(faults.NextAction(false), FaultAction::None);
  EXPECT_EQ(faults.NextAction(true), FaultAction::LoseResponse);
  EXPECT_EQ(faults.NextAction(true), FaultAction::None);
}

} // namespace
} // namespace papayaway
