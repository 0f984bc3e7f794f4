#include <timeline/HybridClock.h>

#include <utility>

namespace papayaway {

HybridClock::HybridClock(std::string aNode)
{
  mLast.mNode = std::move(aNode);
}

HybridTime
HybridClock::Tick(Millis aWallNow)
{
  if (aWallNow.WholeMillis() > mLast.mPhysical) {
    mLast.mPhysical = aWallNow.WholeMillis();
    mLast.mCounter = 0;
  } else {
    ++mLast.mCounter;
  }
  return mLast;
}

bool
HybridClock::Observe(const HybridTime& aRemote, Millis aWallNow)
{
  if (aRemote.mPhysical > (aWallNow + kMaxLead).WholeMillis()) {
    return false;
  }
  if (aRemote.mPhysical > mLast.mPhysical) {
    mLast.mPhysical = aRemote.mPhysical;
    mLast.mCounter = aRemote.mCounter;
  } else if (aRemote.mPhysical == mLast.mPhysical &&
             aRemote.mCounter > mLast.mCounter) {
    mLast.mCounter = aRemote.mCounter;
  }
  return true;
}

} // namespace papayaway
