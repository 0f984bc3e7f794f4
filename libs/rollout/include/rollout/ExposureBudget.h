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
 * Bounds the calls that a new version runs on non-idempotent routes.
 *
 * Each stage of a move has a budget per route, divided among the serving
 * nodes of the new version. A call over the budget is refused as "not run",
 * and the entry node sends it to the old version. So however and whenever a
 * version fails before its move is finished, it runs at most
 *
 *   kStageBudgets[0] + … + kStageBudgets[4] = 640 calls
 *
 * of one route in all, and after its fault shows at most what is left of the
 * budget of the stage, 320 calls at the most. Both hold without any detection
 * of the fault. The bounds need the nodes to agree on the set of serving
 * nodes; a node that joins or restarts during a stage adds its own part once
 * more.
 */
class ExposureBudget
{
public:
  static constexpr std::array<int, kMoveShares.size()> kStageBudgets{ 30,
                                                                      50,
                                                                      80,
                                                                      160,
                                                                      320 };

  /** Follows the move. A stage seen for the first time starts a new budget.
   *  @param aFact the merged fact; stage 0 if there is none yet.
   *  @param aSelf the id of this node.
   *  @param aNodes the nodes that serve the new version. */
  void Update(const MoveFact& aFact,
              const std::string& aSelf,
              const std::vector<std::string>& aNodes);

  /** Takes one call of a non-idempotent route out of the budget.
   *  @return false if the call has to be refused as "not run". */
  bool Admit(const std::string& aRoute);

  /** Returns an admitted call that was not run after all. */
  void Release(const std::string& aRoute);

  /** @return calls of aRoute that are left to this node in this stage;
   *    -1 if there is no limit. */
  [[nodiscard]] int Left(const std::string& aRoute) const;

private:
  int mAttempt = 0;
  MoveState mState = MoveState::Running;
  std::uint64_t mStage = 0;
  int mQuota = 0;
  std::map<std::string, int> mUsed;
};

} // namespace papayaway
