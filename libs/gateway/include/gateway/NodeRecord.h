#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <base/Millis.h>

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

/** A target that has announced to its node that it leaves. */
struct LeftTarget
{
  std::string mId;
  /** Check-ins of processes of this target that started then or before have no
   *  effect any more; by the wall clock. */
  Millis mStartedUntil;

  bool operator==(const LeftTarget&) const = default;
};

/** A record has only the newest ones. Check-ins are late by seconds, and a host
 *  has few targets in succession. */
constexpr std::size_t kMaxLeftTargets = 16;

/** Adds targets to those that are known to have left, each once, and removes
 *  the oldest ones above kMaxLeftTargets.
 *  @return whether aKnown has changed. */
bool MergeLeftTargets(std::vector<LeftTarget>& aKnown,
                      const std::vector<LeftTarget>& aMore);

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
  /** The targets that have left, also those that an earlier process of the node
   *  knew, by ascending mStartedUntil. */
  std::vector<LeftTarget> mLeft;

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
