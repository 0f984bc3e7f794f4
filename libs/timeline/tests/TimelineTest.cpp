#include <timeline/EventRing.h>

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace papayaway {
namespace {

// Guards against a wall clock that is set back reordering the events of one
// node.
TEST(HybridClock, RisesWhenTheWallClockGoesBack)
{
  HybridClock clock("n1");
  const HybridTime first = clock.Tick({ 1000 });
  const HybridTime second = clock.Tick({ 400 });
  EXPECT_LT(first, second);
  EXPECT_LT(second, clock.Tick({ 1001 }));
}

// Guards against an effect that sorts before its cause on another node, and
// against one wrong clock moving the times of every node.
TEST(HybridClock, OrdersAfterObservedTimes)
{
  HybridClock slow("slow");
  const HybridTime cause{ 5000, 3, "fast" };
  EXPECT_TRUE(slow.Observe(cause, { 1000 }));
  EXPECT_LT(cause, slow.Tick({ 1000 }));
  EXPECT_FALSE(slow.Observe({ 1'000'000, 0, "wrong" }, { 1000 }));
  EXPECT_EQ(slow.Tick({ 6000 }).mPhysical, 6000);
}

// Guards against a ring that loses the newest events or hides the loss.
TEST(EventRing, KeepsNewestAndCountsOverwritten)
{
  EventRing ring(4);
  for (int i = 0; i < 10; ++i) {
    ring.Append({ .mTime = { i, 0, "n" } });
  }
  const std::vector<Event> events = ring.Events();
  ASSERT_EQ(events.size(), 4U);
  EXPECT_EQ(events.front().mTime.mPhysical, 6);
  EXPECT_EQ(events.back().mTime.mPhysical, 9);
  EXPECT_EQ(ring.Overwritten(), 6U);
}

// Guards against a cut inside a UTF-8 character, which makes the JSON output
// of the whole timeline throw.
TEST(EventRing, CutsLongTextsBetweenCharacters)
{
  EventRing ring;
  std::string text(EventRing::kMaxText - 1, 'x');
  text += "\xC3\xBC";
  ring.Append({ .mText = text });
  const std::string kept = ring.Events().front().mText;
  EXPECT_EQ(kept.size(), EventRing::kMaxText - 1);
  EXPECT_NO_THROW((void)ToJson(ring.Events().front()).dump());
}

// Guards against kinds without a name and fields lost between node and ctl.
TEST(Event, JsonFormReadsBackEqual)
{
  for (int kind = 0; kind <= static_cast<int>(EventKind::TargetCrashed);
       ++kind) {
    const Event event{ .mTime = { 17, 2, "n1" },
                       .mPart = "proxy",
                       .mKind = static_cast<EventKind>(kind),
                       .mService = "hammer",
                       .mVersion = "v2",
                       .mRequest = "abc",
                       .mText = "text" };
    EXPECT_EQ(ParseEvent(ToJson(event)).value(), event);
    nlohmann::json broken = ToJson(event);
    broken.erase("request");
    EXPECT_FALSE(ParseEvent(broken));
  }
}

} // namespace
} // namespace papayaway
