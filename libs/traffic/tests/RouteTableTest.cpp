#include <traffic/RouteTable.h>

#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "TrafficFixtures.h"

namespace papayaway {
namespace {

std::shared_ptr<const RouteTable>
BuildHammer(const std::vector<MoveFact>& aMoves,
            const std::vector<EndpointFact>& aEndpoints = {
              ReadyEndpoint("n1", "hammer", "v1"),
              ReadyEndpoint("n2", "hammer", "v2") })
{
  auto built = RouteTable::Build(HammerDocument(), 7, aEndpoints, aMoves);
  return built.value();
}

std::string
PrefixOf(const RouteTable& aTable,
         std::string_view aMethod,
         std::string_view aPath)
{
  const Route* route = aTable.FindRoute(aMethod, aPath).mRoute;
  return route == nullptr ? "" : route->mPrefix;
}

std::map<std::string, int>
SharesOf(const RouteTable& aTable)
{
  std::map<std::string, int> shares;
  for (const VersionShare& share : aTable.Shares("hammer")) {
    shares[share.mName] = share.mShare;
  }
  return shares;
}

using Shares = std::map<std::string, int>;

// Guards against a prefix that matches only a part of a segment ("/bidsmore").
TEST(RouteTable, MatchesLongestPrefixAtSegmentBoundaries)
{
  const auto table = BuildHammer({});
  EXPECT_EQ(PrefixOf(*table, "POST", "/bids"), "/bids");
  EXPECT_EQ(PrefixOf(*table, "POST", "/bids/"), "/bids");
  EXPECT_EQ(PrefixOf(*table, "POST", "/bids/4/5"), "/bids");
  EXPECT_EQ(PrefixOf(*table, "POST", "/bidsmore"), "/");
  EXPECT_EQ(PrefixOf(*table, "GET", "/bids/history/2026"), "/bids/history/");
  EXPECT_EQ(PrefixOf(*table, "POST", "/bids/historyX/y"), "/bids");
  EXPECT_EQ(PrefixOf(*table, "GET", ""), "/");
}

// Guards against routing a disallowed method by a shorter prefix, and against
// answering it with 404 instead of 405.
TEST(RouteTable, DistinguishesWrongMethodFromUnknownPath)
{
  const auto table = BuildHammer({});
  EXPECT_EQ(table->FindRoute("GET", "/bids/1"), (RouteMatch{ nullptr, true }));
  Document document = HammerDocument();
  document.mRoutes.erase(document.mRoutes.begin());
  const auto withoutRootRoute = RouteTable::Build(document, 1, {}, {}).value();
  EXPECT_EQ(withoutRootRoute->FindRoute("GET", "/other"), (RouteMatch{}));
}

// Guards against lookups that differ from a linear search for the longest
// prefix that equals the path or is followed by a slash in it.
RC_GTEST_PROP(RouteTable, AgreesWithLinearSearch, ())
{
  const auto path =
    rc::gen::map(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3)),
                 [](const std::vector<int>& aSegments) {
                   std::string text;
                   for (const int segment : aSegments) {
                     text += "/" + std::string(segment, 'a');
                   }
                   return text.empty() ? std::string("/") : text;
                 });
  Document document;
  document.mServices = { { .mName = "s", .mVersions = { { "v", 1000 } } } };
  const auto trimmed = [](std::string aPath) {
    while (!aPath.empty() && aPath.back() == '/') {
      aPath.pop_back();
    }
    return aPath;
  };
  std::vector<std::string> trimmedPrefixes;
  for (const std::string& prefix :
       *rc::gen::container<std::vector<std::string>>(path)) {
    if (std::find(trimmedPrefixes.begin(),
                  trimmedPrefixes.end(),
                  trimmed(prefix)) == trimmedPrefixes.end()) {
      trimmedPrefixes.push_back(trimmed(prefix));
      document.mRoutes.push_back({ .mPrefix = prefix, .mService = "s" });
    }
  }
  const std::string requestedPath = *path;
  const Route* expected = nullptr;
  for (const Route& route : document.mRoutes) {
    const std::string prefix = trimmed(route.mPrefix);
    const bool matches =
      requestedPath == prefix ||
      requestedPath.compare(0, prefix.size() + 1, prefix + "/") == 0;
    if (matches && (expected == nullptr ||
                    trimmed(expected->mPrefix).size() < prefix.size())) {
      expected = &route;
    }
  }
  const auto table = RouteTable::Build(document, 1, {}, {}).value();
  RC_ASSERT(PrefixOf(*table, "GET", requestedPath) ==
            (expected == nullptr ? "" : expected->mPrefix));
}

