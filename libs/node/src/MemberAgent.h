#pragma once

#include <map>
#include <string>
#include <vector>

#include "FactSpreader.h"
#include "NodeContext.h"
#include "PeerLinks.h"

namespace papayaway {

/** Announces this node, follows the other members and chooses the links. */
class MemberAgent
{
public:
  MemberAgent(NodeContext& aContext,
              PeerLinks& aLinks,
              FactSpreader& aSpreader);

  void Start(const std::string& aAdminAddress);

  /** Sets addresses that are tried while this node has no link. */
  void SetCandidates(std::vector<std::string> aAddresses);

  /** Sets whether this node links to relays of other data centres. */
  void SetRelay(bool aIsRelay);

  void OnLinkOpened(const LinkInfo& aLink);
  void OnLinkLost(const LinkInfo& aLink);
  void OnHeartbeat(const LinkInfo& aLink, const Heartbeat& aHeartbeat);
  void OnFact(const Fact& aFact);

  /** Announces that this node leaves on purpose. */
  void Leave();

  /** @return the fact that this node last announced of itself. */
  [[nodiscard]] const MemberFact& Own() const { return mOwn; }

private:
  void UpdateLinks();
  void TryCandidates();
  void RefuteIfNeeded();

  NodeContext& mContext;
  PeerLinks& mLinks;
  FactSpreader& mSpreader;
  MemberFact mOwn;
  std::vector<std::string> mCandidates;
  bool mIsRelay = false;
  bool mLeaving = false;
  bool mUpdateScheduled = false;
  Timer mCandidateTimer;
};

} // namespace papayaway
