// Which links are open: the wanted ones, addresses to probe, silent links.

#include "PeerLinks.h"

#include <algorithm>

#include "PeerLink.h"

namespace papayaway {

namespace {

/** A link that is not wanted any more stays in the mesh this long, so that
 *  messages on it arrive and its replacement is there first. */
constexpr Millis kUnwantedLinkTime = Seconds(5);
/** A link for calls whose peer is silent for so long is asked for a sign of
 *  life, and closed after the longer time. */
constexpr Millis kPingAfter{ 500 };
constexpr Millis kSilentAfter = Seconds(2);

} // namespace

void
PeerLinks::SetWanted(std::map<std::string, std::string> aWanted)
{
  const Millis now = SteadyNow();
  std::erase_if(mWanted, [&](const auto& aEntry) {
    const auto found = aWanted.find(aEntry.first);
    return found == aWanted.end() || found->second != aEntry.second.mAddress;
  });
  for (const auto& [node, address] : aWanted) {
    mWanted.try_emplace(node, WantedPeer{ address, {}, now });
  }
  MaintainWanted();
}

void
PeerLinks::MaintainWanted()
{
  const Millis now = SteadyNow();
  for (auto& [node, wanted] : mWanted) {
    if (now >= wanted.mRetryAt && !HasMeshLink(node)) {
      wanted.mRetryAt = now + wanted.mBackoff.Next(mContext.mRandom);
      Open(node, wanted.mAddress, false);
    }
  }
  std::vector<LinkId> unwanted;
  for (const auto& [id, link] : mLinks) {
    const LinkInfo& info = link->mInfo;
    if (!info.mOutgoing || info.mCallsOnly || !link->mReady ||
        mWanted.contains(info.mNode)) {
      link->mUnwantedSince = now;
    } else if (now - link->mUnwantedSince > kUnwantedLinkTime) {
      unwanted.push_back(id);
    }
  }
  for (const LinkId id : unwanted) {
    Link& link = *mLinks.at(id);
    link.mSocket->Send(Encode(OwnHello(true)));
    LeaveMesh(link);
  }
  FindSilentLinks();
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
PeerLinks::FindSilentLinks()
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
PeerLinks::Probe(const std::string& aAddress)
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
