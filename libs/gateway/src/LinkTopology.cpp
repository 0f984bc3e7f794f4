#include <gateway/LinkTopology.h>

#include <algorithm>
#include <iterator>

namespace papayaway::gateway {

void
LinkTopology::Observe(
  const NodeDirectory& aNodes,
  const std::function<bool(const std::string&)>& aIsReachable,
  Millis aNow)
{
  mObservedAt = aNow;
  const auto isMember = [&](const std::string& aNode) {
    const NodeRecord* const record = aNodes.Find(aNode);
    return record != nullptr && !record->mLeaving;
  };
  mOwnLiveness.ForgetUnless(isMember);
  mOtherLiveness.ForgetUnless(isMember);
  mOwnLiveness.BeginObservations(aNow);
  for (const auto& [node, record] : aNodes.InDataCentre(mOptions.mDataCentre)) {
    if (record->mNode != mOptions.mNode) {
      mOwnLiveness.Observe(record->mNode, aIsReachable(record->mNode), aNow);
    }
  }
  if (!mIsLinkNode) {
    mOtherLiveness = NodeLiveness(mOptions.mLiveness);
    mUnreachedSince.clear();
    return;
  }
  mOtherLiveness.BeginObservations(aNow);
  for (const auto& [name, dataCentre] : aNodes.DataCentres()) {
    if (name == mOptions.mDataCentre) {
      continue;
    }
    const std::vector<std::string>& linkNodes = LinkNodes(name);
    bool reached = false;
    for (const auto& [node, record] : dataCentre.mNodes) {
      const bool reachable = aIsReachable(record->mNode);
      const bool isLinkNode =
        std::find(linkNodes.begin(), linkNodes.end(), node) != linkNodes.end();
      if (reachable || isLinkNode) {
        mOtherLiveness.Observe(record->mNode, reachable, aNow);
      }
      reached = reached || (reachable && isLinkNode);
    }
    if (reached) {
      mUnreachedSince.erase(name);
    } else {
      mUnreachedSince.try_emplace(name, aNow);
    }
  }
}

std::size_t
LinkTopology::SearchedNodes(const std::string& aDataCentre, Millis aNow) const
{
  const auto unreached = mUnreachedSince.find(aDataCentre);
  if (unreached == mUnreachedSince.end()) {
    return mOptions.mLinkNodes;
  }
  std::size_t nodes = mOptions.mLinkNodes;
  for (Millis time = aNow - unreached->second;
       time >= mOptions.mSearchPeriod && nodes < mOptions.mMaxSearchedNodes;
       time = time - mOptions.mSearchPeriod) {
    nodes *= 2;
  }
  return std::min(nodes, mOptions.mMaxSearchedNodes);
}

LinkTopology::LinkNodesByDataCentre
LinkTopology::ChooseLinkNodes(const NodeDirectory& aNodes, Millis aNow)
{
  LinkNodesByDataCentre chosen;
  for (const auto& [name, dataCentre] : aNodes.DataCentres()) {
    const NodeGroup& nodes = dataCentre.mNodes;
    const bool isOwn = name == mOptions.mDataCentre;
    const std::size_t count =
      isOwn ? mOptions.mLinkNodes : SearchedNodes(name, aNow);
    const auto choose = [&] {
      std::vector<std::string> linkNodes;
      for (const auto& [node, record] : nodes) {
        const bool alive = isOwn ? IsAlive(record->mNode)
                                 : mOtherLiveness.IsAlive(record->mNode);
        if (alive && linkNodes.size() < count) {
          linkNodes.push_back(record->mNode);
        }
      }
      return linkNodes;
    };
    std::vector<std::string> linkNodes = choose();
    if (linkNodes.empty()) {
      // Each has been tried in vain; begin anew.
      for (const auto& [node, record] : nodes) {
        mOtherLiveness.Forget(node);
      }
      linkNodes = choose();
    }
    chosen.emplace(name, std::move(linkNodes));
  }
  return chosen;
}

bool
LinkTopology::Update(
  const NodeDirectory& aNodes,
  const std::function<bool(const std::string&)>& aIsReachable,
  Millis aNow)
{
  const bool membersChanged = aNodes.MembershipVersion() != mMembershipVersion;
  if (!membersChanged && mObservedAt &&
      aNow - *mObservedAt < mOptions.mObservationPeriod) {
    return false;
  }
  Observe(aNodes, aIsReachable, aNow);
  LinkNodesByDataCentre linkNodesNow = ChooseLinkNodes(aNodes, aNow);
  if (!membersChanged && linkNodesNow == mLinkNodes) {
    return false;
  }
  mMembershipVersion = aNodes.MembershipVersion();
  mLinkNodes = std::move(linkNodesNow);
  mPeers.clear();
  mInDataCentre.clear();
  mInRegion.clear();
  mInOtherRegions.clear();
  for (const auto& [name, dataCentre] : aNodes.DataCentres()) {
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
