// Sidecar: nodes that have left or were lost for good.

#include "SidecarImpl.h"

namespace papayaway::sidecar {

namespace {

/** A node that announced that it stops may lend its part of the usage caps for
 *  this long: longer than the longest grace period and a lease. */
constexpr Millis kLeavingNodeLends = Seconds(15);
/** The stored record of a node that is gone is removed after this time. Until
 *  then a late check-in of its target can be recognised by it. */
constexpr Millis kLostRecordRetention = Seconds(60);
constexpr Millis kRemovalPeriod = Seconds(10);

} // namespace

void
Sidecar::Impl::UpdateLeavingNodes(Millis aNow)
{
  const auto& nodes = mTargets.Nodes().All();
  std::erase_if(mLeavingSince, [&](const auto& aEntry) {
    const auto found = nodes.find(aEntry.first);
    return found == nodes.end() || !found->second.mLeaving;
  });
  std::size_t left = 0;
  for (const auto& [node, record] : nodes) {
    if (record.mLeaving) {
      const Millis since = mLeavingSince.try_emplace(node, aNow).first->second;
      left += aNow - since >= kLeavingNodeLends ? 1 : 0;
    }
  }
  mCapLenders = nodes.size() - left;
}

void
Sidecar::Impl::RemoveLostNodes(Millis aNow)
{
  if (aNow - mLastRemoval < kRemovalPeriod || !IsRelay() || IsIsolated()) {
    return;
  }
  mLastRemoval = aNow;
  std::vector<std::string> lost;
  for (const auto& [node, record] : mTargets.Nodes().All()) {
    if (record.mDataCentre != mSettings.mDataCentre ||
        node == mSettings.mName || mMesh.Reachable(node, aNow)) {
      continue;
    }
    const auto leaving = mLeavingSince.find(node);
    const std::optional<Millis> since =
      leaving != mLeavingSince.end()
        ? std::optional(leaving->second)
        : mTopology.OwnDataCentreLiveness().UnreachableSince(node);
    if (since && aNow - *since >= kLostRecordRetention) {
      lost.push_back(node);
    }
  }
  mSync.RemoveRecords(lost);
}

void
Sidecar::Impl::OnRecordRemoved(const std::string& aNode)
{
  if (mMesh.Reachable(aNode, SteadyNow())) {
    // It will find that its record is missing, and write it again.
    return;
  }
  mLog.WriteStateChange("mesh", "node_removed", { { "peer", aNode } });
  mTargets.Remove(aNode);
}

} // namespace papayaway::sidecar
