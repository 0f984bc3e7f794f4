#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include <base/Millis.h>

namespace papayaway {

/** A hybrid logical time: close to the wall clock and in causal order. */
struct HybridTime
{
  /** Milliseconds since the Unix epoch. */
  std::int64_t mPhysical = 0;
  /** Orders events of one millisecond. */
  std::uint64_t mCounter = 0;
  /** The node, which makes the time unique. */
  std::string mNode;

  // clang-tidy 14 reports the 0 that the compiler puts into "(a <=> b) < 0".
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const HybridTime&) const = default;
};

/**
 * Gives hybrid logical times to the events of one node.
 *
 * Times rise strictly, also when the wall clock is set back.
 */
class HybridClock
{
public:
  /** Remote times further ahead of the wall clock are not taken over, so that
   *  one host with a wrong clock does not move the times of all. */
  static constexpr Millis kMaxLead = Seconds(60);

  explicit HybridClock(std::string aNode);

  /** @return the time of a local event, later than every earlier one.
   *  @param aWallNow the wall clock. */
  HybridTime Tick(Millis aWallNow);

  /** Takes in the time of a message, so that later events come after it.
   *  @return false if aRemote is more than kMaxLead ahead and was ignored. */
  bool Observe(const HybridTime& aRemote, Millis aWallNow);

  /** @return the time of the last event. */
  [[nodiscard]] const HybridTime& Last() const { return mLast; }

private:
  HybridTime mLast;
};

} // namespace papayaway
