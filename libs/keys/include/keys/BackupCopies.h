#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <keys/OwnersRow.h>

namespace papayaway {

/**
 * The copies of ledger entries that a backup stores for owners: the intent to
 * run a key before the owner runs it, and its outcome afterwards.
 *
 * If there is no room for an intent, the backup does not acknowledge it, and
 * the owner refuses the key as "not run". If there is no room for an outcome,
 * the intent stays stored, and the key answers "unknown" after a takeover.
 */
class BackupCopies
{
public:
  struct Options
  {
    Millis mRetention = Seconds(600);
    std::size_t mMaxEntries = 20000;
    std::size_t mMaxBytes = std::size_t{ 8 } << 20;
  };

  BackupCopies();
  explicit BackupCopies(Options aOptions);

  /** Stores an intent.
   *  @return whether to acknowledge it. */
  bool StoreIntent(const NodeProcess& aOwner,
                   const std::string& aService,
                   const std::string& aKey,
                   std::uint64_t aHash,
                   Millis aNow);

  /** Stores the owner's entry of a key: an outcome, or an entry of a full copy
   *  of a slot. An entry with a recorded response is not replaced.
   *  @return whether the entry, or a later state of the key, is stored. */
  bool Store(const NodeProcess& aOwner, const KeyEntry& aEntry, Millis aNow);

  /** Removes the intent of a key that was not dispatched. */
  void DropIntent(const NodeProcess& aOwner,
                  const std::string& aService,
                  const std::string& aKey);

  /** @return aOwner's entries of a slot, for the new owner of the slot. The
   *    state of intents is KeyState::InFlight, which KeyLedger::Restore()
   *    changes to KeyState::Unknown. */
  [[nodiscard]] std::vector<KeyEntry> EntriesOf(const NodeProcess& aOwner,
                                                const std::string& aService,
                                                int aSlot) const;

  /** Removes entries that were stored longer ago than the retention time. */
  void Expire(Millis aNow);

  [[nodiscard]] std::size_t EntryCount() const { return mCopies.size(); }
  [[nodiscard]] std::size_t Bytes() const { return mBytes; }

private:
  using Key = std::tuple<NodeProcess, std::string, std::string>;

  struct Copy
  {
    KeyEntry mEntry;
    Millis mStoredAt;
    std::size_t mBytes = 0;
  };

  Options mOptions;
  std::map<Key, Copy> mCopies;
  std::size_t mBytes = 0;
  /** When Store() calls Expire() next. Expire() scans all entries, so it must
   *  not run for each intent. */
  Millis mNextExpiry;
};

} // namespace papayaway
