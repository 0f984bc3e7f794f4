#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <gateway/NodeDirectory.h>
#include <gateway/NodeLiveness.h>

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
  /** While no link node of another data centre can be reached, twice as many of
   *  its nodes are tried after each of these periods, up to the maximum. */
  Millis mSearchPeriod{ 2000 };
  std::size_t mMaxSearchedNodes = 24;
  /** How often it is observed which nodes can be reached. */
  Millis mObservationPeriod{ 200 };
  NodeLivenessOptions mLiveness{};
};

/**
 * Decides which nodes keep links to each other.
 *
 * All nodes of a data centre are linked. The first nodes of each data centre by
 * name that are alive, its link nodes, are also linked to the link nodes of all
 * other data centres. A node judges who is alive in its own data centre by its
 * links, and so does a link node for the others. After a loss, the next nodes
 * by name take over within NodeLivenessOptions::mHold of its detection.
 */
class LinkTopology
{
public:
  explicit LinkTopology(LinkTopologyOptions aOptions)
    : mOptions(std::move(aOptions))
    , mOwnLiveness(mOptions.mLiveness)
    , mOtherLiveness(mOptions.mLiveness)
  {
  }

  /** Adopts the membership of the directory and observes the nodes.
   *  @param aIsReachable returns whether this node has a working link to
   *    another one.
   *  @return whether the links or the membership have changed since the last
   *    call. */
  bool Update(const NodeDirectory& aNodes,
              const std::function<bool(const std::string&)>& aIsReachable,
              Millis aNow);

  /** @return the addresses of the nodes to which this node keeps links, by
   *    name. */
  [[nodiscard]] const std::map<std::string, std::string>& Peers() const
  {
    return mPeers;
  }

  [[nodiscard]] bool IsLinkNode() const { return mIsLinkNode; }

  /** @return whether a node of the own data centre may hold a role. */
  [[nodiscard]] bool IsAlive(const std::string& aNode) const
  {
    return aNode == mOptions.mNode || mOwnLiveness.IsAlive(aNode);
  }

  /** @return the observations of the nodes of the own data centre. */
  [[nodiscard]] const NodeLiveness& OwnDataCentreLiveness() const
  {
    return mOwnLiveness;
  }

  /** @return the link nodes of a data centre as far as this node knows, ordered
   *    by name. For another data centre, a link node also returns the nodes
   *    that it tries in their place. */
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
  using LinkNodesByDataCentre = std::map<std::string, std::vector<std::string>>;

  void Observe(const NodeDirectory& aNodes,
               const std::function<bool(const std::string&)>& aIsReachable,
               Millis aNow);
  [[nodiscard]] LinkNodesByDataCentre ChooseLinkNodes(
    const NodeDirectory& aNodes,
    Millis aNow);
  /** @return how many nodes of another data centre to link to. */
  [[nodiscard]] std::size_t SearchedNodes(const std::string& aDataCentre,
                                          Millis aNow) const;

  LinkTopologyOptions mOptions;
  std::uint64_t mMembershipVersion = 0;
  std::optional<Millis> mObservedAt;
  NodeLiveness mOwnLiveness;
  /** Of the other data centres; a link node's only. */
  NodeLiveness mOtherLiveness;
  /** Since when none of the link nodes of another data centre has been
   *  reachable. */
  std::map<std::string, Millis> mUnreachedSince;
  LinkNodesByDataCentre mLinkNodes;
  std::map<std::string, std::string> mPeers;
  /** All nodes of the own data centre, ordered by name. */
  std::vector<std::string> mInDataCentre;
  std::vector<std::string> mInRegion;
  std::vector<std::string> mInOtherRegions;
  bool mIsLinkNode = false;
};

} // namespace papayaway::gateway
