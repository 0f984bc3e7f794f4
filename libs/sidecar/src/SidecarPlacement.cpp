// Sidecar: where requests may run, and the exchange of evacuations with other
// nodes.

#include "SidecarImpl.h"

namespace papayaway::sidecar {

namespace {

/** Why a call is refused during the evacuation of its target's data centre. */
constexpr const char* kEvacuated = "data_centre_evacuated";

} // namespace

void
Sidecar::Impl::OnOperatorRowsRead(const RowList& aList, bool aWholeTable)
{
  if (!mEvacuations.OnOperatorRows(aList, aWholeTable)) {
    return;
  }
  const EvacuationsMessage message = mEvacuations.Message();
  SendInDataCentre(message);
  // Also to the other regions: their own readers may be cut off from the store.
  for (const bool otherRegions : { false, true }) {
    for (const std::string& dataCentre :
         mTopology.OtherDataCentres(otherRegions)) {
      SendToLinkNodes(dataCentre, message);
    }
  }
}

void
Sidecar::Impl::OnEvacuations(const std::string& aFrom,
                             const EvacuationsMessage& aMessage)
{
  if (mEvacuations.OnPeerEvacuations(aFrom, aMessage) &&
      !InOwnDataCentre(aFrom)) {
    SendInDataCentre(mEvacuations.Message());
  }
}

void
Sidecar::Impl::RepairEvacuations(LinkId aLink, const LoadMessage& aMessage)
{
  // The sender does the same when it receives the load of this node; whichever
  // set is older is replaced, and the other message has no effect.
  if (aMessage.mEvacuationDigest != mEvacuations.Set().Digest() &&
      mEvacuations.Set().Current().mVersion > 0) {
    mMesh.Reply(aLink, mEvacuations.Message());
  }
}

void
Sidecar::Impl::InformOfEvacuation(LinkId aLink, const ReplyMessage& aReply)
{
  if (aReply.mReason == kEvacuated) {
    mMesh.Reply(aLink, mEvacuations.Message());
  }
}

const char*
Sidecar::Impl::PlacementRefusal(const CallMessage& aCall) const
{
  if (mEvacuations.IsOwnDataCentreEvacuated()) {
    return kEvacuated;
  }
  if (mRoutingTable && !mRoutingTable->Placements()
                          .For(aCall.mRoute, aCall.mTenant)
                          .Allows(mSettings.mRegion)) {
    return "region_not_allowed";
  }
  return nullptr;
}

} // namespace papayaway::sidecar
