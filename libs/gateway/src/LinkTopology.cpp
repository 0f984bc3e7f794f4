#include <gateway/LinkTopology.h>

#include <algorithm>
#include <iterator>

namespace papayaway::gateway {

bool
LinkTopology::Update(const NodeDirectory& aNodes)
{
  if (aNodes.MembershipVersion() == mMembershipVersion) {
    return false;
  }
  mMembershipVersion = aNodes.MembershipVersion();
  mLinkNodes.clear();
  mPeers.clear();
  mInDataCentre.clear();
  mInRegion.clear();
  mInOtherRegions.clear();
  for (const auto& [name, dataCentre] : aNodes.DataCentres()) {
    std::vector<std::string>& linkNodes = mLinkNodes[name];
    for (const auto& [node, record] : dataCentre.mNodes) {
      if (linkNodes.size() == mOptions.mLinkNodes) {
        break;
      }
      linkNodes.emplace_back(node);
    }
    if (name != mOptions.mDataCentre) {
      (dataCentre.mRegion == mOptions.mRegion ? mInRegion : mInOtherRegions)
        .push_back(name);
    }
  }
  const std::vector<std::string>& own = LinkNodes(mOptions.mDataCentre);
  mIsLinkNode = std::find(own.begin(), own.end(), mOptions.mNode) != own.end();
  for (const auto& [node, record] : aNodes.InDataCentre(mOptions.mDataCentre)) {
    mInDataCentre.emplace_back(node);
    mPeers.emplace(node, record->mPeerAddress);
  }
  if (mIsLinkNode) {
    for (const auto& [name, linkNodes] : mLinkNodes) {
      for (const std::string& node : linkNodes) {
        mPeers.emplace(node, aNodes.Find(node)->mPeerAddress);
      }
    }
  }
  mPeers.erase(mOptions.mNode);
  return true;
}

const std::vector<std::string>&
LinkTopology::LinkNodes(const std::string& aDataCentre) const
{
  static const std::vector<std::string> kNone;
  const auto found = mLinkNodes.find(aDataCentre);
  return found == mLinkNodes.end() ? kNone : found->second;
}

std::vector<std::string>
LinkTopology::FollowerCandidates(
  const std::function<bool(const std::string&)>& aIsAlive) const
{
  std::vector<std::string> candidates;
  if (!mIsLinkNode) {
    const std::vector<std::string>& linkNodes = LinkNodes(mOptions.mDataCentre);
    if (std::none_of(linkNodes.begin(), linkNodes.end(), aIsAlive)) {
      std::copy_if(mInDataCentre.begin(),
                   mInDataCentre.end(),
                   std::back_inserter(candidates),
                   aIsAlive);
    }
    return candidates;
  }
  std::vector<std::string> dataCentres = mInRegion;
  dataCentres.push_back(mOptions.mDataCentre);
  std::sort(dataCentres.begin(), dataCentres.end());
  for (std::size_t rank = 0; rank < mOptions.mLinkNodes; ++rank) {
    for (const std::string& dataCentre : dataCentres) {
      const std::vector<std::string>& linkNodes = LinkNodes(dataCentre);
      if (rank < linkNodes.size() && aIsAlive(linkNodes[rank])) {
        candidates.push_back(linkNodes[rank]);
      }
    }
  }
  return candidates;
}

} // namespace papayaway::gateway
