#include <keys/BackupCopies.h>

namespace papayaway {
namespace {

/** Estimated bytes of an entry in addition to its strings. */
constexpr std::size_t kEntryOverheadBytes = 300;
constexpr Millis kExpiryPeriod = Seconds(5);

/** @return the estimated memory of a copy. Service and key are stored twice, in
 *  the map's key and in the entry; each header takes 64 bytes in addition to
 *  its strings. */
std::size_t
EntryBytes(const KeyEntry& aEntry)
{
  std::size_t bytes = kEntryOverheadBytes + 2 * aEntry.mService.size() +
                      2 * aEntry.mKey.size() + aEntry.mResponse.mBody.size();
  for (const auto& [name, value] : aEntry.mResponse.mHeaders) {
    bytes += name.size() + value.size() + 64;
  }
  return bytes;
}

} // namespace

BackupCopies::BackupCopies()
  : BackupCopies(Options{})
{
}

BackupCopies::BackupCopies(Options aOptions)
  : mOptions(aOptions)
{
}

bool
BackupCopies::StoreIntent(const NodeProcess& aOwner,
                          const std::string& aService,
                          const std::string& aKey,
                          std::uint64_t aHash,
                          Millis aNow)
{
  return Store(aOwner, { aService, aKey, aHash, KeyState::InFlight, {} }, aNow);
}

bool
BackupCopies::Store(const NodeProcess& aOwner,
                    const KeyEntry& aEntry,
                    Millis aNow)
{
  if (aNow >= mNextExpiry) {
    Expire(aNow);
  }
  const Key key{ aOwner, aEntry.mService, aEntry.mKey };
  const auto old = mCopies.find(key);
  if (old != mCopies.end() &&
      (old->second.mEntry.mState == KeyState::Recorded ||
       aEntry.mState == KeyState::InFlight)) {
    // A delayed intent must not replace an outcome.
    return true;
  }
  const std::size_t bytes = EntryBytes(aEntry);
  const std::size_t replaced = old == mCopies.end() ? 0 : old->second.mBytes;
  if (mBytes - replaced + bytes > mOptions.mMaxBytes ||
      (old == mCopies.end() && mCopies.size() >= mOptions.mMaxEntries)) {
    return false;
  }
  mBytes += bytes - replaced;
  mCopies[key] = { aEntry, aNow, bytes };
  return true;
}

void
BackupCopies::DropIntent(const NodeProcess& aOwner,
                         const std::string& aService,
                         const std::string& aKey)
{
  const auto it = mCopies.find({ aOwner, aService, aKey });
  if (it != mCopies.end() && it->second.mEntry.mState == KeyState::InFlight) {
    mBytes -= it->second.mBytes;
    mCopies.erase(it);
  }
}

std::vector<KeyEntry>
BackupCopies::EntriesOf(const NodeProcess& aOwner,
                        const std::string& aService,
                        int aSlot) const
{
  std::vector<KeyEntry> entries;
  for (auto it = mCopies.lower_bound({ aOwner, aService, "" });
       it != mCopies.end() && std::get<0>(it->first) == aOwner &&
       std::get<1>(it->first) == aService;
       ++it) {
    if (KeySlot(std::get<2>(it->first)) == aSlot) {
      entries.push_back(it->second.mEntry);
    }
  }
  return entries;
}

void
BackupCopies::Expire(Millis aNow)
{
  mNextExpiry = aNow + kExpiryPeriod;
  for (auto it = mCopies.begin(); it != mCopies.end();) {
    if (it->second.mStoredAt + mOptions.mRetention <= aNow) {
      mBytes -= it->second.mBytes;
      it = mCopies.erase(it);
    } else {
      ++it;
    }
  }
}

} // namespace papayaway
