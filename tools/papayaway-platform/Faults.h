#pragma once

#include <cstdint>

#include <base/Millis.h>

namespace papayaway {

/** What the stand-in does to a request instead of serving it normally. */
enum class FaultAction
{
  None,
  /** Answer 503 without any effect. */
  Refuse,
  /** Never answer, without any effect. */
  Hang,
  /** Let the write take effect and answer 503 in place of its result. */
  LoseReply,
};

/** The faults that are switched on. */
struct Faults
{
  bool mOutage = false;
  bool mHang = false;
  Millis mDelay;
  std::uint64_t mLoseReplies = 0;

  /** @return the action for the next request; counts a lost reply. */
  FaultAction Next(bool aIsWrite)
  {
    if (mOutage) {
      return mHang ? FaultAction::Hang : FaultAction::Refuse;
    }
    if (aIsWrite && mLoseReplies > 0) {
      --mLoseReplies;
      return FaultAction::LoseReply;
    }
    return FaultAction::None;
  }
};

} // namespace papayaway
