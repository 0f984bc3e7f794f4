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

/** The sums of the hashes of the facts in each bucket. */
using Buckets = std::array<std::uint64_t, kDigestBuckets>;

/** @return the index of the kind T in Fact. */
template<typename T, std::size_t I = 0>
constexpr std::size_t
KindOf()
{
  if constexpr (std::is_same_v<T, std::variant_alternative_t<I, Fact>>) {
    return I;
  } else {
    return KindOf<T, I + 1>();
  }
}

struct FactStoreOptions
{
  /** Facts with new keys are refused beyond this count. */
  std::size_t mMaxFacts = 8192;
  /** Removed facts that are remembered; the oldest is forgotten first. */
  std::size_t mMaxTombstones = 2048;
  /** How long dead or left members and gone endpoints stay in the store. */
  Millis mRetention = Seconds(600);
  /** How long a removed fact is remembered. It bounds how long a partitioned
   *  node can keep an old fact and still not revive it. */
  Millis mTombstoneAge = Seconds(24 * 3600);
};

/**
 * All facts that a node knows, merged independently of arrival order.
 *
 * A removed fact leaves a tombstone. Only a fact that supersedes the tombstone
 * enters the store again, so a node that was cut off for longer than the
 * retention cannot revive what it still holds.
 */
class FactStore
{
public:
  explicit FactStore(FactStoreOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /** @return whether aFact was added or replaced an older fact, which means
   *    that it is sent on. */
  bool Merge(const Fact& aFact);

  /** @return the fact, or nullptr. It stays valid until the next change. */
  [[nodiscard]] const Fact* Find(const std::string& aKey) const;

  /** @return the fact of type T, or nullptr. */
  template<typename T>
  [[nodiscard]] const T* Find(const std::string& aKey) const
  {
    const Fact* const fact = Find(aKey);
    return fact == nullptr ? nullptr : std::get_if<T>(fact);
  }

  /** @return the member fact of aNode, or nullptr. */
  [[nodiscard]] const MemberFact* Member(const std::string& aNode) const;

  /**
   * @return the removed fact that makes Merge() refuse aFact, or nullptr. The
   *   caller answers the sender with it, so that a node that was away learns
   *   that it was declared dead and can refute that.
   */
  [[nodiscard]] const Fact* RefusedBy(const Fact& aFact) const;

  /** Calls aVisit(const T&) for each fact of type T in the order of keys. */
  template<typename T, typename Visit>
  void ForEach(Visit aVisit) const
  {
    for (const auto& [key, entry] : mKinds[KindOf<T>()]) {
      aVisit(std::get<T>(entry.mFact));
    }
  }

  /** @return the number of facts of type T. */
  template<typename T>
  [[nodiscard]] std::size_t Count() const
  {
    return mKinds[KindOf<T>()].size();
  }

  [[nodiscard]] std::size_t Size() const;

  /** @return the number of facts refused because the store was full. */
  [[nodiscard]] std::uint64_t Overflows() const { return mOverflows; }

  /** @return the digest of all facts. */
  [[nodiscard]] const Buckets& Digests() const { return mBuckets; }

  /** @return the indices of the buckets in which aBuckets differs. */
  [[nodiscard]] std::vector<std::size_t> DifferingBuckets(
    const Buckets& aBuckets) const;

  /** @return all facts of the buckets with the given indices. */
  [[nodiscard]] std::vector<Fact> FactsInBuckets(
    const std::vector<std::size_t>& aIndices) const;

  /** Removes expired quarantines and what was dead, left or gone for longer
   *  than the retention. Call it about once a second.
   *  @param aWallNow the wall clock. */
  void Expire(Millis aWallNow);

  /** Removes each move for which aDrop(const MoveFact&) is true: finished or
   *  taken back, and no longer named by the document. No tombstone is kept,
   *  because all nodes decide by the same document. */
  template<typename Drop>
  void DropMoves(Drop aDrop)
  {
    RemoveIf(KindOf<MoveFact>(), [&](const Entry& aEntry) {
      return aDrop(std::get<MoveFact>(aEntry.mFact));
    });
  }

private:
  static constexpr std::size_t kKinds = std::variant_size_v<Fact>;

  struct Entry
  {
    Fact mFact;
    std::uint64_t mHash = 0;
    std::uint32_t mBucket = 0;
    /** When Expire() first saw that the fact is over. */
    std::optional<Millis> mOverSince;
  };
  struct Tombstone
  {
    Fact mFact;
    Millis mRemoved;
  };
  using Entries = std::map<std::string, Entry>;

  template<typename Condition>
  void RemoveIf(std::size_t aKind, Condition aCondition)
  {
    std::erase_if(mKinds[aKind], [&](const auto& aItem) {
      const bool remove = aCondition(aItem.second);
      if (remove) {
        mBuckets[aItem.second.mBucket] -= aItem.second.mHash;
      }
      return remove;
    });
  }

  [[nodiscard]] bool Admits(const std::string& aKey, const Fact& aFact) const;
  void Bury(const std::string& aKey, const Fact& aFact);
  void RemoveOver(std::size_t aKind);
  void ForgetTombstones();

  FactStoreOptions mOptions;
  std::array<Entries, kKinds> mKinds;
  std::map<std::string, Tombstone> mTombstones;
  Buckets mBuckets{};
  Millis mWallNow;
  std::uint64_t mOverflows = 0;
};

} // namespace papayaway
