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

/** What all parts of a node share. */
struct NodeContext
{
  EventLoop& mLoop;
  NodeSettings mSettings;
  /** The wall clock at the start in milliseconds. */
  std::uint64_t mIncarnation = 0;
  Random mRandom;
  HybridClock mClock;
  EventRing mEvents{};
  NodeMetrics mMetrics{};

  NodeContext(EventLoop& aLoop, NodeSettings aSettings);

  /** Appends aEvent to the timeline with the current time and logs it. */
  void Record(Event aEvent);

  /** @return aPeriod, shortened or lengthened by up to a quarter, so that
   *    nodes that start together do not act together. */
  Millis Jittered(Millis aPeriod);
};

} // namespace papayaway
