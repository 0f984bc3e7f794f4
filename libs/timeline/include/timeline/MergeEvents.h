#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include <timeline/Event.h>

namespace papayaway {

/** Which events to keep; empty fields keep all. */
struct EventFilter
{
  /** Wall clock in milliseconds, both inclusive. */
  std::int64_t mFrom = std::numeric_limits<std::int64_t>::min();
  std::int64_t mUntil = std::numeric_limits<std::int64_t>::max();
  std::vector<EventKind> mKinds;
  std::string mNode;
  std::string mPart;
  std::string mService;
  std::string mVersion;
  std::string mRequest;
  /** The newest events are kept if there are more. */
  std::size_t mMaxEvents = std::numeric_limits<std::size_t>::max();

  /** @return whether aEvent is kept, mMaxEvents aside. */
  [[nodiscard]] bool Accepts(const Event& aEvent) const;
};

/**
 * Merges the timelines of several nodes.
 *
 * @return the events that aFilter keeps in the order of their times; an event
 *   that several lists hold occurs once.
 */
std::vector<Event> MergeEvents(const std::vector<std::vector<Event>>& aLists,
                               const EventFilter& aFilter = {});

} // namespace papayaway
