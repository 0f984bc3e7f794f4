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
#include <rollout/TakeBack.h>

#include "ConductorLease.h"
#include "FactSpreader.h"
#include "NodeContext.h"
#include "PeerLinks.h"

namespace papayaway {

/**
 * Takes part in version moves: gathers evidence from the target of this host,
 * takes a bad version back, and conducts all moves while it holds the lease.
 */
class MoveAgent
{
public:
  MoveAgent(NodeContext& aContext,
            PeerLinks& aLinks,
            FactSpreader& aSpreader,
            PlatformClient& aClient,
            std::function<bool()> aMayConduct);

  void Start();
  void Stop();

  /** A call has ended at the target of this host. */
  void OnObserved(const Call& aCall, bool aFailed, Millis aLatency);
  void OnEvidence(const LinkInfo& aLink, const Evidence& aEvidence);
  void OnFact(const Fact& aFact);
  void OnDocumentChanged();

  /** @return false if the call has to be refused as not run, because its
   *    version ran enough calls of the route in this stage. */
  bool AdmitExposure(const Call& aCall);
  void ReleaseExposure(const Call& aCall);

  /** @return {"moves": […]} with what is known and what is not. */
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
  [[nodiscard]] std::vector<std::string> UnreachableDataCentres() const;

  NodeContext& mContext;
  PeerLinks& mLinks;
  FactSpreader& mSpreader;
  PlatformClient& mClient;
  std::function<bool()> mMayConduct;
  std::optional<ConductorLease> mLease;
  EvidenceWindow mWindow;
  MoveController mController;
  TakeBack mTakeBack;
  std::map<EvidenceKey, Evidence> mUnsent;
  /** By service; only for services with a move. */
  std::map<std::string, ExposureBudget> mExposure;
  std::set<std::string> mWriting;
  Timer mTimer;
};

} // namespace papayaway
