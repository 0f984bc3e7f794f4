#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

#include <base/Millis.h>

namespace papayaway::gateway {

/** How a node gets on with following the operator's rows in the store. */
enum class FollowState
{
  /** It does not follow. */
  Idle,
  /** It follows, and the store does not answer it. */
  Failing,
  Working,
};

/** A node of the own data centre as the election sees it. */
struct FollowerCandidate
{
  std::string_view mNode;
  FollowState mState = FollowState::Idle;
};

struct FollowerElectionOptions
{
  /** Nodes of a data centre that follow the store: the second one bears a
   *  freeze of the first, whose silence shows only after 1.6 s. */
  std::size_t mFollowers = 2;
  /** Further nodes that try at the same time while followers fail. */
  std::size_t mExplorers = 2;
  /** How long they try before the next ones do: a silent store shows after
   *  the 0.8 s of a call. */
  Millis mTurn{ 1000 };
};

/**
 * Decides whether this node follows the operator's rows in the store.
 *
 * While the store answers nobody, more followers do not help: their calls are
 * paid, and all of them would read the rows over the link between regions at
 * the moment of its return. So the first nodes by name go on trying, and the
 * others try a few at a time, in turn, because the store may turn away some
 * nodes and serve the rest.
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
   * @param aNodes the reachable nodes of the data centre with this one, by
   *    name.
   * @return whether this node follows from now on.
   */
  bool Decide(std::string_view aOwn,
              std::span<const FollowerCandidate> aNodes,
              Millis aNow);

private:
  FollowerElectionOptions mOptions;
  /** Since when followers have been missing and the first ones failing. */
  std::optional<Millis> mFailingSince;
};

} // namespace papayaway::gateway
