#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <gateway/NodeRecord.h>
#include <gateway/TargetChoice.h>
#include <sidecar/PeerMessages.h>

namespace papayaway::sidecar {

/** What a request asks of the targets. */
struct TargetQuestion
{
  const std::string& mService;
  VersionRule mRule = VersionRule::Any;
  const std::string& mVersion;
  /** Nodes that have refused the request. */
  const std::vector<std::string>& mExcluded;
};

/** All known targets with their loads, as one node sees them. */
class TargetDirectory
{
public:
  /** @param aUsable whether calls can be sent to a node now. */
  TargetDirectory(std::string aDataCentre,
                  std::string aRegion,
                  std::function<bool(const std::string&)> aUsable)
    : mDataCentre(std::move(aDataCentre))
    , mRegion(std::move(aRegion))
    , mUsable(std::move(aUsable))
  {
  }

  /** @return whether the record is news. */
  bool Merge(const gateway::NodeRecord& aRecord);
  void Remove(const std::string& aNode);

  void OnLoad(const std::string& aNode, const gateway::TargetLoad& aLoad);

  /** @return the loads of the targets of the own data centre. */
  [[nodiscard]] std::map<std::string, gateway::TargetLoad> OwnLoads() const;

  /** @return whether the node's load was told within aAge. */
  [[nodiscard]] bool LoadIsFresh(const std::string& aNode, Millis aAge) const;

  void OnSent(const std::string& aNode);

  /** @return the targets that the request may go to. The names stay valid
   *    until the next Merge() or Remove(). */
  [[nodiscard]] std::vector<gateway::TargetCandidate> Candidates(
    const TargetQuestion& aQuestion) const;

  /** @return whether the service has a ready target of this version, or of
   *    another one. */
  [[nodiscard]] bool HasReady(std::string_view aService,
                              std::string_view aVersion,
                              bool aOthers) const;

  /** @return whether no target of another version of the service has
   *    requests, as far as this node was told. */
  [[nodiscard]] bool OthersIdle(std::string_view aService,
                                std::string_view aVersion) const;

  [[nodiscard]] const gateway::NodeDirectory& Nodes() const { return mNodes; }

private:
  struct LoadNews
  {
    gateway::TargetLoad mLoad;
    int mSentSince = 0;
    Millis mToldAt;
  };

  std::string mDataCentre;
  std::string mRegion;
  std::function<bool(const std::string&)> mUsable;
  gateway::NodeDirectory mNodes;
  std::unordered_map<std::string, LoadNews> mLoads;
};

} // namespace papayaway::sidecar
