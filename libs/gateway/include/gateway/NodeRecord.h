#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace papayaway::gateway {

enum class TargetState
{
  Ready,
  /** It finishes its requests and takes no new ones. */
  Draining,
  /** It left, or does not accept connections. */
  Gone,
};

/** One start of a target. */
struct TargetInfo
{
  std::string mId;
  std::string mService;
  std::string mVersion;
  int mSlots = 1;
  TargetState mState = TargetState::Gone;

  bool operator==(const TargetInfo&) const = default;
};

/** What one node says of itself and of the target beside it. */
struct NodeRecord
{
  std::string mNode;
  std::string mDataCentre;
  std::string mRegion;
  /** "IPv4:port" for links of other nodes. */
  std::string mPeerAddress;
  /** Rises with each start of the node's process. */
  std::uint64_t mLifetime = 0;
  /** Rises with each change in one lifetime. */
  std::uint64_t mSequence = 0;
  /** Whether the node stops on purpose. */
  bool mLeaving = false;
  std::optional<TargetInfo> mTarget;

  bool operator==(const NodeRecord&) const = default;

  /** @return whether this record is newer than aOther of the same node. */
  [[nodiscard]] bool Supersedes(const NodeRecord& aOther) const
  {
    return mLifetime != aOther.mLifetime ? mLifetime > aOther.mLifetime
                                         : mSequence > aOther.mSequence;
  }

  /** @return whether both say the same, whichever is newer. */
  [[nodiscard]] bool SaysTheSame(const NodeRecord& aOther) const
  {
    NodeRecord other = aOther;
    other.mLifetime = mLifetime;
    other.mSequence = mSequence;
    return *this == other;
  }
};

/**
 * The newest record of each node; the order of arrival does not matter.
 *
 * Addresses are used again after a node has gone for good: of two nodes with
 * one address, the one that started later is there.
 */
class NodeDirectory
{
public:
  /** @return whether the record is news. */
  bool Merge(const NodeRecord& aRecord);

  void Remove(const std::string& aNode) { mRecords.erase(aNode); }

  [[nodiscard]] const NodeRecord* Find(const std::string& aNode) const;
  [[nodiscard]] const std::map<std::string, NodeRecord>& All() const
  {
    return mRecords;
  }

private:
  std::map<std::string, NodeRecord> mRecords;
};

} // namespace papayaway::gateway
