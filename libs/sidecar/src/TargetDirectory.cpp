#include <sidecar/TargetDirectory.h>

#include <algorithm>

namespace papayaway::sidecar {

using gateway::Distance;
using gateway::NodeRecord;
using gateway::TargetCandidate;
using gateway::TargetState;

namespace {

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
  const bool wasReady = old != nullptr && old->mTarget &&
                        old->mTarget->mState == TargetState::Ready;
  if (!mNodes.Merge(aRecord)) {
    return false;
  }
  const std::string target = aRecord.mTarget ? aRecord.mTarget->mId : "";
  if (target != oldTarget) {
    LoadEntry entry;
    entry.mLoad.mSlots = aRecord.mTarget ? aRecord.mTarget->mSlots : 1;
    mLoads[aRecord.mNode] = entry;
  }
  const auto coldRate = aRecord.mTarget
                          ? mColdRates.find(aRecord.mTarget->mService)
                          : mColdRates.end();
  if (coldRate != mColdRates.end() && (target != oldTarget || !wasReady)) {
    mLoads[aRecord.mNode].mLoad.mAdmissionRate = coldRate->second;
  }
  return true;
}

void
TargetDirectory::SetServiceRules(
  const std::map<std::string, gateway::ServiceRule>& aRules)
{
  mColdRates.clear();
  for (const auto& [service, rule] : aRules) {
    if (rule.mColdRequestsPerSecond > 0) {
      mColdRates[service] = rule.mColdRequestsPerSecond;
    }
  }
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
  const Millis now = SteadyNow();
  std::map<std::string, gateway::TargetLoad> loads;
  for (const auto& [node, record] : mNodes.InDataCentre(mDataCentre)) {
    const auto load = mLoads.find(record->mNode);
    if (load != mLoads.end() && record->mTarget &&
        mIsUsable(*record, load->second.mReceivedAt, now)) {
      loads.emplace(node, load->second.mLoad);
    }
  }
  return loads;
}

bool
TargetDirectory::IsUsable(const NodeRecord& aRecord, Millis aNow) const
{
  const auto load = mLoads.find(aRecord.mNode);
  return mIsUsable(aRecord,
                   load == mLoads.end()
                     ? std::nullopt
                     : std::optional(load->second.mReceivedAt),
                   aNow);
}

void
TargetDirectory::OnCallSent(const std::string& aNode)
{
  ++mLoads[aNode].mSentSinceReport;
}

std::vector<TargetCandidate>
TargetDirectory::Candidates(const TargetQuery& aQuery) const
{
  const Millis now = SteadyNow();
  const gateway::NodeGroup& ready = mNodes.ReadyFor(aQuery.mService);
  std::vector<TargetCandidate> candidates;
  candidates.reserve(ready.size());
  for (const auto& [node, record] : ready) {
    if (!AllowsVersion(aQuery, record->mTarget->mVersion) ||
        std::find(aQuery.mExcluded.begin(), aQuery.mExcluded.end(), node) !=
          aQuery.mExcluded.end() ||
        !aQuery.mPlacement.Allows(record->mRegion, record->mDataCentre)) {
      continue;
    }
    const auto load = mLoads.find(record->mNode);
    const auto receivedAt = load == mLoads.end()
                              ? std::nullopt
                              : std::optional(load->second.mReceivedAt);
    if (!mIsUsable(*record, receivedAt, now)) {
      continue;
    }
    TargetCandidate candidate{ .mNode = node };
    if (record->mDataCentre != mDataCentre) {
      candidate.mDistance = record->mRegion == mRegion ? Distance::SameRegion
                                                       : Distance::OtherRegion;
    }
    if (load != mLoads.end()) {
      candidate.mLoad = load->second.mLoad;
      candidate.mSentSinceReport = load->second.mSentSinceReport;
      candidate.mReportAge = now - load->second.mReceivedAt;
    }
    candidate.mLoad.mSlots = record->mTarget->mSlots;
    candidates.push_back(candidate);
  }
  return candidates;
}

bool
TargetDirectory::HasAllowedPlace(const gateway::Placement& aPlacement) const
{
  const auto& dataCentres = mNodes.DataCentres();
  return std::any_of(
    dataCentres.begin(), dataCentres.end(), [&](const auto& aEntry) {
      return aPlacement.Allows(aEntry.second.mRegion, aEntry.first);
    });
}

bool
TargetDirectory::HasReadyTarget(std::string_view aService,
                                std::string_view aVersion,
                                bool aOtherVersions) const
{
  const Millis now = SteadyNow();
  const gateway::NodeGroup& ready = mNodes.ReadyFor(aService);
  return std::any_of(ready.begin(), ready.end(), [&](const auto& aEntry) {
    const NodeRecord& record = *aEntry.second;
    return (record.mTarget->mVersion != aVersion) == aOtherVersions &&
           IsUsable(record, now);
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
