#include <traffic/EndpointPicker.h>

#include <map>

#include <gtest/gtest.h>

#include "TrafficFixtures.h"

namespace papayaway {
namespace {

/** Two endpoints are in the data centre of the entry node, two in another one
 *  of its region, and one in another region. */
class EndpointPickerTest : public ::testing::Test
{
protected:
  void SetUp() override
  {
    mPicker.OnSnapshot(*mTable, {});
    mNow = Seconds(100);
  }

  std::string PickNode(const std::vector<std::string>& aExcluded = {})
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

  std::map<std::string, int> CountPicks(int aCount = 400)
  {
    std::map<std::string, int> counts;
    for (int i = 0; i < aCount; ++i) {
      ++counts[PickNode()];
    }
    return counts;
  }

  void SendCalls(const std::string& aNode, int aCalls)
  {
    for (int i = 0; i < aCalls; ++i) {
      mPicker.OnSent(aNode, mNow);
    }
  }

  void FailCalls(const std::string& aNode, int aTimes = 3)
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

  std::vector<EndpointFact> mEndpoints = {
    ReadyEndpoint("local-1", "hammer", "v1"),
    ReadyEndpoint("local-2", "hammer", "v1"),
    ReadyEndpoint("region-1", "hammer", "v1", "nbo-2"),
    ReadyEndpoint("region-2", "hammer", "v1", "nbo-2"),
    ReadyEndpoint("far", "hammer", "v1", "mba-1", "mombasa"),
  };
  std::shared_ptr<const RouteTable> mTable = Build(mEndpoints);
  EndpointPicker mPicker;
  Random mRandom{ 5 };
  Millis mNow;
};

// Guards against calls over the billed links between data centres while nearer
// endpoints have free slots, and against queuing calls at near endpoints while
// farther ones have free slots.
TEST_F(EndpointPickerTest, SpillsOverToNextLocality)
{
  EXPECT_EQ(CountPicks().size(), 2U);
  SendCalls("local-1", 4);
  EXPECT_EQ(CountPicks(), (std::map<std::string, int>{ { "local-2", 400 } }));
  SendCalls("local-2", 4);
  const auto region = CountPicks();
  EXPECT_EQ(region.count("region-1") + region.count("region-2"), 2U);
  EXPECT_EQ(region.size(), 2U);
  SendCalls("region-1", 4);
  SendCalls("region-2", 4);
  EXPECT_EQ(PickNode(), "far");
  SendCalls("far", 4);
  EXPECT_EQ(PickNode().substr(0, 5), "local");
}

// Guards against choosing the busier of two endpoints, also when its load comes
// from other entry nodes and is known only from replies.
TEST_F(EndpointPickerTest, PrefersLowerLoad)
{
  Reply("local-1", Outcome::Ran, 3);
  EXPECT_EQ(CountPicks().size(), 1U);
  EXPECT_EQ(PickNode(), "local-2");
  mNow += Seconds(2);
  EXPECT_EQ(CountPicks().size(), 2U);
}

// Guards against retrying a call at a node that has already refused it.
TEST_F(EndpointPickerTest, SkipsExcludedNodes)
{
  EXPECT_EQ(PickNode({ "local-1" }), "local-2");
  EXPECT_EQ(PickNode({ "local-1", "local-2", "region-1", "region-2", "far" }),
            "");
}

// Guards against calls to a failing endpoint, and against sending it no call or
// all calls when the back-off ends.
TEST_F(EndpointPickerTest, ProbesFailingEndpointOnce)
{
  FailCalls("local-1");
  EXPECT_EQ(CountPicks(), (std::map<std::string, int>{ { "local-2", 400 } }));
  mNow += Seconds(1);
  EXPECT_EQ(PickNode(), "local-1");
  mPicker.OnSent("local-1", mNow);
  EXPECT_EQ(CountPicks(), (std::map<std::string, int>{ { "local-2", 400 } }));
  mPicker.OnReply("local-1", Outcome::Ran, 0, 4, { 5 }, mNow, mRandom);
  EXPECT_EQ(CountPicks().size(), 2U);
}

// Guards against an endpoint that stays unused because the result of its probe
// was never recorded.
TEST_F(EndpointPickerTest, ProbesAgainWhenProbeResultIsLost)
{
  FailCalls("local-1");
  mNow += Seconds(1);
  mPicker.OnSent("local-1", mNow);
  mNow += Seconds(11);
  EXPECT_EQ(PickNode(), "local-1");
}

// Guards against sending every call to a node that refuses at once because its
// target has exited, and that therefore looks idle.
TEST_F(EndpointPickerTest, SkipsEndpointThatRefusesWhileIdle)
{
  for (int i = 0; i < 10; ++i) {
    Reply("local-1", Outcome::NotRun, 0);
  }
  EXPECT_EQ(CountPicks(), (std::map<std::string, int>{ { "local-2", 400 } }));
}

// Guards against treating the refusals of a busy endpoint as failures: its
// circuit would stay open after the overload.
TEST_F(EndpointPickerTest, RefusalByBusyEndpointKeepsCircuitClosed)
{
  for (int i = 0; i < 20; ++i) {
    Reply("local-1", Outcome::NotRun, 4);
  }
  EXPECT_EQ(PickNode(), "local-2");
  mNow += Seconds(1);
  EXPECT_EQ(CountPicks().size(), 2U);
}

// Guards against sending all calls to the few endpoints with a closed circuit
// when the fault is on this node's side, for example a network partition.
TEST_F(EndpointPickerTest, UsesAllEndpointsWhenMostCircuitsAreOpen)
{
  FailCalls("local-1");
  FailCalls("local-2");
  EXPECT_EQ(PickNode().substr(0, 6), "region");
  FailCalls("region-1");
  const auto counts = CountPicks();
  EXPECT_EQ(counts.count("local-1") + counts.count("local-2"), 2U);
}

// Guards against sending the full load to an endpoint whose target has just
// started, also when an earlier endpoint at its node is still being observed.
TEST_F(EndpointPickerTest, NewEndpointGetsFullWeightAfterSlowStart)
{
  std::vector<EndpointFact> withoutLocal1 = mEndpoints;
  withoutLocal1.erase(withoutLocal1.begin());
  mPicker.OnSent("local-1", mNow);
  mPicker.OnSnapshot(*Build(withoutLocal1), mNow);
  mPicker.OnSnapshot(*mTable, mNow);
  mPicker.OnReply("local-1", Outcome::Ran, 0, 4, { 5 }, mNow, mRandom);
  SendCalls("local-2", 2);
  EXPECT_EQ(PickNode(), "local-2");
  mNow += Seconds(2.5);
  EXPECT_EQ(PickNode(), "local-1");
}

// Guards against holding an observation of every node ever seen, and against
// evicting observations with calls in flight.
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
