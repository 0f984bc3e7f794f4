#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include <timeline/Event.h>

namespace papayaway {

/** Selects events. An empty field matches every event. */
struct EventFilter
{
  /** The range of HybridTime::mPhysical, both ends inclusive. */
  std::int64_t mFrom = std::numeric_limits<std::int64_t>::min();
  std::int64_t mUntil = std::numeric_limits<std::int64_t>::max();
  std::vector<EventKind> mKinds;
  std::string mNode;
  std::string mPart;
  std::string mService;
  std::string mVersion;
  std::string mRequest;
  /** The maximum number of events; the newest ones are kept. */
  std::size_t mMaxEvents = std::numeric_limits<std::size_t>::max();

  /** @return whether aEvent matches, without regard to mMaxEvents. */
  [[nodiscard]] bool Accepts(const Event& aEvent) const;
};

/**
 * Merges the timelines of several nodes.
 *
 * @return the events that aFilter selects, in ascending order of time. An event
 *   that is in several lists occurs once.
 */
std::vector<Event> MergeEvents(const std::vector<std::vector<Event>>& aLists,
                               const EventFilter& aFilter = {});

} // namespace papayaway