// Guards against reporting only the first fault of a document to the operator,
// and against a table with routes to unknown services.
TEST(RouteTable, ReportsAllFindings)
{
  Document document = HammerDocument();
  document.mRoutes[0].mService = "absent";
  document.mRoutes.push_back(document.mRoutes[1]);
  document.mServices[0].mMove->mTo = "v9";
  document.mServices[1].mVersions[0].mShare = 299;
  const auto built = RouteTable::Build(document, 1, {}, {});
  ASSERT_FALSE(built);
  std::vector<std::string> paths;
  for (const Finding& finding : built.error()) {
    paths.push_back(finding.mPath);
  }
  EXPECT_EQ(paths,
            (std::vector<std::string>{ "/services/0/move/to",
                                       "/services/1/versions",
                                       "/routes/0/service",
                                       "/routes/3" }));
}

// Guards against applying the fact of another attempt than the ordered one, and
// against sending calls to a version whose move was taken back.
TEST(RouteTable, AppliesOnlyTheCurrentMove)
{
  MoveFact fact{ .mService = "hammer", .mTo = "v2", .mAttempt = 2 };
  fact.mShare = 50;
  EXPECT_EQ(SharesOf(*BuildHammer({ fact })),
            (Shares{ { "v1", 950 }, { "v2", 50 } }));
  fact.mState = MoveState::Finished;
  EXPECT_EQ(SharesOf(*BuildHammer({ fact })), (Shares{ { "v2", 1000 } }));
  fact.mAttempt = 1;
  EXPECT_EQ(SharesOf(*BuildHammer({ fact })), (Shares{ { "v1", 1000 } }));
  fact.mAttempt = 2;
  fact.mState = MoveState::TakenBack;
  EXPECT_EQ(SharesOf(*BuildHammer({ fact })), (Shares{ { "v1", 1000 } }));
  EXPECT_EQ(
    SharesOf(*BuildHammer({ fact }, { ReadyEndpoint("n", "hammer", "v2") })),
    Shares{});
}

// Guards against a version getting all calls before its move has finished, when
// the old version has no ready endpoints.
TEST(RouteTable, RunningMoveKeepsItsShareWithoutOtherVersion)
{
  MoveFact fact{ .mService = "hammer", .mTo = "v2", .mAttempt = 2 };
  fact.mShare = 10;
  const auto table =
    BuildHammer({ fact }, { ReadyEndpoint("n2", "hammer", "v2") });
  EXPECT_EQ(SharesOf(*table), (Shares{ { "v2", 10 } }));
  Random random(1);
  int refused = 0;
  for (int i = 0; i < 1000; ++i) {
    refused += table->DrawVersion("hammer", random).empty() ? 1 : 0;
  }
  EXPECT_GT(refused, 960);
}

// Guards against calls to endpoints that are not ready, and against a share for
// a version without ready endpoints.
TEST(RouteTable, ListsOnlyReadyEndpoints)
{
  EndpointFact draining = ReadyEndpoint("n2", "hammer", "v2");
  draining.mState = EndpointState::Draining;
  MoveFact fact{ .mService = "hammer", .mTo = "v2", .mAttempt = 2 };
  fact.mShare = 500;
  const auto table =
    BuildHammer({ fact }, { ReadyEndpoint("n1", "hammer", "v1"), draining });
  EXPECT_TRUE(table->Endpoints("hammer", "v2").empty());
  EXPECT_EQ(SharesOf(*table), (Shares{ { "v1", 1000 } }));
  Random random(1);
  EXPECT_EQ(table->DrawVersion("ledger", random), "");
  EXPECT_EQ(table->DrawVersion("absent", random), "");
}

// Guards against shares whose sum is off because of rounding.
RC_GTEST_PROP(RouteTable, SharesSumToWholeShare, ())
{
  const auto cut = *rc::gen::inRange(0, 1001);
  Document document = HammerDocument();
  document.mServices[0].mVersions = { { "v0", cut },
                                      { "v1", 1000 - cut },
                                      { "v2", 0 } };
  MoveFact fact{ .mService = "hammer", .mTo = "v2", .mAttempt = 2 };
  fact.mShare = *rc::gen::inRange(0, 1001);
  const auto table = RouteTable::Build(document,
                                       1,
                                       { ReadyEndpoint("a", "hammer", "v0"),
                                         ReadyEndpoint("b", "hammer", "v1"),
                                         ReadyEndpoint("c", "hammer", "v2") },
                                       { fact })
                       .value();
  int sum = 0;
  for (const VersionShare& share : table->Shares("hammer")) {
    RC_ASSERT(share.mShare > 0);
    RC_ASSERT(share.mName != "v2" || share.mShare == fact.mShare);
    sum += share.mShare;
  }
  RC_ASSERT(sum == kTotalShare);
}

} // namespace
} // namespace papayaway
