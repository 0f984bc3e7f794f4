#include <records/PeerRecordCopies.h>

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace papayaway {

namespace {

/** The approximate size of a map entry without its lines. */
constexpr std::size_t kEntryOverheadBytes = 256;

} // namespace

std::size_t
PeerRecordCopies::BytesOf(const Entry& aEntry)
{
  return aEntry.mLines.size() + kEntryOverheadBytes;
}

void
PeerRecordCopies::OnCopy(const RecordCopy& aCopy, Millis aNow)
{
  if (aCopy.mStored) {
    EraseRange(aCopy.mOrigin,
               aCopy.mIncarnation,
               aCopy.mCustomer,
               aCopy.mFirst,
               aCopy.mLast);
    return;
  }
  // A copy of a complete batch replaces earlier copies of parts of it.
  EraseRange(aCopy.mOrigin,
             aCopy.mIncarnation,
             aCopy.mCustomer,
             aCopy.mFirst,
             aCopy.mLast);
  Key key{ aCopy.mOrigin, aCopy.mIncarnation, aCopy.mCustomer, aCopy.mFirst };
  Entry newEntry{ aCopy.mLast, aCopy.mLines, aNow };
  if (mCopies.contains(key)) {
    // EraseRange() left this entry because it extends beyond the new copy.
    return;
  }
  if (BytesOf(newEntry) > mMaxBytes) {
    ++mDropped;
    return;
  }
  while (mBytes + BytesOf(newEntry) > mMaxBytes) {
    ++mDropped;
    Erase(std::min_element(mCopies.begin(),
                           mCopies.end(),
                           [](const auto& aLeft, const auto& aRight) {
                             return aLeft.second.mReceivedAt <
                                    aRight.second.mReceivedAt;
                           }));
  }
  mBytes += BytesOf(newEntry);
  mCopies.emplace(std::move(key), std::move(newEntry));
}

std::vector<RecordObject>
PeerRecordCopies::UnstoredRecords(const std::string& aOrigin) const
{
  std::vector<RecordObject> objects;
  std::optional<RecordObjectName> name;
  for (auto entry = mCopies.lower_bound({ aOrigin, 0, "", 0 });
       entry != mCopies.end() && std::get<0>(entry->first) == aOrigin;
       ++entry) {
    const auto& [origin, incarnation, customer, first] = entry->first;
    const bool joins = name && name->mIncarnation == incarnation &&
                       name->mCustomer == customer && name->mLast + 1 == first;
    if (!joins) {
      name = RecordObjectName{ .mCustomer = customer,
                               .mNode = origin,
                               .mIncarnation = incarnation,
                               .mFirst = first };
      objects.emplace_back();
    }
    name->mLast = entry->second.mLast;
    objects.back().mName = name->ToString();
    objects.back().mContent += entry->second.mLines;
  }
  return objects;
}

void
PeerRecordCopies::OnStored(const std::string& aName)
{
  if (const auto name = ParseRecordObjectName(aName)) {
    EraseRange(name->mNode,
               name->mIncarnation,
               name->mCustomer,
               name->mFirst,
               name->mLast);
  }
}

void
PeerRecordCopies::OnTick(Millis aNow)
{
  for (auto entry = mCopies.begin(); entry != mCopies.end();) {
    if (aNow - entry->second.mReceivedAt >= kLifetime) {
      ++mDropped;
      entry = Erase(entry);
    } else {
      ++entry;
    }
  }
}

void
PeerRecordCopies::EraseRange(const std::string& aOrigin,
                             std::uint64_t aIncarnation,
                             const std::string& aCustomer,
                             std::uint64_t aFirst,
                             std::uint64_t aLast)
{
  auto entry =
    mCopies.lower_bound({ aOrigin, aIncarnation, aCustomer, aFirst });
  const Key end{ aOrigin, aIncarnation, aCustomer, aLast };
  while (entry != mCopies.end() && entry->first <= end) {
    entry = entry->second.mLast <= aLast ? Erase(entry) : std::next(entry);
  }
}

PeerRecordCopies::Copies::iterator
PeerRecordCopies::Erase(Copies::iterator aCopy)
{
  mBytes -= BytesOf(aCopy->second);
  return mCopies.erase(aCopy);
}

} // namespace papayaway
