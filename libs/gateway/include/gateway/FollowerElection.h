#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

#include <base/Millis.h>

namespace papayaway::gateway {

/** Whether a node follows the operator rows in the store, that is, reads
 *  their changes, and whether the store answers it. */
enum class FollowState
{
  /** The node does not follow, or has had no response yet. */
  Idle,
  /** The node follows, but the store does not answer it. */
  Failing,
  /** The node follows and the store answers it. */
  Working,
};

/** A node that may follow the store on behalf of a group of nodes. */
struct FollowerCandidate
{
  std::string_view mNode;
  FollowState mState = FollowState::Idle;
};

struct FollowerElectionOptions
{
  /** How many nodes of the group follow the store. The second one keeps
   *  reading changes while the first one hangs, which is detected only after
   *  1.6 s. */
  std::size_t mFollowers = 2;
  /** How many further nodes try to follow at the same time while followers
   *  fail. */
  std::size_t mProbingNodes = 2;
  /** How long they try before the next nodes do. It is longer than the timeout
   *  of a store call (0.8 s), after which a silent store is detected. */
  Millis mProbeInterval{ 1000 };
  /** While no node of the group has a recent confirmation of the store, the
   *  groups of probing nodes start at this interval, and none stops, until
   *  mTakeoverTime has passed. */
  Millis mTakeoverInterval{ 100 };
  Millis mTakeoverTime{ 300 };
};

/**
 * Decides whether this node follows the operator rows in the store.
 *
 * While the store answers no node, additional followers do not help: their
 * calls are billed, and all of them would read the rows over the link between
 * regions as soon as the store returns. Therefore the first candidates keep
 * trying. The other nodes try in rotation, a few at a time, because the store
 * may refuse some nodes and serve the others. As long as a change can still be
 * in force in time, more and more nodes try.
 */
class FollowerElection
{
public:
  FollowerElection() = default;
  explicit FollowerElection(FollowerElectionOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /**
   * @param aOwn the name of this node.
   * @param aNodes the reachable candidates of the group, including this node if
   *    it is one, in the same order on all nodes.
   * @param aOverdueFor for how long the newest confirmation of the store that
   *    the group has had has been too old, if it is.
   * @return whether this node follows the store from now on.
   */
  bool Decide(std::string_view aOwn,
              std::span<const FollowerCandidate> aNodes,
              Millis aNow,
              std::optional<Millis> aOverdueFor = std::nullopt);

private:
  FollowerElectionOptions mOptions;
  /** Since when there have been too few working followers and the store has
   *  failed to answer at least one of the nodes that replace the missing ones;
   *  nullopt if that is not the case. */
  std::optional<Millis> mFailingSince;
};

} // namespace papayaway::gateway
