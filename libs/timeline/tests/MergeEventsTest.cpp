#include <timeline/MergeEvents.h>

#include <gtest/gtest.h>

namespace papayaway {
namespace {

std::vector<std::int64_t>
TimesOf(const std::vector<Event>& aEvents)
{
  std::vector<std::int64_t> times;
  times.reserve(aEvents.size());
  for (const Event& event : aEvents) {
    times.push_back(event.mTime.mPhysical);
  }
  return times;
}

// Guards against a merge that repeats events if the same node was queried
// twice, or that orders an effect before its cause.
TEST(MergeEvents, OrdersAndRemovesDuplicates)
{
  const std::vector<Event> left{ { .mTime = { 1, 0, "a" } },
                                 { .mTime = { 5, 1, "a" } } };
  const std::vector<Event> right{ { .mTime = { 5, 0, "b" } },
                                  { .mTime = { 9, 0, "b" } } };
  const std::vector<Event> merged = MergeEvents({ left, right, left });
  ASSERT_EQ(TimesOf(merged), (std::vector<std::int64_t>{ 1, 5, 5, 9 }));
  EXPECT_EQ(merged[1].mTime.mNode, "b");
}

// Guards against a filter that is ignored, and against a limit that removes
// the newest events instead of the oldest.
TEST(MergeEvents, FiltersAndKeepsNewest)
{
  std::vector<Event> events;
  events.reserve(10);
  for (int i = 0; i < 10; ++i) {
    events.push_back({ .mTime = { i, 0, "a" },
                       .mKind = i % 2 == 0 ? EventKind::Shed : EventKind::Drain,
                       .mService = i < 6 ? "hammer" : "ledger" });
  }
  EXPECT_EQ(TimesOf(MergeEvents({ events },
                                { .mFrom = 1,
                                  .mUntil = 8,
                                  .mKinds = { EventKind::Shed },
                                  .mService = "hammer" })),
            (std::vector<std::int64_t>{ 2, 4 }));
  EXPECT_EQ(TimesOf(MergeEvents({ events }, { .mMaxEvents = 2 })),
            (std::vector<std::int64_t>{ 8, 9 }));
  EXPECT_TRUE(MergeEvents({ events }, { .mNode = "b" }).empty());
}

} // namespace
} // namespace papayaway
