#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include <gateway/NodeRecord.h>

namespace papayaway::gateway {

/** Records of a group of nodes, by name. The directory owns the records. */
using NodeGroup = std::map<std::string_view, const NodeRecord*>;

/** The nodes of one data centre that are not leaving. */
struct DataCentreNodes
{
  std::string mRegion;
  NodeGroup mNodes;
};

/**
 * The newest record of each node, regardless of the order in which the records
 * arrive, and the groups of nodes that routing and links need.
 *
 * A new node may reuse the address of a node that was removed for good. Of two
 * nodes with the same address, only the one that started later is kept.
 *
 * The cost of a change grows with the logarithm of the number of nodes.
 */
class NodeDirectory
{
public:
  /** Stores the record unless it is outdated.
   *  @return whether it was stored. */
  bool Merge(const NodeRecord& aRecord);

  void Remove(const std::string& aNode);

  [[nodiscard]] const NodeRecord* Find(const std::string& aNode) const;

  [[nodiscard]] const std::map<std::string, NodeRecord>& All() const
  {
    return mRecords;
  }

  /** @return the nodes that are not leaving, by data centre. */
  [[nodiscard]] const std::map<std::string, DataCentreNodes>& DataCentres()
    const
  {
    return mDataCentres;
  }

  /** @return the nodes of a data centre that are not leaving. */
  [[nodiscard]] const NodeGroup& InDataCentre(
    const std::string& aDataCentre) const;

  /** @return the nodes that are not leaving and whose target is ready and
   *    belongs to the service. */
  [[nodiscard]] const NodeGroup& ReadyFor(std::string_view aService) const;

  /** @return a number that rises when a node joins, leaves or moves to another
   *    address or data centre, but not when only its target changes. */
  [[nodiscard]] std::uint64_t MembershipVersion() const
  {
    return mMembershipVersion;
  }

private:
  void AddToGroups(const NodeRecord& aRecord);
  void RemoveFromGroups(const NodeRecord& aRecord);

  std::map<std::string, NodeRecord> mRecords;
  std::unordered_map<std::string, std::string> mNodesByAddress;
  std::map<std::string, DataCentreNodes> mDataCentres;
  std::map<std::string, NodeGroup, std::less<>> mReadyByService;
  std::uint64_t mMembershipVersion = 0;
};

} // namespace papayaway::gateway
