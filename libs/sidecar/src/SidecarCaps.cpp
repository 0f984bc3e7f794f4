// Sidecar: the messages of the usage caps.

#include <algorithm>
#include <variant>

#include "SidecarImpl.h"

namespace papayaway::sidecar {

namespace {

/** For how long a removed node counts. Other nodes may not know yet that it was
 *  removed. */
constexpr Millis kRemovedNodeCounts = Seconds(10);

} // namespace

void
Sidecar::Impl::SendCap(const gateway::CapSending& aSending)
{
  PeerMessage message;
  if (const auto* const report =
        std::get_if<gateway::CapReport>(&aSending.mMessage)) {
    message = CapReportMessage{ *report };
  } else {
    message =
      CapGrantMessage{ std::get<gateway::CapAnswer>(aSending.mMessage) };
  }
  switch (aSending.mAddressee) {
    case gateway::CapAddressee::Node:
      mMesh.Send(aSending.mNode, message);
      return;
    case gateway::CapAddressee::DataCentre:
      SendInDataCentre(message);
      return;
    case gateway::CapAddressee::Relays:
      SendToAllRelays(message);
      return;
  }
}

gateway::CapView
Sidecar::Impl::ViewForCaps()
{
  const Millis now = SteadyNow();
  const std::size_t nodes = mCapLenders;
  if (nodes >= mCapNodes || now - mCapNodesSeenAt >= kRemovedNodeCounts) {
    mCapNodes = nodes;
    mCapNodesSeenAt = now;
  }
  return { .mNodes = std::max<std::size_t>(mCapNodes, 1),
           .mRank = [this] { return CapRank(); } };
}

std::size_t
Sidecar::Impl::CapRank() const
{
  const Millis now = SteadyNow();
  std::size_t rank = 0;
  for (const auto& [name, dataCentre] : mTargets.Nodes().DataCentres()) {
    if (name > mSettings.mDataCentre) {
      break;
    }
    for (const auto& [node, record] : dataCentre.mNodes) {
      if (name == mSettings.mDataCentre && node >= mSettings.mName) {
        break;
      }
      rank += mMesh.Reachable(record->mNode, now) ? 1 : 0;
    }
  }
  return rank;
}

} // namespace papayaway::sidecar
