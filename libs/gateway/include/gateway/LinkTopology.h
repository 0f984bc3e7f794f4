#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <gateway/NodeDirectory.h>

namespace papayaway::gateway {

struct LinkTopologyOptions
{
  /** The name of this node, its data centre and its region. */
  std::string mNode;
  std::string mDataCentre;
  std::string mRegion;
  /** How many nodes of each data centre keep links to other data centres. With
   *  three, two may fail at the same time. */
  std::size_t mLinkNodes = 3;
};

/**
 * Decides which nodes keep links to each other.
 *
 * All nodes of a data centre are linked. The first nodes of each data centre by
 * name, its link nodes, are also linked to the link nodes of all other data
 * centres.
 */
class LinkTopology
{
public:
  explicit LinkTopology(LinkTopologyOptions aOptions)
    : mOptions(std::move(aOptions))
  {
  }

  /** Adopts the membership of the directory.
   *  @return whether it has changed since the last call. */
  bool Update(const NodeDirectory& aNodes);

  /** @return the addresses of the nodes to which this node keeps links, by
   *    name. */
  [[nodiscard]] const std::map<std::string, std::string>& Peers() const
  {
    return mPeers;
  }

  [[nodiscard]] bool IsLinkNode() const { return mIsLinkNode; }

  /** @return the link nodes of a data centre, ordered by name. */
  [[nodiscard]] const std::vector<std::string>& LinkNodes(
    const std::string& aDataCentre) const;

  /** @return the other data centres of the own region, or of the other
   *    regions. */
  [[nodiscard]] const std::vector<std::string>& OtherDataCentres(
    bool aOtherRegions) const
  {
    return aOtherRegions ? mInOtherRegions : mInRegion;
  }

  /**
   * Selects the nodes that may follow the store on behalf of this node. These
   * are the link nodes of the region, so that few nodes read each change. The
   * first link node of each data centre comes before the second ones, so that
   * followers are in different data centres. While no link node of the own
   * data centre is alive, its other nodes follow.
   * @param aIsAlive returns whether a node can be reached now; true for this
   *   node.
   * @return the candidates, in the same order for all nodes that can reach the
   *   same ones; none if link nodes follow on behalf of this node.
   */
  [[nodiscard]] std::vector<std::string> FollowerCandidates(
    const std::function<bool(const std::string&)>& aIsAlive) const;

private:
  LinkTopologyOptions mOptions;
  std::uint64_t mMembershipVersion = 0;
  std::map<std::string, std::vector<std::string>> mLinkNodes;
  std::map<std::string, std::string> mPeers;
  /** All nodes of the own data centre, ordered by name. */
  std::vector<std::string> mInDataCentre;
  std::vector<std::string> mInRegion;
  std::vector<std::string> mInOtherRegions;
  bool mIsLinkNode = false;
};

} // namespace papayaway::gateway
