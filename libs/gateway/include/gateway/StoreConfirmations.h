#pragma once

#include <map>
#include <optional>
#include <string>

#include <base/Millis.h>

namespace papayaway::gateway {

/** The times of the nodes that read the operator rows. They follow from the
 *  time within which a change must be in force on all nodes. */
struct FollowSchedule
{
  /** How long a call waits at the store for a change. Its answer confirms that
   *  there was none. */
  Millis mWait;
  /** A follower whose newest confirmation is older than this has lost the
   *  store. */
  Millis mMaxAge;
  /** For how long after that other nodes start reading in quick succession. */
  Millis mTakeoverTime;

  bool operator==(const FollowSchedule&) const = default;
};

/**
 * @param aPropagationLimit the time within which a change must be in force.
 * @param aBatchDelay how long a follower waits after a change before its next
 *   call.
 * @return the schedule with which a change is in force in time if its followers
 *   lose the store just before it, provided that a node which takes over within
 *   mTakeoverTime reaches the store.
 */
FollowSchedule MakeFollowSchedule(Millis aPropagationLimit, Millis aBatchDelay);

/**
 * The newest confirmations by the store that the nodes of a region have had:
 * the times at which all changes up to then were known to a node. A change that
 * was made since can be unknown to the whole region.
 *
 * Times are those of BootNow(), which does not stop while the process or the
 * host is suspended.
 */
class StoreConfirmations
{
public:
  explicit StoreConfirmations(FollowSchedule aSchedule)
    : mSchedule(aSchedule)
  {
  }

  /** Records a confirmation.
   *  @param aAt the time for which the answer of the store holds.
   *  @return whether it is the newest one of the node. */
  bool OnConfirmed(const std::string& aNode, Millis aAt, Millis aNow);

  /** Records that a node reports that it reads the rows. Until mMaxAge after
   *  its first report it counts as confirmed. */
  void OnFollower(const std::string& aNode, Millis aNow);

  /** @return whether the node counts as one that the store answers. */
  [[nodiscard]] bool IsConfirmed(const std::string& aNode, Millis aNow) const;

  /** @return how long the newest confirmation of the region has been too old;
   *    nothing if it is not, or if there was none yet. */
  [[nodiscard]] std::optional<Millis> OverdueFor(Millis aNow) const;

private:
  struct Follower
  {
    Millis mFirstSeen;
    std::optional<Millis> mConfirmedAt;
  };

  FollowSchedule mSchedule;
  std::map<std::string, Follower> mFollowers;
  std::optional<Millis> mNewest;
};

} // namespace papayaway::gateway
