#include <mesh/FactStore.h>

#include <algorithm>

#include <base/Hash.h>

namespace papayaway {

namespace {

/** @return whether the member or endpoint is in a terminal state, that is, one
 *    that does not change within the same incarnation. */
bool
IsTerminal(const Fact& aFact)
{
  if (const auto* const member = std::get_if<MemberFact>(&aFact)) {
    return member->mState == MemberState::Left ||
           member->mState == MemberState::Dead;
  }
  const auto* const endpoint = std::get_if<EndpointFact>(&aFact);
  return endpoint != nullptr && endpoint->mState == EndpointState::Gone;
}

bool
IsExpired(const Fact& aFact, Millis aWallNow)
{
  const auto* const quarantine = std::get_if<QuarantineFact>(&aFact);
  return quarantine != nullptr && quarantine->mExpires <= aWallNow;
}

} // namespace

bool
FactStore::Merge(const Fact& aFact)
{
  std::string key = FactKey(aFact);
  Entries& entries = mEntriesByType[aFact.index()];
  const auto found = entries.find(key);
  if (found != entries.end()) {
    if (!Supersedes(aFact, found->second.mFact)) {
      return false;
    }
  } else if (!IsAdmissible(key, aFact)) {
    return false;
  } else if (Size() >= mOptions.mMaxFacts) {
    ++mRefusedWhenFull;
    return false;
  }

  const std::uint64_t hash = Hash64(EncodeFact(aFact));
  if (found != entries.end()) {
    Entry& entry = found->second;
    mBuckets[entry.mBucket] += hash - entry.mHash;
    entry.mFact = aFact;
    entry.mHash = hash;
    if (!IsTerminal(aFact)) {
      entry.mTerminalSince.reset();
    }
    return true;
  }
  const auto bucket = static_cast<std::uint32_t>(Hash64(key) % kDigestBuckets);
  mBuckets[bucket] += hash;
  mTombstones.erase(key);
  entries.emplace(std::move(key),
                  Entry{ .mFact = aFact, .mHash = hash, .mBucket = bucket });
  return true;
}

bool
FactStore::IsAdmissible(const std::string& aKey, const Fact& aFact) const
{
  if (IsExpired(aFact, mWallNow)) {
    return false;
  }
  const auto found = mTombstones.find(aKey);
  return found == mTombstones.end() || Supersedes(aFact, found->second.mFact);
}

const Fact*
FactStore::Find(const std::string& aKey) const
{
  for (const Entries& entries : mEntriesByType) {
    const auto found = entries.find(aKey);
    if (found != entries.end()) {
      return &found->second.mFact;
    }
  }
  return nullptr;
}

const MemberFact*
FactStore::Member(const std::string& aNode) const
{
  return Find<MemberFact>(FactKey(MemberFact{ .mNode = aNode }));
}

const Fact*
FactStore::SupersedingTombstone(const Fact& aFact) const
{
  const auto found = mTombstones.find(FactKey(aFact));
  return found != mTombstones.end() && Supersedes(found->second.mFact, aFact)
           ? &found->second.mFact
           : nullptr;
}

std::size_t
FactStore::Size() const
{
  std::size_t count = 0;
  for (const Entries& entries : mEntriesByType) {
    count += entries.size();
  }
  return count;
}

std::vector<std::size_t>
FactStore::DifferingBuckets(const BucketDigests& aBuckets) const
{
  std::vector<std::size_t> indices;
  for (std::size_t i = 0; i < kDigestBuckets; ++i) {
    if (mBuckets[i] != aBuckets[i]) {
      indices.push_back(i);
    }
  }
  return indices;
}

std::vector<Fact>
FactStore::FactsInBuckets(const std::vector<std::size_t>& aIndices) const
{
  std::array<bool, kDigestBuckets> wanted{};
  for (const std::size_t index : aIndices) {
    if (index < kDigestBuckets) {
      wanted[index] = true;
    }
  }
  std::vector<Fact> facts;
  for (const Entries& entries : mEntriesByType) {
    for (const auto& [key, entry] : entries) {
      if (wanted[entry.mBucket]) {
        facts.push_back(entry.mFact);
      }
    }
  }
  return facts;
}

void
FactStore::Expire(Millis aWallNow)
{
  mWallNow = aWallNow;
  RemoveIf(FactTypeIndex<QuarantineFact>(), [aWallNow](const Entry& aEntry) {
    return IsExpired(aEntry.mFact, aWallNow);
  });
  RemoveTerminal(FactTypeIndex<MemberFact>());
  RemoveTerminal(FactTypeIndex<EndpointFact>());
  EvictTombstones();
}

void
FactStore::RemoveTerminal(std::size_t aTypeIndex)
{
  for (auto& [key, entry] : mEntriesByType[aTypeIndex]) {
    if (IsTerminal(entry.mFact) && !entry.mTerminalSince) {
      entry.mTerminalSince = mWallNow;
    }
  }
  RemoveIf(aTypeIndex, [this](const Entry& aEntry) {
    if (!aEntry.mTerminalSince ||
        mWallNow - *aEntry.mTerminalSince < mOptions.mRetention) {
      return false;
    }
    AddTombstone(FactKey(aEntry.mFact), aEntry.mFact);
    return true;
  });
}

void
FactStore::AddTombstone(const std::string& aKey, const Fact& aFact)
{
  mTombstones.insert_or_assign(aKey, Tombstone{ aFact, mWallNow });
}

void
FactStore::EvictTombstones()
{
  std::erase_if(mTombstones, [this](const auto& aItem) {
    return mWallNow - aItem.second.mRemoved >= mOptions.mTombstoneRetention;
  });
  while (mTombstones.size() > mOptions.mMaxTombstones) {
    mTombstones.erase(
      std::min_element(mTombstones.begin(),
                       mTombstones.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second.mRemoved < aRight.second.mRemoved;
                       }));
  }
}

} // namespace papayaway
