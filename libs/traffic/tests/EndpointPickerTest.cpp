#include <traffic/EndpointPicker.h>

#include <map>

#include <gtest/gtest.h>

#include "TrafficFixtures.h"

namespace papayaway {
namespace {

/** Two endpoints in the own data centre, two in the region, one elsewhere. */
class EndpointPickerTest : public ::testing::Test
{
protected:
  void SetUp() override
  {
    mPicker.OnSnapshot(*mTable, {});
    mNow = Seconds(100);
  }

  std::string Picked(const std::vector<std::string>& aExcluded = {})
  {
    const Endpoint* endpoint = mPicker.Pick(*mTable,
                                            { .mService = "hammer",
                                              .mVersion = "v1",
                                              .mDataCentre = "nbo-1",
                                              .mRegion = "nairobi",
                                              .mExcluded = aExcluded,
                                              .mNow = mNow },
                                            mRandom);
    return endpoint == nullptr ? "" : endpoint->mNode;
  }

  std::map<std::string, int> PickedOften(int aCount = 400)
  {
    std::map<std::string, int> counts;
    for (int i = 0; i < aCount; ++i) {
      ++counts[Picked()];
    }
    return counts;
  }

  void Occupy(const std::string& aNode, int aCalls)
  {
    for (int i = 0; i < aCalls; ++i) {
      mPicker.OnSent(aNode, mNow);
    }
  }

  void Fail(const std::string& aNode, int aTimes = 3)
  {
    for (int i = 0; i < aTimes; ++i) {
      mPicker.OnSent(aNode, mNow);
      mPicker.OnFailure(aNode, mNow, mRandom);
    }
  }

  void Reply(const std::string& aNode, Outcome aOutcome, int aLoad)
  {
    mPicker.OnSent(aNode, mNow);
    mPicker.OnReply(aNode, aOutcome, aLoad, 4, { 5 }, mNow, mRandom);
  }

  static std::shared_ptr<const RouteTable> Build(
    const std::vector<EndpointFact>& aEndpoints)
  {
    return RouteTable::Build(HammerDocument(), 1, aEndpoints, {}).value();
  }

