#pragma once

#include <functional>

#include <base/Millis.h>
#include <net/EventLoop.h>

namespace papayaway {

/** Runs the loop until a condition holds, which is asked every few
 *  milliseconds.
 *  @return whether it came true within the limit. */
bool RunUntil(EventLoop& aLoop,
              const std::function<bool()>& aDone,
              Millis aLimit);

/** Runs the loop for a time. */
void RunFor(EventLoop& aLoop, Millis aTime);

} // namespace papayaway
