#pragma once

#include <cstdint>
#include <string>

#include <base/Millis.h>
#include <base/Random.h>
#include <config/NodeSettings.h>
#include <net/EventLoop.h>
#include <timeline/Event.h>
#include <timeline/EventRing.h>
#include <timeline/HybridClock.h>

#include "NodeMetrics.h"

namespace papayaway {

/** The state that all components of a node share. */
struct NodeContext
{
  EventLoop& mLoop;
  NodeSettings mSettings;
  /** The wall-clock time of the node's start, in milliseconds. */
  std::uint64_t mIncarnation = 0;
  Random mRandom;
  HybridClock mClock;
  EventRing mEvents{};
  NodeMetrics mMetrics{};

  NodeContext(EventLoop& aLoop, NodeSettings aSettings);

  /** Appends aEvent to the timeline with the current time and logs it. */
  void Record(Event aEvent);

  /** @return aPeriod with random jitter of up to 25 %, so that the timers of
   *    nodes that start together do not stay synchronised. */
  Millis Jittered(Millis aPeriod);
};

} // namespace papayaway
