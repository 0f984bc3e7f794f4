#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <timeline/Event.h>

namespace papayaway {

/** The last events of a node; older ones are overwritten and counted. */
class EventRing
{
public:
  static constexpr std::size_t kCapacity = 4096;
  /** Longer texts are cut, which bounds the memory of the ring. */
  static constexpr std::size_t kMaxText = 256;

  explicit EventRing(std::size_t aCapacity = kCapacity);

  void Append(Event aEvent);

  /** @return the events, oldest first. */
  [[nodiscard]] std::vector<Event> Events() const;

  /** @return how many events were overwritten. */
  [[nodiscard]] std::uint64_t Overwritten() const { return mOverwritten; }

  [[nodiscard]] std::size_t Size() const { return mEvents.size(); }

private:
  std::size_t mCapacity;
  std::vector<Event> mEvents;
  /** Where the oldest event is once the ring is full. */
  std::size_t mOldest = 0;
  std::uint64_t mOverwritten = 0;
};

} // namespace papayaway
