#include <gateway/NodeLiveness.h>

namespace papayaway::gateway {

void
NodeLiveness::BeginObservations(Millis aNow)
{
  const Millis gap = mLastObservation ? aNow - *mLastObservation : Millis{};
  mLastObservation = aNow;
  if (gap <= mOptions.mMaxObservationGap) {
    return;
  }
  for (auto& [name, node] : mNodes) {
    node.mFirstObserved += gap;
    if (node.mLastReachable) {
      *node.mLastReachable += gap;
    }
  }
}

bool
NodeLiveness::Observe(const std::string& aNode, bool aReachable, Millis aNow)
{
  Node& node =
    mNodes.try_emplace(aNode, Node{ .mFirstObserved = aNow }).first->second;
  const bool before = node.mAlive;
  if (aReachable) {
    node.mLastReachable = aNow;
    if (!node.mReachableSince) {
      node.mReachableSince = aNow;
    }
    node.mAlive =
      node.mAlive || aNow - *node.mReachableSince >= mOptions.mReturnAfter;
  } else {
    node.mReachableSince.reset();
    const Millis aliveUntil = node.mLastReachable
                                ? *node.mLastReachable + mOptions.mHold
                                : node.mFirstObserved + mOptions.mFirstContact;
    node.mAlive = node.mAlive && aNow < aliveUntil;
  }
  return node.mAlive != before;
}

bool
NodeLiveness::IsAlive(std::string_view aNode) const
{
  const auto found = mNodes.find(aNode);
  return found == mNodes.end() || found->second.mAlive;
}

bool
NodeLiveness::WasReached(std::string_view aNode) const
{
  const auto found = mNodes.find(aNode);
  return found != mNodes.end() && found->second.mLastReachable.has_value();
}

std::optional<Millis>
NodeLiveness::UnreachableSince(std::string_view aNode) const
{
  const auto found = mNodes.find(aNode);
  if (found == mNodes.end() || found->second.mReachableSince) {
    return std::nullopt;
  }
  return found->second.mLastReachable.value_or(found->second.mFirstObserved);
}

void
NodeLiveness::Forget(std::string_view aNode)
{
  const auto found = mNodes.find(aNode);
  if (found != mNodes.end()) {
    mNodes.erase(found);
  }
}

void
NodeLiveness::ForgetUnless(
  const std::function<bool(const std::string&)>& aIsKnown)
{
  std::erase_if(mNodes,
                [&](const auto& aEntry) { return !aIsKnown(aEntry.first); });
}

} // namespace papayaway::gateway
