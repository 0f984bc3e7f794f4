#pragma once

#include <set>
#include <string>

#include <mesh/RelayElection.h>
#include <platform/PlatformClient.h>

#include "FactReplicator.h"
#include "MemberAgent.h"
#include "NodeContext.h"
#include "PeerLinks.h"

namespace papayaway {

/**
 * Performs the tasks of a data centre's relay while RelayElection selects this
 * node: it links to the relays of other data centres and removes nodes that
 * have left from the platform's node directory. PlatformAgent polls the
 * document more often while this node is the relay.
 */
class RelayAgent
{
public:
  RelayAgent(NodeContext& aContext,
             PeerLinks& aLinks,
             FactReplicator& aReplicator,
             MemberAgent& aMembers,
             PlatformClient& aClient);

  void Start();
  void Stop();

  [[nodiscard]] bool IsRelay() const
  {
    return mElection.Role() != RelayRole::None;
  }

  /** @return whether this node is one of the first in rank after the relay.
   *  Such nodes poll the document too, but less often. */
  [[nodiscard]] bool IsStandby() const;

private:
  void Tick();
  void Perform(const RelayActions& aActions);
  void SendLeaseRequest(const RequestLease& aRequest);
  void AssumeRelayRole(std::uint64_t aToken);
  void ConnectToOtherRelays();
  void ConnectThroughDirectory();
  void ReconcileDirectory();
  void OnDirectory(const std::vector<TableRow>& aRows);
  [[nodiscard]] std::string LeaseName(const std::string& aDataCentre) const;
  [[nodiscard]] std::set<std::string> LinkedDataCentres() const;

  NodeContext& mContext;
  PeerLinks& mLinks;
  FactReplicator& mReplicator;
  MemberAgent& mMembers;
  PlatformClient& mPlatform;
  RelayElection mElection;
  /** Before this time a node without mesh links does not take part in the
   *  election. */
  Millis mJoinDeadline;
  Timer mTickTimer;
  Timer mSearchTimer;
  Timer mDirectoryTimer;
};

} // namespace papayaway
