#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
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
  /** @return whether this node reaches so few others that it can't tell which
   *    targets are left. */
  std::function<bool()> mIsIsolated;
};

/**
 * Rolls services out to new versions as ordered by the operator.
 *
 * Every node receives the evidence, that is, the run counts of all versions,
 * and may take the next step. The store's compare-and-set lets one of them
 * succeed, so there is no leader whose failure would stop a rollout. A rollback
 * takes effect on a node as soon as the node finds the fault in the evidence,
 * before the rollback is written to the store.
 *
 * When the store has come back from a copy, nodes that know later progress
 * write it again.
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

  /** Handles a read of all progress in the store.
   *  @param aServices the services of which the store has progress. */
  void OnStoredRollouts(const std::set<std::string>& aServices);

  /** Applies progress that another node has sent.
   *  @return the progress that the sender lacks, if this node knows more. */
  std::optional<ProgressMessage> OnProgressMessage(
    const ProgressMessage& aMessage);

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
    /** Since when the store has been known to lack mProgress, for example a
     *  rollback that is in effect on this node; nullopt if it has it. */
    std::optional<Millis> mUnstoredSince;
    Millis mLastRewriteAt;
    /** When a target of another version was last ready, or this node could not
     *  tell; nullopt before the first step is considered. */
    std::optional<Millis> mOldTargetSeenAt;
  };

  /** @return whether there is an order whose rollout has neither succeeded nor
   *    been rolled back. */
  [[nodiscard]] static bool IsOngoing(const Rollout& aRollout);
  /** Applies progress and broadcasts it if it is new.
   *  @param aStored whether the store holds it. */
  void OnProgress(const gateway::RolloutProgress& aProgress, bool aStored);
  /** Gives the order and the progress of one rollout the same version if they
   *  are of different eras. */
  static void Renumber(Rollout& aRollout);
  static void WriteLater(Rollout& aRollout);
  /** Handles that the store has the known progress. */
  void OnStored(Rollout& aRollout);
  /** Writes progress that the store lacks when it is this node's turn. */
  void Rewrite(Rollout& aRollout, Millis aNow);
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
