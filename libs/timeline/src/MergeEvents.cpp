#include <timeline/MergeEvents.h>

#include <algorithm>
#include <iterator>

namespace papayaway {

namespace {

bool
Matches(const std::string& aWanted, const std::string& aValue)
{
  return aWanted.empty() || aWanted == aValue;
}

} // namespace

bool
EventFilter::Accepts(const Event& aEvent) const
{
  const bool kindMatches =
    mKinds.empty() ||
    std::find(mKinds.begin(), mKinds.end(), aEvent.mKind) != mKinds.end();
  return kindMatches && aEvent.mTime.mPhysical >= mFrom &&
         aEvent.mTime.mPhysical <= mUntil &&
         Matches(mNode, aEvent.mTime.mNode) && Matches(mPart, aEvent.mPart) &&
         Matches(mService, aEvent.mService) &&
         Matches(mVersion, aEvent.mVersion) &&
         Matches(mRequest, aEvent.mRequest);
}

std::vector<Event>
MergeEvents(const std::vector<std::vector<Event>>& aLists,
            const EventFilter& aFilter)
{
  std::vector<Event> merged;
  for (const std::vector<Event>& list : aLists) {
    std::copy_if(list.begin(),
                 list.end(),
                 std::back_inserter(merged),
                 [&](const Event& aEvent) { return aFilter.Accepts(aEvent); });
  }
  std::stable_sort(
    merged.begin(), merged.end(), [](const Event& aLeft, const Event& aRight) {
      return aLeft.mTime < aRight.mTime;
    });
  merged.erase(std::unique(merged.begin(), merged.end()), merged.end());
  if (merged.size() > aFilter.mMaxEvents) {
    merged.erase(merged.begin(),
                 merged.end() -
                   static_cast<std::ptrdiff_t>(aFilter.mMaxEvents));
  }
  return merged;
}

} // namespace papayaway
