#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include <base/Millis.h>
#include <gateway/Rollout.h>
#include <sidecar/Dispatcher.h>
#include <sidecar/EventLog.h>
#include <sidecar/TargetDirectory.h>

namespace papayaway::sidecar {

struct RolloutAgentDependencies
{
  TargetDirectory& mTargets;
  EventLog& mLog;
  std::function<Millis()> mStoreClock;
  /** @return the rank of this node among the nodes that may write the next
   *    step of a service's rollout; rank 0 writes first. */
  std::function<std::size_t(const std::string& aService)> mRank;
  /** Writes a step to the store by compare-and-set. If another node has
   *  written first, its progress is read back and passed to OnStoredProgress().
   */
  std::function<void(const gateway::RolloutProgress&)> mWriteProgress;
  /** Sends a message to all linked nodes. */
  std::function<void(const PeerMessage&)> mBroadcast;
  /** Sends the run counts of this node to the nodes that evaluate them. */
  std::function<void(const EvidenceMessage&)> mSendEvidence;
};

/**
 * Rolls services out to new versions as ordered by the operator.
 *
 * Every node receives the evidence, that is, the run counts of all versions,
 * and may take the next step. The store's compare-and-set lets one of them
 * succeed, so there is no leader whose failure would stop a rollout. A rollback
 * takes effect on a node as soon as the node finds the fault in the evidence,
 * before the rollback is written to the store.
 */
class RolloutAgent
{
public:
  explicit RolloutAgent(RolloutAgentDependencies aDependencies)
    : mDependencies(std::move(aDependencies))
  {
  }

  /** Handles a rollout order of the operator. */
  void OnOrder(const gateway::RolloutOrder& aOrder);

  /** Applies progress that was read from or written to the store. */
  void OnStoredProgress(const gateway::RolloutProgress& aProgress);

  /** Applies progress that may not be in the store yet, such as progress that
   *  another node has sent, and broadcasts it if it is new. */
  void OnProgress(const gateway::RolloutProgress& aProgress);

  /** Merges the run counts of another node. */
  void OnEvidence(const EvidenceMessage& aMessage);

  /** Counts a run at the local target.
   *  @param aNode the name of this node.
   *  @param aIncarnation the incarnation of this process; a restart begins a
   *    new one, with new counts. */
  void OnRun(const std::string& aNode,
             std::uint64_t aIncarnation,
             const RunReport& aRun);

  /** Takes due rollout steps and sends changed run counts. To be called about
   *  every 200 ms. */
  void Tick(const std::string& aNode, std::uint64_t aIncarnation, Millis aNow);

  /** @return the versions that one new request of the service may be sent to.
   */
  VersionChoice ChooseVersion(const std::string& aService);

  /** @return whether the target's version may receive any requests. */
  [[nodiscard]] bool TakesRequests(const gateway::TargetInfo& aTarget) const;

  /** @return whether the version of the target was rolled back and is not
   *    ordered again, so that it gets no requests, whichever order follows. */
  [[nodiscard]] bool IsWithdrawn(const gateway::TargetInfo& aTarget) const;

private:
  struct Rollout
  {
    std::optional<gateway::RolloutOrder> mOrder;
    std::optional<gateway::RolloutProgress> mProgress;
    /** The accumulated share of requests due to the new version. At 1, the next
     *  request goes to the new version and 1 is subtracted. */
    double mCredit = 0;
    /** Since when this node has considered the next step or the write of a
     *  rollback due. */
    Millis mStepDueSince;
    Millis mLastWriteAt;
    bool mStepDue = false;
    /** A rollback in effect on this node that may not be in the store yet. */
    std::optional<gateway::RolloutProgress> mPendingRollback;
  };

  /** @return whether there is an order whose rollout has neither succeeded nor
   *    been rolled back. */
  [[nodiscard]] bool IsOngoing(const Rollout& aRollout) const;
  void WriteRollback(Rollout& aRollout, Millis aNow);
  /** Takes the next step of the rollout, if one is due. */
  void TryNextStep(const std::string& aService, Rollout& aRollout, Millis aNow);

  RolloutAgentDependencies mDependencies;
  gateway::RolloutPolicy mPolicy;
  gateway::EvidenceAggregator mEvidence;
  /** The run counts of this node. */
  gateway::VersionEvidence mOwnCounts;
  /** The run counts of this node as last sent to others. */
  gateway::VersionEvidence mSentCounts;
  std::map<std::string, Rollout> mRollouts;
};

} // namespace papayaway::sidecar
