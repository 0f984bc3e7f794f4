#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <keys/OwnersRow.h>

namespace papayaway {

/**
 * What a backup keeps for owners: intents before a key runs, outcomes after.
 *
 * When there is no room, an intent is not acknowledged, and the owner refuses
 * the key as "not run". An outcome without room leaves the intent, which
 * answers "unknown" after a takeover.
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

  /** Keeps an intent.
   *  @return whether to acknowledge it. */
  bool StoreIntent(const NodeRun& aOwner,
                   const std::string& aService,
                   const std::string& aKey,
                   std::uint64_t aHash,
                   Millis aNow);

  /** Keeps what the owner knows of a key: an outcome, or an entry of a full
   *  copy. A recorded outcome is not replaced.
   *  @return whether it is kept as a whole. */
  bool Store(const NodeRun& aOwner, const KeyEntry& aEntry, Millis aNow);

  /** Drops an intent whose key was not dispatched. */
  void DropIntent(const NodeRun& aOwner,
                  const std::string& aService,
                  const std::string& aKey);

  /** @return the entries of a slot for its new owner; intents are marked as
   *    in flight, which Restore() of the ledger turns into unknown. */
  [[nodiscard]] std::vector<KeyEntry> HandOver(const NodeRun& aOwner,
                                               const std::string& aService,
                                               int aSlot) const;

  /** Drops entries past their retention. */
  void Expire(Millis aNow);

  [[nodiscard]] std::size_t EntryCount() const { return mCopies.size(); }
  [[nodiscard]] std::size_t Bytes() const { return mBytes; }

private:
  using Key = std::tuple<NodeRun, std::string, std::string>;

  struct Copy
  {
    KeyEntry mEntry;
    Millis mStored;
    std::size_t mBytes = 0;
  };

  Options mOptions;
  std::map<Key, Copy> mCopies;
  std::size_t mBytes = 0;
  /** Keeps the scan of Expire() off the path of each intent. */
  Millis mNextExpiry;
};

} // namespace papayaway
