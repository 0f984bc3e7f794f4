#include <keys/OwnersRow.h>

#include <base/Hash.h>

namespace papayaway {

std::optional<NodeRun>
ChooseBackup(const NodeRun& aOwner, const std::vector<NodeRun>& aMembers)
{
  std::optional<NodeRun> best;
  std::uint64_t bestWeight = 0;
  for (const NodeRun& member : aMembers) {
    if (member.mNode == aOwner.mNode) {
      continue;
    }
    const std::uint64_t weight = Hash64(member.mNode, Hash64(aOwner.mNode));
    if (!best || weight > bestWeight) {
      best = member;
      bestWeight = weight;
    }
  }
  return best;
}

bool
NeedsDoubt(const SlotOwner& aBefore, const std::vector<NodeRun>& aAnswered)
{
  return !aBefore.mRun.mNode.empty() &&
         (aBefore.mBackup.mNode.empty() ||
          std::find(aAnswered.begin(), aAnswered.end(), aBefore.mBackup) ==
            aAnswered.end());
}

} // namespace papayaway
