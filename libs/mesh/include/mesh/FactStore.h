#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

#include <base/Millis.h>
#include <wire/Messages.h>

namespace papayaway {

/** For each bucket, the sum of the hashes of its facts. Nodes compare them to
 *  find the facts in which their stores differ. */
using BucketDigests = std::array<std::uint64_t, kDigestBuckets>;

/** @return the index of the type T in the variant Fact. */
template<typename T, std::size_t I = 0>
constexpr std::size_t
FactTypeIndex()
{
  if constexpr (std::is_same_v<T, std::variant_alternative_t<I, Fact>>) {
    return I;
  } else {
    return FactTypeIndex<T, I + 1>();
  }
}

struct FactStoreOptions
{
  /** The limit of stored facts; beyond it facts with new keys are refused. */
  std::size_t mMaxFacts = 8192;
  /** The limit of tombstones; beyond it the oldest is evicted first. */
  std::size_t mMaxTombstones = 2048;
  /** How long the facts of dead or left members and of gone endpoints stay in
   *  the store. */
  Millis mRetention = Seconds(600);
  /** How long a tombstone is kept. A node that was partitioned for longer can
   *  bring a removed fact back. */
  Millis mTombstoneRetention = Seconds(24 * 3600);
};

/**
 * All facts that a node knows. The result of merging them does not depend on
 * their order of arrival.
 *
 * The removed fact of a member or endpoint leaves a tombstone. A fact with the
 * same key is stored again only if it supersedes the tombstone. A node that was
 * partitioned when the fact was removed therefore can't bring it back while the
 * tombstone is kept.
 */
class FactStore
{
public:
  explicit FactStore(FactStoreOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /** @return whether aFact was added or replaced an older fact. If so, the
   *    caller forwards it to its peers. */
  bool Merge(const Fact& aFact);

  /** @return the fact with this key, or nullptr. The pointer is valid until the
   *    next change of the store. */
  [[nodiscard]] const Fact* Find(const std::string& aKey) const;

  /** @return the fact with this key if it is of type T, else nullptr. */
  template<typename T>
  [[nodiscard]] const T* Find(const std::string& aKey) const
  {
    const Fact* const fact = Find(aKey);
    return fact == nullptr ? nullptr : std::get_if<T>(fact);
  }

  /** @return the member fact of aNode, or nullptr. */
  [[nodiscard]] const MemberFact* Member(const std::string& aNode) const;

  /**
   * @return the tombstone's fact that makes Merge() refuse aFact, or nullptr.
   *   The caller sends it to the sender of aFact, so that a node that was
   *   partitioned learns that it was declared dead and can refute that.
   */
  [[nodiscard]] const Fact* SupersedingTombstone(const Fact& aFact) const;

  /** Calls aVisit(const T&) for each fact of type T in the order of keys. */
  template<typename T, typename Visit>
  void ForEach(Visit aVisit) const
  {
    for (const auto& [key, entry] : mEntriesByType[FactTypeIndex<T>()]) {
      aVisit(std::get<T>(entry.mFact));
    }
  }

  /** @return the number of facts of type T. */
  template<typename T>
  [[nodiscard]] std::size_t Count() const
  {
    return mEntriesByType[FactTypeIndex<T>()].size();
  }

  [[nodiscard]] std::size_t Size() const;

  /** @return the number of facts that were refused because the store was
   *    full. */
  [[nodiscard]] std::uint64_t RefusedWhenFull() const
  {
    return mRefusedWhenFull;
  }

  /** @return the digests of all facts by bucket. */
  [[nodiscard]] const BucketDigests& Digests() const { return mBuckets; }

  /** @return the indices of the buckets whose digests differ from those in
   *    aBuckets. */
  [[nodiscard]] std::vector<std::size_t> DifferingBuckets(
    const BucketDigests& aBuckets) const;

  /** @return all facts of the buckets with the given indices. */
  [[nodiscard]] std::vector<Fact> FactsInBuckets(
    const std::vector<std::size_t>& aIndices) const;

  /** Removes expired quarantines, and members and endpoints that were dead,
   *  left or gone for longer than the retention. Call it about once a second.
   *  @param aWallNow the wall clock. */
  void Expire(Millis aWallNow);

  /** Removes each move for which aIsObsolete(const MoveFact&) returns true:
   *  moves that finished or were taken back and that the document no longer
   *  names. No tombstones are added, because all nodes decide by the same
   *  document. */
  template<typename IsObsolete>
  void DropMoves(IsObsolete aIsObsolete)
  {
    RemoveIf(FactTypeIndex<MoveFact>(), [&](const Entry& aEntry) {
      return aIsObsolete(std::get<MoveFact>(aEntry.mFact));
    });
  }

private:
  static constexpr std::size_t kFactTypes = std::variant_size_v<Fact>;

  struct Entry
  {
    Fact mFact;
    std::uint64_t mHash = 0;
    std::uint32_t mBucket = 0;
    /** When Expire() first saw the fact in a terminal state. */
    std::optional<Millis> mTerminalSince;
  };
  /** A removed fact and when Expire() removed it. */
  struct Tombstone
  {
    Fact mFact;
    Millis mRemoved;
  };
  using Entries = std::map<std::string, Entry>;

  template<typename Condition>
  void RemoveIf(std::size_t aTypeIndex, Condition aCondition)
  {
    std::erase_if(mEntriesByType[aTypeIndex], [&](const auto& aItem) {
      const bool remove = aCondition(aItem.second);
      if (remove) {
        mBuckets[aItem.second.mBucket] -= aItem.second.mHash;
      }
      return remove;
    });
  }

  [[nodiscard]] bool IsAdmissible(const std::string& aKey,
                                  const Fact& aFact) const;
  void AddTombstone(const std::string& aKey, const Fact& aFact);
  void RemoveTerminal(std::size_t aTypeIndex);
  void EvictTombstones();

  FactStoreOptions mOptions;
  std::array<Entries, kFactTypes> mEntriesByType;
  std::map<std::string, Tombstone> mTombstones;
  BucketDigests mBuckets{};
  Millis mWallNow;
  std::uint64_t mRefusedWhenFull = 0;
};

} // namespace papayaway
