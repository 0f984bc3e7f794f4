#pragma once

#include <cstdint>

#include <base/Millis.h>

namespace papayaway {

/** How the platform simulator handles a request instead of serving it
 *  normally. */
enum class FaultAction
{
  None,
  /** Answer 503 without executing the request. */
  Refuse,
  /** Never answer and do not execute the request. */
  Hang,
  /** Execute the write, but answer 503 instead of its result. */
  LoseReply,
};

/** The faults that are simulated. */
struct Faults
{
  bool mOutage = false;
  bool mHang = false;
  Millis mDelay;
  std::uint64_t mLoseReplies = 0;

  /** @return the action for the next request. LoseReply decrements
   *    mLoseReplies. */
  FaultAction NextAction(bool aIsWrite)
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
