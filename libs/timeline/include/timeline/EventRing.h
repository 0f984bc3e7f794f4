#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <timeline/Event.h>

namespace papayaway {

/** A ring buffer of the latest events of a node. When it is full, each new
 *  event overwrites the oldest one. */
class EventRing
{
public:
  static constexpr std::size_t kCapacity = 4096;
  /** Texts are truncated to this many bytes, which bounds the memory use. */
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
  /** The index of the oldest event; 0 until the ring is full. */
  std::size_t mOldest = 0;
  std::uint64_t mOverwritten = 0;
};

} // namespace papayaway
