#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <lab/ChildProcess.h>
#include <net/EventLoop.h>
#include <net/HttpClient.h>

namespace papayaway {

/** The configuration of a node and its target. */
struct NodePlan
{
  std::string mName;
  std::string mDataCentre;
  std::string mRegion;
  std::string mService;
  std::string mVersion = "v1";
  int mSlots = 12;
  int mConnections = 120;
  /** Additional command line arguments of the target. */
  std::vector<std::string> mTargetArguments;
};

struct ClusterOptions
{
  /** The folder that contains the programs. */
  std::string mPrograms;
  /** The folder for settings files and logs. If empty, a new folder in /tmp is
   *  used, and removed at the end unless PAPAYAWAY_KEEP_LOGS is set. */
  std::string mWorkFolder;
  std::string mOperatorToken = "operator-token-of-the-lab";
  std::string mPeerKey = "peer-key-shared-by-the-lab";
};

/** A cluster for tests: the platform stand-in, nodes and targets, which run as
 *  processes on loopback addresses. */
class Cluster
{
public:
  explicit Cluster(ClusterOptions aOptions);
  ~Cluster();

  void StartPlatform();
  void StartNode(const NodePlan& aPlan);
  /** Starts the target of a node, whose process must be running. */
  void StartTarget(const NodePlan& aPlan);
  /** Starts all nodes and then the targets of those that have a service. */
  void StartAll(const std::vector<NodePlan>& aPlans);

  [[nodiscard]] ChildProcess& Platform() { return *mPlatform; }
  [[nodiscard]] ChildProcess& NodeProcess(const std::string& aName);
  [[nodiscard]] ChildProcess& TargetProcess(const std::string& aName);
  [[nodiscard]] const std::vector<std::string>& NodeNames() const
  {
    return mNames;
  }
  [[nodiscard]] const NodePlan& Plan(const std::string& aName) const;

  /** Sends a call and runs the loop until the result has arrived. */
  HttpResult Send(HttpCall aCall);

  /** Sends a call with the operator's token to the admin address of a node.
   *  @return the status and the parsed body. */
  std::pair<int, nlohmann::json> Admin(const std::string& aNode,
                                       const std::string& aMethod,
                                       const std::string& aPath,
                                       const nlohmann::json& aBody = {});

  /** Sends a request to the caller address of a node, as callers do. */
  HttpResult CallThrough(const std::string& aNode,
                         const HttpRequest& aRequest,
                         Millis aTimeout = Seconds(5));

  /** Sets the faults that the platform stand-in injects. */
  void SetPlatformFaults(const nlohmann::json& aFaults);

  /** Promotes a document to the environment "production" through a node.
   *  @param aParent the document version that aDocument is based on.
   *  @return the new version, or nothing if the node refused the document. */
  std::optional<std::uint64_t> Promote(const std::string& aNode,
                                       const nlohmann::json& aDocument,
                                       std::uint64_t aParent);

  /** @return the document version in force at each node that answers, by name
   *    of the node. */
  std::map<std::string, std::uint64_t> DocumentVersions();

  /** @return the value of a metric of a node, summed over its labels. */
  double Metric(const std::string& aNode, const std::string& aName);

  /** Runs the loop until aCondition holds.
   *  @return the time that passed, or nothing if it exceeded aTimeout. */
  std::optional<Millis> WaitUntil(const std::function<bool()>& aCondition,
                                  Millis aTimeout = Seconds(20));

  /** Runs the loop for aTime. */
  void RunFor(Millis aTime);

  [[nodiscard]] EventLoop& Loop() { return mLoop; }
  [[nodiscard]] HttpClient& Client() { return mClient; }
  [[nodiscard]] const ClusterOptions& Options() const { return mOptions; }

private:
  /** @return the path of the new settings file. */
  std::string WriteSettings(const NodePlan& aPlan);

  ClusterOptions mOptions;
  EventLoop mLoop;
  HttpClient mClient;
  std::optional<ChildProcess> mPlatform;
  std::map<std::string, ChildProcess> mNodes;
  std::map<std::string, ChildProcess> mTargets;
  std::map<std::string, NodePlan> mPlans;
  std::vector<std::string> mNames;
  bool mOwnsFolder = false;
};

} // namespace papayaway
