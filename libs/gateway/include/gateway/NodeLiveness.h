#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <base/Millis.h>

namespace papayaway::gateway {

struct NodeLivenessOptions
{
  /** A node that can't be reached keeps its roles for this long, so that a
   *  process that starts again at once does not lose them. */
  Millis mHold{ 2000 };
  /** A node that has lost its roles gets them back after it was reachable for
   *  this long without interruption, so that the roles of a slow node do not
   *  change hands again and again. */
  Millis mReturnAfter{ 5000 };
  /** A node that was never reached counts as alive for this long. */
  Millis mFirstContact{ 3000 };
  /** After a longer time without an observation this process itself was
   *  stopped, which says nothing about the others. */
  Millis mMaxObservationGap{ 1000 };

  bool operator==(const NodeLivenessOptions&) const = default;
};

/**
 * Tells which nodes are alive and may hold a role that goes by the order of
 * names. It is one node's view; others may differ for the time of a handover.
 */
class NodeLiveness
{
public:
  NodeLiveness() = default;
  explicit NodeLiveness(NodeLivenessOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /** To be called before the observations at the time aNow. */
  void BeginObservations(Millis aNow);

  /** Records whether a node can be reached now.
   *  @return whether IsAlive() has changed for the node. */
  bool Observe(const std::string& aNode, bool aReachable, Millis aNow);

  /** @return whether the node may hold a role. True for nodes that were not
   *    observed. */
  [[nodiscard]] bool IsAlive(std::string_view aNode) const;

  /** @return whether the node was reachable at any time. */
  [[nodiscard]] bool WasReached(std::string_view aNode) const;

  /** @return since when the node has not been reachable; nullopt if it is
   *    reachable or was not observed. */
  [[nodiscard]] std::optional<Millis> UnreachableSince(
    std::string_view aNode) const;

  void Forget(std::string_view aNode);

  /** Forgets the nodes for which aIsKnown returns false, such as those that
   *  have left. */
  void ForgetUnless(const std::function<bool(const std::string&)>& aIsKnown);

private:
  struct Node
  {
    Millis mFirstObserved;
    std::optional<Millis> mLastReachable;
    /** Since when it has been reachable without interruption. */
    std::optional<Millis> mReachableSince;
    bool mAlive = true;
  };

  NodeLivenessOptions mOptions;
  std::map<std::string, Node, std::less<>> mNodes;
  std::optional<Millis> mLastObservation;
};

} // namespace papayaway::gateway
