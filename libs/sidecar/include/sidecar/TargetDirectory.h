#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <gateway/DesiredState.h>
#include <gateway/NodeDirectory.h>
#include <gateway/Placement.h>
#include <gateway/TargetChoice.h>
#include <sidecar/PeerMessages.h>

namespace papayaway::sidecar {

/** The conditions that a target must meet to run a request. */
struct TargetQuery
{
  const std::string& mService;
  VersionRule mRule = VersionRule::Any;
  const std::string& mVersion;
  /** Nodes to skip, because an earlier attempt of the request failed there or
   *  was refused. */
  const std::vector<std::string>& mExcluded;
  /** The regions and data centres in which the request may run. */
  gateway::Placement mPlacement{};
};

/** The targets of all known nodes with their last reported loads. */
class TargetDirectory
{
public:
  /** @param aDataCentre the data centre of this node.
   *  @param aRegion the region of this node.
   *  @param aIsUsable returns whether calls can be sent to a node now, given
   *    when its load was last received. */
  TargetDirectory(std::string aDataCentre,
                  std::string aRegion,
                  std::function<bool(const gateway::NodeRecord&,
                                     std::optional<Millis> aLoadReceivedAt,
                                     Millis aNow)> aIsUsable)
    : mDataCentre(std::move(aDataCentre))
    , mRegion(std::move(aRegion))
    , mIsUsable(std::move(aIsUsable))
  {
  }

  /** Sets how many requests a second a target of each service gets until its
   *  node has reported a load, where the service limits cold targets. */
  void SetServiceRules(
    const std::map<std::string, gateway::ServiceRule>& aRules);

  /** Adds or updates a node.
   *  @return whether the record was newer than the known one. */
  bool Merge(const gateway::NodeRecord& aRecord);

  void Remove(const std::string& aNode);

  /** Stores the load that a node has reported for its target. */
  void OnLoad(const std::string& aNode, const gateway::TargetLoad& aLoad);

  /** @return the loads of the usable targets in this node's data centre, by
   *    node. */
  [[nodiscard]] std::map<std::string, gateway::TargetLoad> DataCentreLoads()
    const;

  /** @return whether calls can be sent to the node now. */
  [[nodiscard]] bool IsUsable(const gateway::NodeRecord& aRecord,
                              Millis aNow) const;

  /** Counts a call sent to the node since its last load report. */
  void OnCallSent(const std::string& aNode);

  /** @return the targets that may run the request. The node names in the
   *    result are valid until the next Merge() or Remove(). */
  [[nodiscard]] std::vector<gateway::TargetCandidate> Candidates(
    const TargetQuery& aQuery) const;

  /** @param aOtherVersions whether to look for targets of any version except
   *    aVersion instead of targets of aVersion.
   *  @return whether the service has such a target that is ready. */
  [[nodiscard]] bool HasReadyTarget(std::string_view aService,
                                    std::string_view aVersion,
                                    bool aOtherVersions) const;

  /** @return whether, according to the last reported loads, no target of any
   *    other version of the service has running or waiting requests. */
  [[nodiscard]] bool OtherVersionsIdle(std::string_view aService,
                                       std::string_view aVersion) const;

  /** @return whether any node is known in a place that is allowed. */
  [[nodiscard]] bool HasAllowedPlace(
    const gateway::Placement& aPlacement) const;

  [[nodiscard]] const gateway::NodeDirectory& Nodes() const { return mNodes; }

private:
  struct LoadEntry
  {
    gateway::TargetLoad mLoad;
    /** Calls sent since the load was received. */
    int mSentSinceReport = 0;
    Millis mReceivedAt;
  };

  std::string mDataCentre;
  std::string mRegion;
  std::function<bool(const gateway::NodeRecord&, std::optional<Millis>, Millis)>
    mIsUsable;
  gateway::NodeDirectory mNodes;
  std::unordered_map<std::string, LoadEntry> mLoads;
  /** The rates that cold targets tolerate, by service. */
  std::map<std::string, double> mColdRates;
};

} // namespace papayaway::sidecar
