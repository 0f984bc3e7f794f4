#include <gateway/NodeDirectory.h>

#include <utility>
#include <vector>

namespace papayaway::gateway {

namespace {

const NodeGroup kNoNodes;

bool
HasReadyTarget(const NodeRecord& aRecord)
{
  return !aRecord.mLeaving && aRecord.mTarget &&
         aRecord.mTarget->mState == TargetState::Ready;
}

bool
HasSameMembership(const NodeRecord& aLeft, const NodeRecord& aRight)
{
  return aLeft.mLeaving == aRight.mLeaving &&
         aLeft.mPeerAddress == aRight.mPeerAddress &&
         aLeft.mDataCentre == aRight.mDataCentre &&
         aLeft.mRegion == aRight.mRegion;
}

} // namespace

bool
NodeDirectory::Merge(const NodeRecord& aRecord)
{
  const auto known = mRecords.find(aRecord.mNode);
  if (known != mRecords.end() && !aRecord.Supersedes(known->second)) {
    return false;
  }
  const auto sameAddress = mNodesByAddress.find(aRecord.mPeerAddress);
  if (sameAddress != mNodesByAddress.end() &&
      sameAddress->second != aRecord.mNode) {
    const std::string other = sameAddress->second;
    if (mRecords.at(other).mIncarnation > aRecord.mIncarnation) {
      return false;
    }
    Remove(other);
  }
  if (known == mRecords.end()) {
    ++mMembershipVersion;
    AddToGroups(mRecords.emplace(aRecord.mNode, aRecord).first->second);
    return true;
  }
  NodeRecord& record = known->second;
  if (!HasSameMembership(record, aRecord)) {
    ++mMembershipVersion;
  }
  RemoveFromGroups(record);
  std::vector<LeftTarget> left = std::move(record.mLeft);
  record = aRecord;
  // A process that has just started doesn't know what earlier ones
  // acknowledged.
  MergeLeftTargets(record.mLeft, left);
  AddToGroups(record);
  return true;
}

void
NodeDirectory::Remove(const std::string& aNode)
{
  const auto found = mRecords.find(aNode);
  if (found != mRecords.end()) {
    ++mMembershipVersion;
    RemoveFromGroups(found->second);
    mRecords.erase(found);
  }
}

void
NodeDirectory::AddToGroups(const NodeRecord& aRecord)
{
  mNodesByAddress[aRecord.mPeerAddress] = aRecord.mNode;
  if (!aRecord.mLeaving) {
    DataCentreNodes& dataCentre = mDataCentres[aRecord.mDataCentre];
    dataCentre.mRegion = aRecord.mRegion;
    dataCentre.mNodes.emplace(aRecord.mNode, &aRecord);
  }
  if (HasReadyTarget(aRecord)) {
    mReadyByService[aRecord.mTarget->mService].emplace(aRecord.mNode, &aRecord);
  }
}

void
NodeDirectory::RemoveFromGroups(const NodeRecord& aRecord)
{
  mNodesByAddress.erase(aRecord.mPeerAddress);
  if (!aRecord.mLeaving) {
    const auto dataCentre = mDataCentres.find(aRecord.mDataCentre);
    dataCentre->second.mNodes.erase(aRecord.mNode);
    if (dataCentre->second.mNodes.empty()) {
      mDataCentres.erase(dataCentre);
    }
  }
  if (HasReadyTarget(aRecord)) {
    const auto ready = mReadyByService.find(aRecord.mTarget->mService);
    ready->second.erase(aRecord.mNode);
    if (ready->second.empty()) {
      mReadyByService.erase(ready);
    }
  }
}

const NodeRecord*
NodeDirectory::Find(const std::string& aNode) const
{
  const auto found = mRecords.find(aNode);
  return found == mRecords.end() ? nullptr : &found->second;
}

const NodeGroup&
NodeDirectory::InDataCentre(const std::string& aDataCentre) const
{
  const auto found = mDataCentres.find(aDataCentre);
  return found == mDataCentres.end() ? kNoNodes : found->second.mNodes;
}

const NodeGroup&
NodeDirectory::ReadyFor(std::string_view aService) const
{
  const auto found = mReadyByService.find(aService);
  return found == mReadyByService.end() ? kNoNodes : found->second;
}

} // namespace papayaway::gateway
