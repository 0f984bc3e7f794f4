#include <gateway/NodeRecord.h>

#include <algorithm>

namespace papayaway::gateway {

bool
NodeDirectory::Merge(const NodeRecord& aRecord)
{
  const auto known = mRecords.find(aRecord.mNode);
  if (known != mRecords.end() && !aRecord.Supersedes(known->second)) {
    return false;
  }
  const auto sameAddress =
    std::find_if(mRecords.begin(), mRecords.end(), [&](const auto& aEntry) {
      return aEntry.first != aRecord.mNode &&
             aEntry.second.mPeerAddress == aRecord.mPeerAddress;
    });
  if (sameAddress != mRecords.end()) {
    if (sameAddress->second.mIncarnation > aRecord.mIncarnation) {
      return false;
    }
    mRecords.erase(sameAddress);
  }
  mRecords.insert_or_assign(aRecord.mNode, aRecord);
  return true;
}

const NodeRecord*
NodeDirectory::Find(const std::string& aNode) const
{
  const auto found = mRecords.find(aNode);
  return found == mRecords.end() ? nullptr : &found->second;
}

} // namespace papayaway::gateway
