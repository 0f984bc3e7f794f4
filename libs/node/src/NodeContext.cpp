#include "NodeContext.h"

#include <glog/logging.h>

namespace papayaway {

NodeContext::NodeContext(EventLoop& aLoop, NodeSettings aSettings)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mIncarnation(static_cast<std::uint64_t>(WallNow().WholeMillis()))
  , mRandom(SeededFromSystem())
  , mClock(mSettings.mName)
{
}

void
NodeContext::Record(Event aEvent)
{
  aEvent.mTime = mClock.Tick(WallNow());
  LOG(INFO) << aEvent.mPart << ": " << aEvent.mText;
  mEvents.Append(std::move(aEvent));
}

Millis
NodeContext::Jittered(Millis aPeriod)
{
  return aPeriod * (0.75 + 0.5 * UniformFraction(mRandom));
}

} // namespace papayaway
