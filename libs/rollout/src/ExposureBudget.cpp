#include <rollout/ExposureBudget.h>

#include <algorithm>
#include <tuple>

#include <base/Hash.h>

namespace papayaway {
namespace {

/** The limit of routes with a count of calls; calls of further routes are
 *  refused. */
constexpr std::size_t kMaxRoutes = 1024;

/** @return the part of the budget aTotal that this node gets. The remainder of
 *    the division goes to the first nodes in the order of their hashes; an
 *    order by name would give a small budget to a few data centres only. */
int
NodeQuota(int aTotal,
          const std::string& aSelf,
          const std::vector<std::string>& aNodes)
{
  const auto order = [](const std::string& aNode) {
    return std::pair(Hash64(aNode), aNode);
  };
  const auto rank =
    std::count_if(aNodes.begin(), aNodes.end(), [&](const std::string& aNode) {
      return order(aNode) < order(aSelf);
    });
  const auto nodes =
    std::max<std::ptrdiff_t>(1, static_cast<std::ptrdiff_t>(aNodes.size()));
  return static_cast<int>(aTotal / nodes + (rank < aTotal % nodes ? 1 : 0));
}

} // namespace

void
ExposureBudget::Update(const MoveFact& aFact,
                       const std::string& aSelf,
                       const std::vector<std::string>& aNodes)
{
  const auto old = std::tie(mAttempt, mStage);
  const auto now = std::tie(aFact.mAttempt, aFact.mStage);
  if (now < old) {
    return;
  }
  const int quota =
    aFact.mStage == 0
      ? 0
      : NodeQuota(
          kStageBudgets[std::min(aFact.mStage, kLastStage) - 1], aSelf, aNodes);
  if (now > old) {
    mQuota = quota;
    mUsed.clear();
  } else {
    // The quota does not grow within a stage: a node that has left may already
    // have used its own quota.
    mQuota = std::min(mQuota, quota);
  }
  mAttempt = aFact.mAttempt;
  mStage = aFact.mStage;
  mState = aFact.mState;
}

bool
ExposureBudget::Admit(const std::string& aRoute)
{
  if (mState != MoveState::Running) {
    return mState == MoveState::Finished;
  }
  const auto it = mUsed.find(aRoute);
  const int used = it == mUsed.end() ? 0 : it->second;
  if (used >= mQuota || (it == mUsed.end() && mUsed.size() >= kMaxRoutes)) {
    return false;
  }
  mUsed[aRoute] = used + 1;
  return true;
}

void
ExposureBudget::Release(const std::string& aRoute)
{
  if (const auto it = mUsed.find(aRoute); it != mUsed.end() && it->second > 0) {
    --it->second;
  }
}

int
ExposureBudget::Remaining(const std::string& aRoute) const
{
  if (mState != MoveState::Running) {
    return mState == MoveState::Finished ? -1 : 0;
  }
  const auto it = mUsed.find(aRoute);
  return mQuota - (it == mUsed.end() ? 0 : it->second);
}

} // namespace papayaway
