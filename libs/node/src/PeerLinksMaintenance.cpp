// The part of PeerLinks that opens mesh links and closes silent links.

#include "PeerLinks.h"

#include <algorithm>

#include "PeerLink.h"

namespace papayaway {

namespace {

/** How long a link that is no longer wanted stays in the mesh, so that its
 *  replacement is established first and messages on it arrive. */
constexpr Millis kUnwantedLinkGrace = Seconds(5);
/** If nothing is received on a call-only link for kPingAfter after a call was
 *  sent on it, the peer is pinged; after kSilentAfter the link is closed. */
constexpr Millis kPingAfter{ 500 };
constexpr Millis kSilentAfter = Seconds(2);

} // namespace

void
PeerLinks::SetMeshPeers(std::map<std::string, std::string> aMeshPeers)
{
  const Millis now = SteadyNow();
  std::erase_if(mMeshPeers, [&](const auto& aEntry) {
    const auto found = aMeshPeers.find(aEntry.first);
    return found == aMeshPeers.end() || found->second != aEntry.second.mAddress;
  });
  for (const auto& [node, address] : aMeshPeers) {
    mMeshPeers.try_emplace(node, MeshPeer{ address, {}, now });
  }
  MaintainMeshLinks();
}

void
PeerLinks::MaintainMeshLinks()
{
  const Millis now = SteadyNow();
  for (auto& [node, wanted] : mMeshPeers) {
    if (now >= wanted.mRetryAt && !HasMeshLink(node)) {
      wanted.mRetryAt = now + wanted.mBackoff.Next(mContext.mRandom);
      Open(node, wanted.mAddress, false);
    }
  }
  std::vector<LinkId> unwanted;
  for (const auto& [id, link] : mLinks) {
    const LinkInfo& info = link->mInfo;
    if (!info.mOutgoing || info.mCallsOnly || !link->mReady ||
        mMeshPeers.contains(info.mNode)) {
      link->mUnwantedSince = now;
    } else if (now - link->mUnwantedSince > kUnwantedLinkGrace) {
      unwanted.push_back(id);
    }
  }
  for (const LinkId id : unwanted) {
    Link& link = *mLinks.at(id);
    link.mSocket->Send(Encode(OwnHello(true)));
    LeaveMesh(link);
  }
  CloseSilentLinks();
}

void
PeerLinks::LeaveMesh(Link& aLink)
{
  if (aLink.mInfo.mCallsOnly) {
    return;
  }
  const LinkInfo before = aLink.mInfo;
  aLink.mInfo.mCallsOnly = true;
  mHandlers.mLeftMesh(before);
}

void
PeerLinks::CloseSilentLinks()
{
  const Millis now = SteadyNow();
  std::vector<LinkId> silent;
  for (const auto& [id, link] : mLinks) {
    if (!link->mReady || !link->mInfo.mCallsOnly) {
      continue;
    }
    const Millis waited = now - link->mUnansweredSince;
    if (waited > kSilentAfter) {
      silent.push_back(id);
    } else if (waited > kPingAfter && now - link->mLastPing > kPingAfter) {
      link->mLastPing = now;
      link->mSocket->Send(Encode(Heartbeat{ kPing }));
    }
  }
  for (const LinkId id : silent) {
    mContext.Record(
      { .mPart = "peer",
        .mKind = EventKind::LinkLost,
        .mText = "link to " + mLinks.at(id)->mInfo.mNode + " is silent" });
    Close(id, "the peer is silent");
  }
}

void
PeerLinks::ConnectToAddress(const std::string& aAddress)
{
  if (aAddress == mAddress) {
    return;
  }
  const bool known =
    std::any_of(mLinks.begin(), mLinks.end(), [&](const auto& aEntry) {
      return aEntry.second->mAddress == aAddress;
    });
  if (!known) {
    Open("", aAddress, false);
  }
}

} // namespace papayaway
