#pragma once

#include <cstdint>

#include <base/Millis.h>

namespace papayaway {

/** How the platform stand-in handles a request instead of serving it
 *  normally. */
enum class FaultAction
{
  None,
  /** Answer 503 without executing the request. */
  Refuse,
  /** Never answer and do not execute the request. */
  Hang,
  /** Execute the write, but answer 503 instead of its result. */
  LoseResponse,
};

/** The faults that are simulated. */
struct Faults
{
  bool mOutage = false;
  bool mHang = false;
  Millis mDelay;
  std::uint64_t mLoseResponses = 0;

  /** @return the action for the next request. LoseResponse decrements
   *    mLoseResponses. */
  FaultAction NextAction(bool aIsWrite)
  {
    if (mOutage) {
      return mHang ? FaultAction::Hang : FaultAction::Refuse;
    }
    if (aIsWrite && mLoseResponses > 0) {
      --mLoseResponses;
      return FaultAction::LoseResponse;
    }
    return FaultAction::None;
  }
};

} // namespace papayaway
