#include <sidecar/TargetDirectory.h>

#include <algorithm>

namespace papayaway::sidecar {

using gateway::Distance;
using gateway::NodeRecord;
using gateway::TargetCandidate;
using gateway::TargetState;

namespace {

bool
IsReadyFor(const NodeRecord& aRecord, std::string_view aService)
{
  return !aRecord.mLeaving && aRecord.mTarget &&
         aRecord.mTarget->mState == TargetState::Ready &&
         aRecord.mTarget->mService == aService;
}

bool
AllowsVersion(const TargetQuery& aQuery, const std::string& aVersion)
{
  switch (aQuery.mRule) {
    case VersionRule::Any:
      return true;
    case VersionRule::Only:
      return aVersion == aQuery.mVersion;
    case VersionRule::AllBut:
      break;
  }
  return aVersion != aQuery.mVersion;
}

} // namespace

bool
TargetDirectory::Merge(const NodeRecord& aRecord)
{
  const NodeRecord* const old = mNodes.Find(aRecord.mNode);
  const std::string oldTarget =
    old != nullptr && old->mTarget ? old->mTarget->mId : "";
  if (!mNodes.Merge(aRecord)) {
    return false;
  }
  const std::string target = aRecord.mTarget ? aRecord.mTarget->mId : "";
  if (target != oldTarget) {
    LoadEntry entry;
    entry.mLoad.mSlots = aRecord.mTarget ? aRecord.mTarget->mSlots : 1;
    mLoads[aRecord.mNode] = entry;
  }
  return true;
}

void
TargetDirectory::Remove(const std::string& aNode)
{
  mNodes.Remove(aNode);
  mLoads.erase(aNode);
}

void
TargetDirectory::OnLoad(const std::string& aNode,
                        const gateway::TargetLoad& aLoad)
{
  mLoads[aNode] = { .mLoad = aLoad, .mReceivedAt = SteadyNow() };
}

std::map<std::string, gateway::TargetLoad>
TargetDirectory::DataCentreLoads() const
{
  std::map<std::string, gateway::TargetLoad> loads;
  for (const auto& [node, record] : mNodes.All()) {
    const auto load = mLoads.find(node);
    if (record.mDataCentre == mDataCentre && load != mLoads.end() &&
        record.mTarget && !record.mLeaving && mIsUsable(node)) {
      loads.emplace(node, load->second.mLoad);
    }
  }
  return loads;
}

bool
TargetDirectory::LoadIsFresh(const std::string& aNode, Millis aAge) const
{
  const auto load = mLoads.find(aNode);
  return load != mLoads.end() && SteadyNow() - load->second.mReceivedAt < aAge;
}

void
TargetDirectory::OnCallSent(const std::string& aNode)
{
  ++mLoads[aNode].mSentSinceReport;
}

std::vector<TargetCandidate>
TargetDirectory::Candidates(const TargetQuery& aQuery) const
{
  std::vector<TargetCandidate> candidates;
  for (const auto& [node, record] : mNodes.All()) {
    if (!IsReadyFor(record, aQuery.mService) ||
        !AllowsVersion(aQuery, record.mTarget->mVersion) || !mIsUsable(node) ||
        std::find(aQuery.mExcluded.begin(), aQuery.mExcluded.end(), node) !=
          aQuery.mExcluded.end()) {
      continue;
    }
    TargetCandidate candidate{ .mNode = node };
    if (record.mDataCentre != mDataCentre) {
      candidate.mDistance = record.mRegion == mRegion ? Distance::SameRegion
                                                      : Distance::OtherRegion;
    }
    const auto load = mLoads.find(node);
    if (load != mLoads.end()) {
      candidate.mLoad = load->second.mLoad;
      candidate.mSentSinceReport = load->second.mSentSinceReport;
    }
    candidate.mLoad.mSlots = record.mTarget->mSlots;
    candidates.push_back(candidate);
  }
  return candidates;
}

bool
TargetDirectory::HasReadyTarget(std::string_view aService,
                                std::string_view aVersion,
                                bool aOtherVersions) const
{
  const auto& all = mNodes.All();
  return std::any_of(all.begin(), all.end(), [&](const auto& aEntry) {
    return IsReadyFor(aEntry.second, aService) &&
           (aEntry.second.mTarget->mVersion != aVersion) == aOtherVersions &&
           mIsUsable(aEntry.first);
  });
}

bool
TargetDirectory::OtherVersionsIdle(std::string_view aService,
                                   std::string_view aVersion) const
{
  const auto& all = mNodes.All();
  return std::none_of(all.begin(), all.end(), [&](const auto& aEntry) {
    const NodeRecord& record = aEntry.second;
    if (!record.mTarget || record.mTarget->mService != aService ||
        record.mTarget->mVersion == aVersion ||
        record.mTarget->mState == TargetState::Gone) {
      return false;
    }
    const auto load = mLoads.find(aEntry.first);
    return load != mLoads.end() &&
           load->second.mLoad.mRunning + load->second.mLoad.mWaiting > 0;
  });
}

} // namespace papayaway::sidecar
