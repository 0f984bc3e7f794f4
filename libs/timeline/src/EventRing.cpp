#include <timeline/EventRing.h>

#include <algorithm>
#include <string>
#include <utility>

namespace papayaway {

namespace {

/** Truncates aText to at most aLength bytes without splitting a UTF-8
 *  character. */
void
Truncate(std::string& aText, std::size_t aLength)
{
  if (aText.size() <= aLength) {
    return;
  }
  // Bytes 10xxxxxx continue a UTF-8 character. The JSON library throws when it
  // writes an incomplete character.
  while (aLength > 0 &&
         (static_cast<unsigned char>(aText[aLength]) & 0xC0U) == 0x80U) {
    --aLength;
  }
  aText.resize(aLength);
}

} // namespace

EventRing::EventRing(std::size_t aCapacity)
  : mCapacity(std::max<std::size_t>(1, aCapacity))
{
}

void
EventRing::Append(Event aEvent)
{
  for (std::string* text : { &aEvent.mPart,
                             &aEvent.mService,
                             &aEvent.mVersion,
                             &aEvent.mRequest,
                             &aEvent.mText }) {
    Truncate(*text, kMaxText);
  }
  if (mEvents.size() < mCapacity) {
    mEvents.push_back(std::move(aEvent));
    return;
  }
  mEvents[mOldest] = std::move(aEvent);
  mOldest = (mOldest + 1) % mCapacity;
  ++mOverwritten;
}

std::vector<Event>
EventRing::Events() const
{
  std::vector<Event> events;
  events.reserve(mEvents.size());
  const auto oldest = mEvents.begin() + static_cast<std::ptrdiff_t>(mOldest);
  events.insert(events.end(), oldest, mEvents.end());
  events.insert(events.end(), mEvents.begin(), oldest);
  return events;
}

} // namespace papayaway
