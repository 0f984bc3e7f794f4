#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

#include <rollout/EvidenceWindow.h>
#include <rollout/ExposureBudget.h>
#include <rollout/MoveController.h>
#include <rollout/TakeBackDecision.h>

#include "ConductorLease.h"
#include "FactReplicator.h"
#include "NodeContext.h"
#include "PeerLinks.h"

namespace papayaway {

/**
 * Executes this node's part in version moves: collects evidence from the target
 * of this host, takes a move back when the new version fails, and controls all
 * moves while this node holds the conductor lease.
 */
class MoveAgent
{
public:
  /** @param aMayConduct returns whether this node may request the conductor
   *    lease. */
  MoveAgent(NodeContext& aContext,
            PeerLinks& aLinks,
            FactReplicator& aReplicator,
            PlatformClient& aClient,
            std::function<bool()> aMayConduct);

  void Start();
  void Stop();

  /** Adds to the evidence a call that the target of this host has run, or may
   *  have run. */
  void OnObserved(const Call& aCall, bool aFailed, Millis aLatency);
  void OnEvidence(const LinkInfo& aLink, const Evidence& aEvidence);
  void OnFact(const Fact& aFact);
  void OnDocumentChanged();

  /** Counts a call against the exposure budget of its route.
   *  @return false if the call must be refused as not run, because the new
   *    version has used up its budget for this stage. */
  bool AdmitExposure(const Call& aCall);
  void ReleaseExposure(const Call& aCall);

  /** @return {"moves": […]} with the progress of each move and the data centres
   *    that can't be observed. */
  [[nodiscard]] nlohmann::json Report() const;

private:
  using EvidenceKey = std::tuple<std::string, std::string, std::string>;

  void Tick();
  void SendEvidence();
  void Conduct(const Service& aService);
  void DecideTakeBack(const Service& aService);
  void Write(const MoveFact& aFact);
  void RestoreMoves();
  void UpdateExposure();
  [[nodiscard]] MoveInput InputOf(const Service& aService) const;
  [[nodiscard]] std::optional<MoveFact> FactOf(const Service& aService) const;
  [[nodiscard]] bool IsOver(const Service& aService) const;
  [[nodiscard]] bool HasOpenMove() const;
  [[nodiscard]] std::vector<std::string> ServingNodes(
    const std::string& aService,
    const std::string& aVersion) const;
  /** @return the data centres of the document whose relay is unknown or not
   *    alive. */
  [[nodiscard]] std::vector<std::string> UnreachableDataCentres() const;

  NodeContext& mContext;
  PeerLinks& mLinks;
  FactReplicator& mReplicator;
  PlatformClient& mClient;
  std::function<bool()> mMayConduct;
  std::optional<ConductorLease> mLease;
  EvidenceWindow mWindow;
  MoveController mController;
  TakeBackDecision mTakeBackDecision;
  std::map<EvidenceKey, Evidence> mUnsentEvidence;
  /** By service; only for services with a move. */
  std::map<std::string, ExposureBudget> mExposure;
  std::set<std::string> mPendingWrites;
  Timer mTimer;
};

} // namespace papayaway
