#pragma once

#include <functional>

#include <base/Millis.h>
#include <net/EventLoop.h>

namespace papayaway {

/** Runs the loop until aDone returns true, which is polled every few
 *  milliseconds, or aLimit has passed.
 *  @return whether aDone returned true. */
bool RunUntil(EventLoop& aLoop,
              const std::function<bool()>& aDone,
              Millis aLimit);

/** Runs the loop for aTime. */
void RunFor(EventLoop& aLoop, Millis aTime);

} // namespace papayaway
