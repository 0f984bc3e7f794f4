#include <keys/OwnersRow.h>

#include <base/Hash.h>

namespace papayaway {

std::optional<NodeProcess>
ChooseBackup(const NodeProcess& aOwner,
             const std::vector<NodeProcess>& aMembers)
{
  std::optional<NodeProcess> best;
  std::uint64_t bestWeight = 0;
  for (const NodeProcess& member : aMembers) {
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
NeedsInDoubtWindow(const SlotOwner& aBefore,
                   const std::vector<NodeProcess>& aAnswered)
{
  return !aBefore.mProcess.mNode.empty() &&
         (aBefore.mBackup.mNode.empty() ||
          std::find(aAnswered.begin(), aAnswered.end(), aBefore.mBackup) ==
            aAnswered.end());
}

} // namespace papayaway
