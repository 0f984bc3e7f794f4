#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <mesh/Membership.h>

#include "FactReplicator.h"
#include "NodeContext.h"
#include "PeerLinks.h"

namespace papayaway {

/** Announces this node to the mesh, detects failed neighbours and selects the
 *  mesh links. */
class MemberAgent
{
public:
  MemberAgent(NodeContext& aContext,
              PeerLinks& aLinks,
              FactReplicator& aReplicator);

  void Start(const std::string& aAdminAddress);

  /** Sets the addresses, besides the configured seeds, to which this node tries
   *  to connect while it has no mesh link. */
  void SetCandidates(const std::vector<std::string>& aAddresses);

  /** Sets whether this node links to relays of other data centres. */
  void SetRelay(bool aIsRelay);

  void OnLinkOpened(const LinkInfo& aLink);
  void OnLinkLost(const LinkInfo& aLink);
  /** Counts any message on a mesh link as a sign that the peer is alive. */
  void OnMessageReceived(const LinkInfo& aLink);
  void OnFact(const Fact& aFact);

  /** Announces that this node is leaving the mesh in an orderly way. */
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
  FactReplicator& mReplicator;
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
