#include <gateway/TenantDirectory.h>

#include <array>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

using Keys = std::vector<std::string_view>;

const TenantDirectory kDirectory(
  { { .mName = "a", .mKeys = { "k1", "k2" } },
    { .mName = "b", .mKeys = { "k3" }, .mPriority = 2 } });

// Guards against requests that are accepted without the key of a tenant: no
// key, an unknown, empty or oversized one, or two keys of which one is known.
TEST(TenantDirectory, OnlyOneKnownKeyIsAccepted)
{
  const Tenant* const a = kDirectory.FindByName("a");
  ASSERT_NE(a, nullptr);
  for (const char* key : { "k1", "k2" }) {
    EXPECT_EQ(kDirectory.Identify(Keys{ key }, false),
              (CallerIdentity{ .mAccepted = true, .mTenant = a }));
  }
  const std::string oversized(kMaxKeyBytes + 1, 'k');
  const TenantDirectory withOversized(
    { { .mName = "c", .mKeys = { oversized, "" } } });
  for (const Keys& keys : { Keys{},
                            Keys{ "" },
                            Keys{ "K1" },
                            Keys{ "k1,k2" },
                            Keys{ "k1", "k1" },
                            Keys{ "k1", "x" },
                            Keys{ oversized } }) {
    EXPECT_FALSE(kDirectory.Identify(keys, false).mAccepted);
    EXPECT_FALSE(withOversized.Identify(keys, false).mAccepted);
  }
}

// Guards against public routes that need a key, and against requests of a
// tenant that escape its limits there.
TEST(TenantDirectory, PublicRoutesNeedNoKeyButUseAKnownOne)
{
  EXPECT_EQ(kDirectory.Identify(Keys{}, true), CallerIdentity{});
  EXPECT_EQ(kDirectory.Identify(Keys{ "x" }, true), CallerIdentity{});
  EXPECT_EQ(kDirectory.Identify(Keys{ "k3" }, true).mTenant,
            kDirectory.FindByName("b"));
}

// Guards against a change for deployments without tenants.
TEST(TenantDirectory, WithoutTenantsEverythingIsAcceptedWithTheRoutesPriority)
{
  const TenantDirectory none({});
  EXPECT_EQ(none.Identify(Keys{ "x", "y" }, false), CallerIdentity{});
  EXPECT_EQ(none.Priority(nullptr, 123456), 123456);
}

// Guards against an urgent route of one tenant that goes before a more urgent
// tenant, and against equal tenants that lose the order of the routes.
TEST(TenantDirectory, TenantPriorityGoesBeforeRoutePriority)
{
  const Tenant urgent{ .mName = "u" };
  const Tenant later{ .mName = "l", .mPriority = 1 };
  const Tenant last{ .mName = "m", .mPriority = 2000000 };
  const std::array<int, 6> ordered = {
    kDirectory.Priority(&urgent, 0), kDirectory.Priority(&urgent, 1000000),
    kDirectory.Priority(&later, 0),  kDirectory.Priority(&later, 1),
    kDirectory.Priority(&last, 0),   kDirectory.Priority(&last, 5)
  };
  for (std::size_t i = 1; i < ordered.size(); ++i) {
    EXPECT_LT(ordered[i - 1], ordered[i]) << i;
  }
  EXPECT_EQ(kDirectory.Priority(nullptr, 1), kDirectory.Priority(&urgent, 1));
}

} // namespace
} // namespace papayaway::gateway
