#include <gateway/NodeRecord.h>

namespace papayaway::gateway {

bool
NodeDirectory::Merge(const NodeRecord& aRecord)
{
  const auto [place, added] = mRecords.try_emplace(aRecord.mNode, aRecord);
  if (added) {
    return true;
  }
  if (!aRecord.Supersedes(place->second)) {
    return false;
  }
  place->second = aRecord;
  return true;
}

const NodeRecord*
NodeDirectory::Find(const std::string& aNode) const
{
  const auto found = mRecords.find(aNode);
  return found == mRecords.end() ? nullptr : &found->second;
}

} // namespace papayaway::gateway
