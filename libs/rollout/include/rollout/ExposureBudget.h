#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <rollout/ShareSchedule.h>
#include <wire/Facts.h>

namespace papayaway {

/**
 * Limits how many calls of non-idempotent routes a new version runs during a
 * move, since the effects of such calls can't be undone by a retry.
 *
 * Each stage of a move has a budget of calls per route, which is divided into
 * quotas of the nodes that serve the new version. A call beyond the quota is
 * refused as "not run", and the entry node sends it to the old version. Until
 * its move has finished, a version therefore runs at most
 *
 *   kStageBudgets[0] + … + kStageBudgets[4] = 640 calls
 *
 * of one route in all, and after its first faulty call at most the rest of the
 * budget of that stage, which is never more than 320 calls. Both limits hold
 * even if the fault is not detected, provided that the nodes agree on the set
 * of serving nodes. A node that joins or restarts during a stage adds its
 * quota to the budget of that stage.
 */
class ExposureBudget
{
public:
  static constexpr std::array<int, kMoveShares.size()> kStageBudgets{ 30,
                                                                      50,
                                                                      80,
                                                                      160,
                                                                      320 };

  /** Updates the state of the move. A new stage or attempt starts with a new
   *  quota; a fact older than the last one is ignored.
   *  @param aFact the current fact; a fact with stage 0 if there is none.
   *  @param aSelf the id of this node.
   *  @param aNodes the ids of the nodes that serve the new version. */
  void Update(const MoveFact& aFact,
              const std::string& aSelf,
              const std::vector<std::string>& aNodes);

  /** Counts one call of a non-idempotent route against the quota. Admits
   *  every call once the move has finished and none once it was taken back.
   *  @return false if the call has to be refused as "not run". */
  bool Admit(const std::string& aRoute);

  /** Returns an admitted call to the quota because it was not run. */
  void Release(const std::string& aRoute);

  /** @return how many more calls of aRoute this node may run in this stage;
   *    -1 if there is no limit. */
  [[nodiscard]] int Remaining(const std::string& aRoute) const;

private:
  int mAttempt = 0;
  MoveState mState = MoveState::Running;
  std::uint64_t mStage = 0;
  /** The calls per route that this node may run in this stage. */
  int mQuota = 0;
  /** The calls counted in this stage by route. */
  std::map<std::string, int> mUsed;
};

} // namespace papayaway
