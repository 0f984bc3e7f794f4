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
StateWithTwoHosts()
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

// Guards against a rule with a shorter prefix that gets the requests of a rule
// with a longer one.
TEST(RoutingTable, LongestPrefixWins)
{
  RoutingTable table(StateWithTwoHosts());
  EXPECT_EQ(ServiceOf(table, "one.example", "/a/x"), "short");
  EXPECT_EQ(ServiceOf(table, "one.example", "/a/b/x"), "long");
  EXPECT_EQ(ServiceOf(table, "one.example", "/a/b"), "short");
  EXPECT_EQ(ServiceOf(table, "one.example", "/a/"), "short");
}

// Guards against a prefix that matches in the middle of a path segment.
TEST(RoutingTable, PathsOutsideAllPrefixesHaveNoRule)
{
  RoutingTable table(StateWithTwoHosts());
  EXPECT_EQ(ServiceOf(table, "one.example", "/ab/"), "none");
  EXPECT_EQ(ServiceOf(table, "one.example", "/"), "none");
  EXPECT_EQ(ServiceOf(table, "one.example", "a/"), "none");
  EXPECT_EQ(ServiceOf(table, "one.example", ""), "none");
}

// Guards against a rule of one host name that gets requests for another, and
// against host names that are compared with their case and port.
TEST(RoutingTable, HostNamesAreSeparateAndIgnoreCaseAndPort)
{
  RoutingTable table(StateWithTwoHosts());
  EXPECT_EQ(ServiceOf(table, "two.example", "/anything"), "all");
  EXPECT_EQ(ServiceOf(table, "TWO.example:8080", "/a/"), "all");
  EXPECT_EQ(ServiceOf(table, "three.example", "/a/"), "none");
}

// Guards against shares that match the weights only over many requests: with
// random selection, shares measured over 300 requests can differ from a weight
// by more than a fifth of it.
TEST(WeightedRoundRobin, SharesMatchTheWeightsAfterAnyNumberOfRequests)
{
  WeightedRoundRobin roundRobin({ { .mService = "a", .mWeight = 90 },
                                  { .mService = "b", .mWeight = 7 },
                                  { .mService = "c", .mWeight = 3 } });
  std::map<std::size_t, int> counts;
  for (int i = 1; i <= 1000; ++i) {
    ++counts[roundRobin.Next()];
    EXPECT_NEAR(counts[0], i * 0.90, 1.5);
    EXPECT_NEAR(counts[1], i * 0.07, 1.5);
    EXPECT_NEAR(counts[2], i * 0.03, 1.5);
  }
}

} // namespace
} // namespace papayaway::gateway
