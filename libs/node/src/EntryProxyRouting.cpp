#include "EntryProxy.h"

#include <algorithm>

#include <base/Hash.h>

// How EntryProxy selects the version and the endpoint of a call.

namespace papayaway {

namespace {

bool
Contains(const std::vector<std::string>& aList, std::string_view aText)
{
  return std::find(aList.begin(), aList.end(), aText) != aList.end();
}

} // namespace

std::string
EntryProxy::VersionWithoutShare(const ActiveCall& aActive) const
{
  const Call& call = aActive.mCall;
  const Service* const service =
    mTable->SourceDocument().FindService(call.mService);
  if (service == nullptr || aActive.mExcludedVersions.empty()) {
    return {};
  }
  for (const VersionShare& version : service->mVersions) {
    if (!Contains(aActive.mExcludedVersions, version.mName) &&
        !mTable->Endpoints(call.mService, version.mName).empty()) {
      return version.mName;
    }
  }
  return {};
}

std::string
EntryProxy::ChooseVersion(const ActiveCall& aActive)
{
  const Call& call = aActive.mCall;
  int totalShare = 0;
  for (const VersionShare& share : mTable->Shares(call.mService)) {
    totalShare +=
      Contains(aActive.mExcludedVersions, share.mName) ? 0 : share.mShare;
  }
  if (totalShare == 0) {
    // In the last stage of a move the new version has a share of kTotalShare.
    // Calls that its exposure budget does not admit run on an old version.
    return VersionWithoutShare(aActive);
  }
  // The version is derived from the key, so that a retry by the caller is sent
  // to the version that has the recorded outcome.
  const std::uint64_t draw =
    call.mIdempotent ? mContext.mRandom() : Hash64(call.mKey);
  int remaining =
    static_cast<int>(draw % static_cast<std::uint64_t>(totalShare));
  for (const VersionShare& share : mTable->Shares(call.mService)) {
    if (Contains(aActive.mExcludedVersions, share.mName)) {
      continue;
    }
    remaining -= share.mShare;
    if (remaining < 0) {
      return share.mName;
    }
  }
  return {};
}

const Endpoint*
EntryProxy::ChooseEndpoint(ActiveCall& aActive)
{
  Call& call = aActive.mCall;
  call.mVersion = ChooseVersion(aActive);
  if (call.mVersion.empty()) {
    return nullptr;
  }
  if (call.mIdempotent) {
    return mPicker.Pick(*mTable,
                        { .mService = call.mService,
                          .mVersion = call.mVersion,
                          .mDataCentre = mContext.mSettings.mDataCentre,
                          .mRegion = mContext.mSettings.mRegion,
                          .mExcluded = aActive.mExcludedNodes,
                          .mNow = SteadyNow() },
                        mContext.mRandom);
  }
  const Endpoint* best = nullptr;
  std::uint64_t bestRank = 0;
  for (const Endpoint& endpoint :
       mTable->Endpoints(call.mService, call.mVersion)) {
    const std::uint64_t rank = Hash64(call.mKey, Hash64(endpoint.mNode));
    if (!Contains(aActive.mExcludedNodes, endpoint.mNode) &&
        (best == nullptr || rank > bestRank)) {
      best = &endpoint;
      bestRank = rank;
    }
  }
  return best;
}

} // namespace papayaway
