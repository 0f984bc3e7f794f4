#pragma once

#include <set>
#include <string>

#include <mesh/RelayElection.h>
#include <platform/PlatformClient.h>

#include "FactSpreader.h"
#include "MemberAgent.h"
#include "NodeContext.h"
#include "PeerLinks.h"

namespace papayaway {

/**
 * The duty of a data centre's relay: it watches the document at the platform,
 * keeps links to the relays of other data centres and tidies the directory of
 * nodes. RelayElection decides whether this node has the duty.
 */
class RelayAgent
{
public:
  RelayAgent(NodeContext& aContext,
             PeerLinks& aLinks,
             FactSpreader& aSpreader,
             MemberAgent& aMembers,
             PlatformClient& aClient);

  void Start();
  void Stop();

  [[nodiscard]] bool IsRelay() const
  {
    return mElection.Role() != RelayRole::None;
  }

  /** @return whether this node is one of the first in rank beside the relay
   *    and watches the document too, but less often. */
  [[nodiscard]] bool IsStandby() const;

private:
  void Tick();
  void Perform(const RelayActions& aActions);
  void Request(const RequestLease& aRequest);
  void Act(std::uint64_t aToken);
  void FindOtherRelays();
  void SearchDirectory();
  void TidyDirectory();
  void OnDirectory(const std::vector<TableRow>& aRows);
  [[nodiscard]] std::string LeaseName(const std::string& aDataCentre) const;
  [[nodiscard]] std::set<std::string> LinkedDataCentres() const;

  NodeContext& mContext;
  PeerLinks& mLinks;
  FactSpreader& mSpreader;
  MemberAgent& mMembers;
  PlatformClient& mClient;
  RelayElection mElection;
  /** Until then a node without links does not compete. */
  Millis mJoinUntil;
  Timer mTickTimer;
  Timer mSearchTimer;
  Timer mDirectoryTimer;
};

} // namespace papayaway
