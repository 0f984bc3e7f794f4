#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace papayaway::gateway {

enum class TargetState
{
  Ready,
  /** It finishes its requests in flight and accepts no new ones. */
  Draining,
  /** It has stopped, or does not accept connections. */
  Gone,
};

/** One instance of a target: a restarted target has a new id. */
struct TargetInfo
{
  std::string mId;
  std::string mService;
  std::string mVersion;
  int mSlots = 1;
  TargetState mState = TargetState::Gone;

  bool operator==(const TargetInfo&) const = default;
};

/** The record that a node publishes about itself and its local target. */
struct NodeRecord
{
  std::string mNode;
  std::string mDataCentre;
  std::string mRegion;
  /** "IPv4:port", to which other nodes connect. */
  std::string mPeerAddress;
  /** Rises with each start of the node's process. */
  std::uint64_t mIncarnation = 0;
  /** Rises with each change of the record between two starts. */
  std::uint64_t mSequence = 0;
  /** Whether the node is shutting down on request. */
  bool mLeaving = false;
  /** The target on the same host, if the node knows one. */
  std::optional<TargetInfo> mTarget;

  bool operator==(const NodeRecord&) const = default;

  /** @return whether this record is newer than aOther of the same node. */
  [[nodiscard]] bool Supersedes(const NodeRecord& aOther) const
  {
    return mIncarnation != aOther.mIncarnation
             ? mIncarnation > aOther.mIncarnation
             : mSequence > aOther.mSequence;
  }

  /** @return whether the records are equal except mIncarnation and mSequence.
   */
  [[nodiscard]] bool HasSameContent(const NodeRecord& aOther) const
  {
    NodeRecord other = aOther;
    other.mIncarnation = mIncarnation;
    other.mSequence = mSequence;
    return *this == other;
  }
};

} // namespace papayaway::gateway
