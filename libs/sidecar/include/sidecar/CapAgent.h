#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <gateway/CapNode.h>
#include <gateway/DesiredState.h>
#include <net/EventLoop.h>
#include <sidecar/EventLog.h>
#include <sidecar/PeerMessages.h>
#include <sidecar/SidecarMetrics.h>

namespace papayaway::sidecar {

struct CapAgentHandlers
{
  /** Sends a message of the usage caps to other nodes. */
  std::function<void(const gateway::CapSending&)> mSend;
  /** @return what this node knows about the others. */
  std::function<gateway::CapView()> mView;
};

/**
 * Enforces the usage caps of tenants together with the agents of the other
 * nodes: runs gateway::CapNode and exchanges its messages.
 *
 * All times are of BootNow(), so that tokens expire while the process is
 * frozen.
 */
class CapAgent
{
public:
  using Decided = std::function<void(const gateway::CapDecision&)>;

  CapAgent(EventLoop& aLoop,
           gateway::CapNodeOptions aOptions,
           CapAgentHandlers aHandlers,
           EventLog& aLog,
           SidecarMetrics& aMetrics);

  /** Sets the tenants of the desired state in force. */
  void SetTenants(const std::vector<gateway::Tenant>& aTenants);

  /** Decides whether a request may run.
   *  @param aTenant the name of the tenant; "" if there is none, which is
   *    always admitted.
   *  @param aMaxHold how long the request may be held.
   *  @param aDecided receives the decision, at once or when the request is no
   *    longer held. It is also called if the request has ended meanwhile. */
  void Admit(const std::string& aTenant, Millis aMaxHold, Decided aDecided);

  /** Returns the token of a request that did not run.
   *  @param aTokenExpiry the expiry from the decision. */
  void Credit(const std::string& aTenant, Millis aTokenExpiry);

  void OnReport(const std::string& aNode, const CapReportMessage& aMessage);

  /** @param aFromOwnDataCentre whether the sender is in the own data centre. */
  void OnGrant(const std::string& aNode,
               bool aFromOwnDataCentre,
               const CapGrantMessage& aMessage);

  /** Must be called at least every 50 ms. */
  void Tick();

private:
  /** Sends the messages and delivers the decisions that are due. */
  void Process();

  gateway::CapNode mNode;
  CapAgentHandlers mHandlers;
  EventLog& mLog;
  SidecarMetrics& mMetrics;
  Timer mHoldTimer;
  std::map<std::uint64_t, Decided> mHeld;
  std::uint64_t mNextId = 1;
  bool mWasCoordinator = false;
};

} // namespace papayaway::sidecar
