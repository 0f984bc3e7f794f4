#include <keys/KeyLedger.h>

#include <algorithm>

#include <base/Hash.h>

namespace papayaway {
namespace {

/** Estimated bytes of an entry in addition to its key and response: tree nodes,
 *  the index by expiry and the waiters. */
constexpr std::size_t kEntryOverheadBytes = 400;

/** @return the estimated memory of a response, with 64 bytes for each header in
 *  addition to its strings. */
std::size_t
ResponseBytes(const RecordedResponse& aResponse)
{
  std::size_t bytes = aResponse.mBody.size();
  for (const auto& [name, value] : aResponse.mHeaders) {
    bytes += name.size() + value.size() + 64;
  }
  return bytes;
}

} // namespace

int
KeySlot(std::string_view aKey)
{
  return static_cast<int>(Hash64(aKey) % kKeySlots);
}

std::uint64_t
RequestHash(std::string_view aMethod,
            std::string_view aPath,
            std::string_view aBody)
{
  const std::uint64_t hash = Hash64(aBody, Hash64(aPath, Hash64(aMethod)));
  return hash == 0 ? 1 : hash;
}

KeyLedger::KeyLedger()
  : KeyLedger(Options{})
{
}

KeyLedger::KeyLedger(Options aOptions)
  : mOptions(aOptions)
{
}

KeyAdmissionResult
KeyLedger::Admit(const std::string& aService,
                 const std::string& aKey,
                 std::uint64_t aHash,
                 std::uint64_t aWaiter,
                 Millis aNow)
{
  Expire(aNow);
  const Key key{ aService, aKey };
  if (const auto it = mEntries.find(key); it != mEntries.end()) {
    Entry& entry = it->second;
    if (entry.mHash != 0 && entry.mHash != aHash) {
      return { KeyAdmission::Mismatch, {} };
    }
    switch (entry.mState) {
      case KeyState::Recorded:
        return { KeyAdmission::Replay, entry.mResponse };
      case KeyState::Unknown:
        return { KeyAdmission::Unknown, {} };
      case KeyState::InFlight:
        break;
    }
    if (entry.mWaiters.size() >= mOptions.mMaxWaiters) {
      // The key is running, so "not run" would be false.
      return { KeyAdmission::Unknown, {} };
    }
    entry.mWaiters.push_back(aWaiter);
    return { KeyAdmission::Joined, {} };
  }
  const auto window = mInDoubtWindows.find({ aService, KeySlot(aKey) });
  const bool inDoubt = window != mInDoubtWindows.end() && aNow < window->second;
  if (!Insert(key, aHash)) {
    // In the in-doubt window a previous owner may have run the key, so "not
    // run" could be false.
    return { inDoubt ? KeyAdmission::Unknown : KeyAdmission::Full, {} };
  }
  if (inDoubt) {
    // The entry makes the key answer "unknown" after the window, too, because a
    // previous owner may have run it.
    Finish(key, nullptr, aNow);
    return { KeyAdmission::Unknown, {} };
  }
  Entry& entry = mEntries[key];
  entry.mWaiters.push_back(aWaiter);
  entry.mClaim = aWaiter;
  return { KeyAdmission::Run, {} };
}

bool
KeyLedger::MarkDispatched(const std::string& aService,
                          const std::string& aKey,
                          std::uint64_t aWaiter)
{
  const auto it = mEntries.find({ aService, aKey });
  if (it == mEntries.end() || it->second.mState != KeyState::InFlight ||
      it->second.mClaim != aWaiter || it->second.mDispatched) {
    return false;
  }
  it->second.mDispatched = true;
  return true;
}

std::vector<std::uint64_t>
KeyLedger::Complete(const std::string& aService,
                    const std::string& aKey,
                    const RecordedResponse& aResponse,
                    Millis aNow)
{
  return Finish({ aService, aKey }, &aResponse, aNow);
}

std::vector<std::uint64_t>
KeyLedger::MarkUnknown(const std::string& aService,
                       const std::string& aKey,
                       Millis aNow)
{
  return Finish({ aService, aKey }, nullptr, aNow);
}

std::vector<std::uint64_t>
KeyLedger::Abandon(const std::string& aService, const std::string& aKey)
{
  return RemoveInFlight({ aService, aKey }, false);
}

std::vector<std::uint64_t>
KeyLedger::Refuse(const std::string& aService, const std::string& aKey)
{
  return RemoveInFlight({ aService, aKey }, true);
}

std::vector<std::uint64_t>
KeyLedger::RemoveInFlight(const Key& aKey, bool aDispatched)
{
  const auto it = mEntries.find(aKey);
  if (it == mEntries.end() || it->second.mState != KeyState::InFlight ||
      it->second.mDispatched != aDispatched) {
    return {};
  }
  std::vector<std::uint64_t> waiters = std::move(it->second.mWaiters);
  Erase(it);
  return waiters;
}

void
KeyLedger::RemoveWaiter(const std::string& aService,
                        const std::string& aKey,
                        std::uint64_t aWaiter)
{
  if (const auto it = mEntries.find({ aService, aKey }); it != mEntries.end()) {
    std::erase(it->second.mWaiters, aWaiter);
  }
}

bool
KeyLedger::Restore(const KeyEntry& aEntry, Millis aNow)
{
  const Key key{ aEntry.mService, aEntry.mKey };
  if (!mEntries.contains(key) && !Insert(key, aEntry.mHash)) {
    return false;
  }
  const Entry& entry = mEntries[key];
  if (entry.mState == KeyState::Recorded) {
    return true;
  }
  const bool recorded = aEntry.mState == KeyState::Recorded;
  if (recorded || entry.mState == KeyState::InFlight) {
    Finish(key, recorded ? &aEntry.mResponse : nullptr, aNow);
  }
  return true;
}

void
KeyLedger::OpenInDoubtWindow(const std::string& aService,
                             int aSlot,
                             Millis aUntil)
{
  Millis& until = mInDoubtWindows[{ aService, aSlot }];
  until = std::max(until, aUntil);
}

void
KeyLedger::Expire(Millis aNow)
{
  while (!mEntriesByExpiry.empty() && mEntriesByExpiry.begin()->first <= aNow) {
    const Key key = mEntriesByExpiry.begin()->second;
    Erase(mEntries.find(key));
  }
  std::erase_if(mInDoubtWindows,
                [&](const auto& aWindow) { return aWindow.second <= aNow; });
}

std::vector<KeyEntry>
KeyLedger::Entries(const std::string& aService, int aSlot) const
{
  std::vector<KeyEntry> entries;
  for (auto it = mEntries.lower_bound({ aService, "" });
       it != mEntries.end() && it->first.first == aService;
       ++it) {
    if (KeySlot(it->first.second) == aSlot) {
      const Entry& entry = it->second;
      entries.push_back({ aService,
                          it->first.second,
                          entry.mHash,
                          entry.mState,
                          entry.mResponse });
    }
  }
  return entries;
}

bool
KeyLedger::HasInFlight(const std::string& aService, int aSlot) const
{
  const std::vector<KeyEntry> entries = Entries(aService, aSlot);
  return std::any_of(
    entries.begin(), entries.end(), [](const KeyEntry& aEntry) {
      return aEntry.mState == KeyState::InFlight;
    });
}

std::vector<std::uint64_t>
KeyLedger::Finish(const Key& aKey,
                  const RecordedResponse* aResponse,
                  Millis aNow)
{
  const auto it = mEntries.find(aKey);
  if (it == mEntries.end() || it->second.mState == KeyState::Recorded) {
    return {};
  }
  Entry& entry = it->second;
  const std::size_t base =
    kEntryOverheadBytes + aKey.first.size() + 2 * aKey.second.size();
  mBytes -= entry.mBytes;
  entry.mBytes = base;
  entry.mState = KeyState::Unknown;
  if (aResponse != nullptr &&
      mBytes + base + ResponseBytes(*aResponse) <= mOptions.mMaxBytes) {
    entry.mState = KeyState::Recorded;
    entry.mResponse = *aResponse;
    entry.mBytes += ResponseBytes(*aResponse);
  }
  mBytes += entry.mBytes;
  if (entry.mExpires != Never()) {
    const auto [first, last] = mEntriesByExpiry.equal_range(entry.mExpires);
    mEntriesByExpiry.erase(std::find_if(
      first, last, [&](const auto& aOld) { return aOld.second == aKey; }));
  }
  entry.mExpires = aNow + mOptions.mRetention;
  mEntriesByExpiry.emplace(entry.mExpires, aKey);
  return std::exchange(entry.mWaiters, {});
}

bool
KeyLedger::Insert(const Key& aKey, std::uint64_t aHash)
{
  const std::size_t bytes = kEntryOverheadBytes + aKey.first.size() +
                            2 * aKey.second.size() + mOptions.mReservedBytes;
  if (mEntries.size() >= mOptions.mMaxEntries ||
      mBytes + bytes > mOptions.mMaxBytes) {
    return false;
  }
  mEntries.emplace(aKey, Entry{ .mHash = aHash, .mBytes = bytes });
  mBytes += bytes;
  return true;
}

void
KeyLedger::Erase(std::map<Key, Entry>::iterator aPosition)
{
  const auto [first, last] =
    mEntriesByExpiry.equal_range(aPosition->second.mExpires);
  const auto expiry = std::find_if(first, last, [&](const auto& aOld) {
    return aOld.second == aPosition->first;
  });
  if (expiry != last) {
    mEntriesByExpiry.erase(expiry);
  }
  mBytes -= aPosition->second.mBytes;
  mEntries.erase(aPosition);
}

} // namespace papayaway
