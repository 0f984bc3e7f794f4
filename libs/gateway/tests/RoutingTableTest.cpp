#include <gateway/RoutingTable.h>

#include <map>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

RouteRule
RuleFor(const std::string& aPrefix, const std::string& aService)
{
  return { .mName = aPrefix,
           .mPrefix = aPrefix,
           .mDestinations = { { .mService = aService } } };
}

DesiredState
TwoHosts()
{
  DesiredState state{ .mVersion = 1 };
  state.mHosts["one.example"] = { RuleFor("/a/", "short"),
                                  RuleFor("/a/b/", "long") };
  state.mHosts["two.example"] = { RuleFor("/", "all") };
  return state;
}

std::string
ServiceOf(RoutingTable& aTable, std::string_view aHost, std::string_view aPath)
{
  const ActiveRule* const rule = aTable.Find(aHost, aPath);
  return rule == nullptr ? "none" : rule->mRule.mDestinations[0].mService;
}

// Guards against a shorter prefix taking the requests of a longer one.
TEST(RoutingTable, LongestPrefixWins)
{
  RoutingTable table(TwoHosts());
  EXPECT_EQ(ServiceOf(table, "one.example", "/a/x"), "short");
  EXPECT_EQ(ServiceOf(table, "one.example", "/a/b/x"), "long");
  EXPECT_EQ(ServiceOf(table, "one.example", "/a/b"), "short");
  EXPECT_EQ(ServiceOf(table, "one.example", "/a/"), "short");
}

// Guards against a prefix that matches in the middle of a path segment.
TEST(RoutingTable, PathsOutsideAllPrefixesHaveNoRule)
{
  RoutingTable table(TwoHosts());
  EXPECT_EQ(ServiceOf(table, "one.example", "/ab/"), "none");
  EXPECT_EQ(ServiceOf(table, "one.example", "/"), "none");
  EXPECT_EQ(ServiceOf(table, "one.example", "a/"), "none");
  EXPECT_EQ(ServiceOf(table, "one.example", ""), "none");
}

// Guards against a route of one host that answers for another.
TEST(RoutingTable, HostsAreApartAndIgnoreCaseAndPort)
{
  RoutingTable table(TwoHosts());
  EXPECT_EQ(ServiceOf(table, "two.example", "/anything"), "all");
  EXPECT_EQ(ServiceOf(table, "TWO.example:8080", "/a/"), "all");
  EXPECT_EQ(ServiceOf(table, "three.example", "/a/"), "none");
}

// Guards against shares that are right only in the long run: a fifth of a
// weight is missed at once when 300 requests decide.
TEST(WeightedTurns, AnyRunIsAsCloseAsWholeRequestsAllow)
{
  WeightedTurns turns({ { .mService = "a", .mWeight = 90 },
                        { .mService = "b", .mWeight = 7 },
                        { .mService = "c", .mWeight = 3 } });
  std::map<std::size_t, int> counts;
  for (int i = 1; i <= 1000; ++i) {
    ++counts[turns.Next()];
    EXPECT_NEAR(counts[0], i * 0.90, 1.5);
    EXPECT_NEAR(counts[1], i * 0.07, 1.5);
    EXPECT_NEAR(counts[2], i * 0.03, 1.5);
  }
}

} // namespace
} // namespace papayaway::gateway
