#include <gateway/StateFreshness.h>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

// Guards against a restarted node that accepts keys with the state of a node
// that lacks a version which others have already.
TEST(StateFreshness, RestartedNodeWaitsForTheNewestReportedVersion)
{
  StateFreshness freshness({}, {});
  freshness.OnReport(1, {}, 0, Millis{ 10 });
  EXPECT_EQ(freshness.Doubt(1, Millis{ 20 }), StateDoubt::Outdated);
  freshness.OnReport(2, {}, 1, Millis{ 100 });
  freshness.OnReport(1, {}, 1, Millis{ 110 });
  EXPECT_EQ(freshness.Doubt(1, Millis{ 500 }), StateDoubt::Outdated);
  EXPECT_EQ(freshness.Doubt(2, Millis{ 500 }), StateDoubt::None);
  // Also long after the start, while the node still lacks the version.
  freshness.OnReport(3, {}, 2, Millis{ 9900 });
  EXPECT_EQ(freshness.Doubt(2, Millis{ 10500 }), StateDoubt::Outdated);
  EXPECT_EQ(freshness.Doubt(3, Millis{ 10600 }), StateDoubt::None);
}

// Guards against refusals of a node that runs: each change reaches some nodes
// before others.
TEST(StateFreshness, RunningNodeServesUntilAChangeArrives)
{
  StateFreshness freshness({}, {});
  freshness.OnStoreAnswer(Millis{ 10 }, Millis{ 10 });
  EXPECT_EQ(freshness.Doubt(1, Millis{ 10001 }), StateDoubt::None);
  freshness.OnReport(2, {}, 1, Millis{ 10100 });
  EXPECT_EQ(freshness.Doubt(1, Millis{ 10200 }), StateDoubt::None);
}

// Guards against a node that refuses for ever because of a version that no
// node has any more, or that was reported in error.
TEST(StateFreshness, ReportExpires)
{
  StateFreshness freshness({}, {});
  freshness.OnReport(9, {}, 1, Millis{ 100 });
  EXPECT_EQ(freshness.Doubt(1, Millis{ 3000 }), StateDoubt::Outdated);
  freshness.OnReport(1, {}, 1, Millis{ 3200 });
  EXPECT_EQ(freshness.Doubt(1, Millis{ 3300 }), StateDoubt::None);
}

/** Ticks every 100 ms. */
void
TickUntil(StateFreshness& aFreshness, double aFrom, double aTo)
{
  for (double time = aFrom; time <= aTo; time += 100) {
    aFreshness.OnTick(Millis{ time });
  }
}

// Guards against a node that is cut off and accepts revoked keys beyond the
// limit, and against an outage of the store at one node that stops it although
// its neighbours are confirmed.
TEST(StateFreshness, StrictNodeNeedsARecentConfirmation)
{
  StateFreshness freshness({ .mStrict = true }, {});
  EXPECT_EQ(freshness.Doubt(1, {}), StateDoubt::Unconfirmed);
  freshness.OnStoreAnswer({}, {});
  TickUntil(freshness, 0, 5000);
  EXPECT_EQ(freshness.Doubt(1, Millis{ 5000 }), StateDoubt::None);
  EXPECT_EQ(freshness.Doubt(1, Millis{ 5001 }), StateDoubt::Unconfirmed);
  freshness.OnReport(1, Millis{ 1000 }, 1, Millis{ 5100 });
  EXPECT_EQ(freshness.ConfirmedAgo(Millis{ 5100 }), Millis{ 1200 });
  EXPECT_EQ(freshness.Doubt(1, Millis{ 5100 }), StateDoubt::None);
  // A confirmation of a version that this node lacks is none for its own.
  freshness.OnReport(2, Millis{ 0 }, 1, Millis{ 5200 });
  EXPECT_EQ(freshness.ConfirmedAgo(Millis{ 5200 }), Millis{ 1300 });
}

// Guards against a node that was frozen and takes reports that arrived
// meanwhile for recent ones.
TEST(StateFreshness, ReportsReadAfterAGapDoNotConfirm)
{
  StateFreshness freshness({ .mStrict = true }, {});
  freshness.OnStoreAnswer({}, {});
  freshness.OnReport(1, Millis{ 0 }, 1, Millis{ 20000 });
  freshness.OnStoreAnswer(Millis{ 20001 }, Millis{ 20001 });
  EXPECT_EQ(freshness.Doubt(1, Millis{ 20002 }), StateDoubt::Unconfirmed);
  TickUntil(freshness, 20100, 21200);
  freshness.OnStoreAnswer(Millis{ 21200 }, Millis{ 21200 });
  EXPECT_EQ(freshness.Doubt(1, Millis{ 21200 }), StateDoubt::None);
}

// Guards against two nodes without a confirmation of their own that keep each
// other confirmed.
TEST(StateFreshness, RepeatedReportsAge)
{
  StateFreshness a({ .mStrict = true }, {});
  StateFreshness b({ .mStrict = true }, {});
  a.OnStoreAnswer({}, {});
  for (double time = 500; time <= 8000; time += 500) {
    b.OnReport(1, a.ConfirmedAgo(Millis{ time }), 1, Millis{ time + 150 });
    a.OnReport(1, b.ConfirmedAgo(Millis{ time }), 1, Millis{ time + 150 });
  }
  EXPECT_EQ(a.Doubt(1, Millis{ 8200 }), StateDoubt::Unconfirmed);
  EXPECT_EQ(b.Doubt(1, Millis{ 8200 }), StateDoubt::Unconfirmed);
}

} // namespace
} // namespace papayaway::gateway
