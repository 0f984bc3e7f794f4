#include <timeline/EventRing.h>

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace papayaway {
namespace {

// Guards against events of one node that change order because the wall clock
// was set back.
TEST(HybridClock, IncreasesWhenTheWallClockIsSetBack)
{
  HybridClock clock("n1");
  const HybridTime first = clock.Tick({ 1000 });
  const HybridTime second = clock.Tick({ 400 });
  EXPECT_LT(first, second);
  EXPECT_LT(second, clock.Tick({ 1001 }));
}

// Guards against an effect that is ordered before its cause on another node,
// and against one wrong clock that affects the timestamps of all nodes.
TEST(HybridClock, OrdersAfterObservedTimes)
{
  HybridClock slow("slow");
  const HybridTime cause{ 5000, 3, "fast" };
  EXPECT_TRUE(slow.Observe(cause, { 1000 }));
  EXPECT_LT(cause, slow.Tick({ 1000 }));
  EXPECT_FALSE(slow.Observe({ 1'000'000, 0, "wrong" }, { 1000 }));
  EXPECT_EQ(slow.Tick({ 6000 }).mPhysical, 6000);
}

// Guards against a ring buffer that overwrites the newest events or does not
// count the overwritten ones.
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

// Guards against truncation within a UTF-8 character, which makes the JSON
// output of the timeline throw.
TEST(EventRing, TruncatesLongTextsBetweenCharacters)
{
  EventRing ring;
  std::string text(EventRing::kMaxText - 1, 'x');
  text += "\xC3\xBC";
  ring.Append({ .mText = text });
  const std::string kept = ring.Events().front().mText;
  EXPECT_EQ(kept.size(), EventRing::kMaxText - 1);
  EXPECT_NO_THROW((void)ToJson(ring.Events().front()).dump());
}

// Guards against event kinds without a name, and against fields that are lost
// in the JSON form.
TEST(Event, ParsingRestoresTheEvent)
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
