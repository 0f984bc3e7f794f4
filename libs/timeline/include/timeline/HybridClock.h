#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include <base/Millis.h>

namespace papayaway {

/** A hybrid logical timestamp: close to the wall clock, and ordered so that a
 *  cause precedes its effect. */
struct HybridTime
{
  /** Milliseconds since the Unix epoch. */
  std::int64_t mPhysical = 0;
  /** Orders events within one millisecond. */
  std::uint64_t mCounter = 0;
  /** The id of the node, which makes the timestamp unique. */
  std::string mNode;

  // clang-tidy 14 reports the 0 that the compiler puts into "(a <=> b) < 0".
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const HybridTime&) const = default;
};

/**
 * Assigns hybrid logical timestamps to the events of one node.
 *
 * Timestamps increase strictly, even if the wall clock is set back.
 */
class HybridClock
{
public:
  /** Remote timestamps that are further ahead of the wall clock are ignored, so
   *  that one host with a wrong clock does not affect all others. */
  static constexpr Millis kMaxLead = Seconds(60);

  explicit HybridClock(std::string aNode);

  /** @return the timestamp of a new local event, later than all earlier ones.
   *  @param aWallNow the time of the wall clock. */
  HybridTime Tick(Millis aWallNow);

  /** Advances the clock to the timestamp of a received message, so that later
   *  local events are ordered after it.
   *  @return false if aRemote is more than kMaxLead ahead and was ignored. */
  bool Observe(const HybridTime& aRemote, Millis aWallNow);

  /** @return the latest timestamp that was assigned or observed. */
  [[nodiscard]] const HybridTime& Last() const { return mLast; }

private:
  HybridTime mLast;
};

} // namespace papayaway
