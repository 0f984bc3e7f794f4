#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <mesh/Membership.h>

#include "FactSpreader.h"
#include "NodeContext.h"
#include "PeerLinks.h"

namespace papayaway {

/** Announces this node, watches its neighbours and chooses the links. */
class MemberAgent
{
public:
  MemberAgent(NodeContext& aContext,
              PeerLinks& aLinks,
              FactSpreader& aSpreader);

  void Start(const std::string& aAdminAddress);

  /** Sets addresses that are tried while this node has no link. */
  void SetCandidates(const std::vector<std::string>& aAddresses);

  /** Sets whether this node links to relays of other data centres. */
  void SetRelay(bool aIsRelay);

  void OnLinkOpened(const LinkInfo& aLink);
  void OnLinkLost(const LinkInfo& aLink);
  /** Any message on a mesh link shows that the peer lives. */
  void OnHeard(const LinkInfo& aLink);
  void OnFact(const Fact& aFact);

  /** Announces that this node leaves on purpose. */
  void Leave();

private:
  void Perform(const MembershipActions& aActions);
  void Tick();
  void ScheduleUpdate();
  void UpdateLinks();
  void TryCandidates();
  void RecordChange(const MemberFact& aMember);

  NodeContext& mContext;
  PeerLinks& mLinks;
  FactSpreader& mSpreader;
  std::optional<Membership> mMembership;
  std::vector<std::string> mCandidates;
  std::map<std::string, MemberState> mKnownStates;
  bool mIsRelay = false;
  bool mLeaving = false;
  bool mUpdateScheduled = false;
  Timer mTickTimer;
  Timer mCandidateTimer;
};

} // namespace papayaway