  std::vector<EndpointFact> mFacts = {
    ReadyEndpoint("local-1", "hammer", "v1"),
    ReadyEndpoint("local-2", "hammer", "v1"),
    ReadyEndpoint("region-1", "hammer", "v1", "nbo-2"),
    ReadyEndpoint("region-2", "hammer", "v1", "nbo-2"),
    ReadyEndpoint("far", "hammer", "v1", "mba-1", "mombasa"),
  };
  std::shared_ptr<const RouteTable> mTable = Build(mFacts);
  EndpointPicker mPicker;
  Random mRandom{ 5 };
  Millis mNow;
};

// Guards against calls on the paid link while near endpoints have room, and
// against queuing near while others are free.
TEST_F(EndpointPickerTest, SpillsOverRingByRing)
{
  EXPECT_EQ(PickedOften().size(), 2U);
  Occupy("local-1", 4);
  EXPECT_EQ(PickedOften(), (std::map<std::string, int>{ { "local-2", 400 } }));
  Occupy("local-2", 4);
  const auto region = PickedOften();
  EXPECT_EQ(region.count("region-1") + region.count("region-2"), 2U);
  EXPECT_EQ(region.size(), 2U);
  Occupy("region-1", 4);
  Occupy("region-2", 4);
  EXPECT_EQ(Picked(), "far");
  Occupy("far", 4);
  EXPECT_EQ(Picked().substr(0, 5), "local");
}

// Guards against choosing the busier of two endpoints, also when the load is
// that of other entry nodes and known only from replies.
TEST_F(EndpointPickerTest, PrefersTheLowerLoad)
{
  Reply("local-1", Outcome::Ran, 3);
  EXPECT_EQ(PickedOften().size(), 1U);
  EXPECT_EQ(Picked(), "local-2");
  mNow += Seconds(2);
  EXPECT_EQ(PickedOften().size(), 2U);
}

// Guards against a retry at the node that has just refused the call.
TEST_F(EndpointPickerTest, LeavesOutExcludedNodes)
{
  EXPECT_EQ(Picked({ "local-1" }), "local-2");
  EXPECT_EQ(Picked({ "local-1", "local-2", "region-1", "region-2", "far" }),
            "");
}

// Guards against calls to a failing endpoint, and against never using it
// again or flooding it when the back-off ends.
TEST_F(EndpointPickerTest, ProbesFailingEndpointOnce)
{
  Fail("local-1");
  EXPECT_EQ(PickedOften(), (std::map<std::string, int>{ { "local-2", 400 } }));
  mNow += Seconds(1);
  EXPECT_EQ(Picked(), "local-1");
  mPicker.OnSent("local-1", mNow);
  EXPECT_EQ(PickedOften(), (std::map<std::string, int>{ { "local-2", 400 } }));
  mPicker.OnReply("local-1", Outcome::Ran, 0, 4, { 5 }, mNow, mRandom);
  EXPECT_EQ(PickedOften().size(), 2U);
}

// Guards against a probe whose result is never told blocking the endpoint.
TEST_F(EndpointPickerTest, ProbesAgainWhenTheResultIsLost)
{
  Fail("local-1");
  mNow += Seconds(1);
  mPicker.OnSent("local-1", mNow);
  mNow += Seconds(11);
  EXPECT_EQ(Picked(), "local-1");
}

// Guards against a node that refuses at once because its target died looking
// idle and attracting every call.
TEST_F(EndpointPickerTest, LeavesOutEndpointThatRefusesWhileIdle)
{
  for (int i = 0; i < 10; ++i) {
    Reply("local-1", Outcome::NotRun, 0);
  }
  EXPECT_EQ(PickedOften(), (std::map<std::string, int>{ { "local-2", 400 } }));
}

// Guards against taking a busy endpoint's refusals for a fault: its circuit
// would stay open after the overload.
TEST_F(EndpointPickerTest, RefusalOfBusyEndpointIsNoFault)
{
  for (int i = 0; i < 20; ++i) {
    Reply("local-1", Outcome::NotRun, 4);
  }
  EXPECT_EQ(Picked(), "local-2");
  mNow += Seconds(1);
  EXPECT_EQ(PickedOften().size(), 2U);
}

// Guards against sending all calls to the few endpoints that look good when
// it is this node's view that is wrong, for example in a partition.
TEST_F(EndpointPickerTest, UsesAllWhenMoreThanHalfLookBad)
{
  Fail("local-1");
  Fail("local-2");
  EXPECT_EQ(Picked().substr(0, 6), "region");
  Fail("region-1");
  const auto counts = PickedOften();
  EXPECT_EQ(counts.count("local-1") + counts.count("local-2"), 2U);
}

// Guards against a full load on an endpoint whose target has just started,
// also when its node was known before.
TEST_F(EndpointPickerTest, RaisesWeightOfNewEndpointOverFiveSeconds)
{
  std::vector<EndpointFact> without = mFacts;
  without.erase(without.begin());
  mPicker.OnSent("local-1", mNow);
  mPicker.OnSnapshot(*Build(without), mNow);
  mPicker.OnSnapshot(*mTable, mNow);
  mPicker.OnReply("local-1", Outcome::Ran, 0, 4, { 5 }, mNow, mRandom);
  Occupy("local-2", 2);
  EXPECT_EQ(Picked(), "local-2");
  mNow += Seconds(2.5);
  EXPECT_EQ(Picked(), "local-1");
}

// Guards against observations that grow with every node ever seen, and
// against evicting those with calls in flight.
TEST_F(EndpointPickerTest, BoundsObservations)
{
  EndpointPicker small(2);
  small.OnSent("busy", mNow);
  for (int i = 0; i < 10; ++i) {
    const std::string node = "n" + std::to_string(i);
    small.OnSent(node, mNow);
    small.OnAbandoned(node, mNow);
  }
  EXPECT_EQ(small.ObservedCount(), 2U);
  EXPECT_NE(small.Find("busy"), nullptr);
  mPicker.OnSnapshot(*Build({}), mNow);
  EXPECT_EQ(mPicker.ObservedCount(), 0U);
}

} // namespace
} // namespace papayaway
