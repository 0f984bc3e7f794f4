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

struct RolloutAgentParts
{
  TargetDirectory& mTargets;
  EventLog& mLog;
  std::function<Millis()> mStoreClock;
  /** The place of this node among those that may decide, 0 first. */
  std::function<std::size_t(const std::string& aService)> mRank;
  /** Writes a step; a lost race is seen from the progress that comes back. */
  std::function<void(const gateway::RolloutProgress&)> mWrite;
  std::function<void(const PeerMessage&)> mBroadcast;
  /** Tells the counts of this node to those that decide. */
  std::function<void(const EvidenceMessage&)> mTellEvidence;
};

/**
 * Moves services to new versions on the operator's order.
 *
 * Every node sees the evidence and may take the next step; the store's
 * compare-and-set lets one of them win, so no node leads and none is missed
 * when it dies. A rollback is in force at a node as soon as it sees the
 * evidence, before it is written.
 */
class RolloutAgent
{
public:
  explicit RolloutAgent(RolloutAgentParts aParts)
    : mParts(std::move(aParts))
  {
  }

  void OnOrder(const gateway::RolloutOrder& aOrder);

  /** Takes in progress that stands in the store. */
  void OnWritten(const gateway::RolloutProgress& aProgress);

  /** Takes in progress that another node told, written or not. */
  void OnProgress(const gateway::RolloutProgress& aProgress);

  void OnEvidence(const EvidenceMessage& aMessage);

  /** Counts a run at the local target. */
  void OnRun(const std::string& aNode,
             std::uint64_t aLifetime,
             const RunReport& aRun);

  /** Takes steps and tells the evidence. Called every 200 ms or so. */
  void Tick(const std::string& aNode, std::uint64_t aLifetime, Millis aNow);

  /** @return the versions for one new request of the service. */
  VersionChoice Draw(const std::string& aService);

  /** @return whether a version takes requests at all. */
  [[nodiscard]] bool TakesRequests(const gateway::TargetInfo& aTarget) const;

private:
  struct Rollout
  {
    std::optional<gateway::RolloutOrder> mOrder;
    std::optional<gateway::RolloutProgress> mProgress;
    /** The share of the new version that is still to be handed out. */
    double mCredit = 0;
    /** Since when this node sees the next step. */
    Millis mWantedSince;
    Millis mWrittenAt;
    bool mWanted = false;
    /** A rollback that is in force here and may not stand in the store. */
    std::optional<gateway::RolloutProgress> mUnwritten;
  };

  [[nodiscard]] bool Undecided(const Rollout& aRollout) const;
  void WriteRollback(Rollout& aRollout, Millis aNow);
  void Step(const std::string& aService, Rollout& aRollout, Millis aNow);

  RolloutAgentParts mParts;
  gateway::RolloutPolicy mPolicy;
  gateway::EvidenceBook mBook;
  gateway::VersionEvidence mOwn;
  gateway::VersionEvidence mTold;
  std::map<std::string, Rollout> mRollouts;
};

} // namespace papayaway::sidecar
