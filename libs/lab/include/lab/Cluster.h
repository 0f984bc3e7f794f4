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

/** Where a node stands and what its target serves. */
struct NodePlan
{
  std::string mName;
  std::string mDataCentre;
  std::string mRegion;
  std::string mService;
  std::string mVersion = "v1";
  int mSlots = 12;
  int mConnections = 120;
  /** Further arguments of the target. */
  std::vector<std::string> mTargetArguments;
};

struct ClusterOptions
{
  /** The folder of the programs. */
  std::string mPrograms;
  /** A folder for settings files and logs; a new one in /tmp if empty. */
  std::string mWorkFolder;
  std::string mOperatorToken = "operator-token-of-the-lab";
  std::string mPeerKey = "peer-key-shared-by-the-lab";
};

/** Stand-ins and nodes as processes on loopback addresses. */
class Cluster
{
public:
  explicit Cluster(ClusterOptions aOptions);
  ~Cluster();

  void StartPlatform();
  void StartNode(const NodePlan& aPlan);
  /** Starts the target of a node whose process runs. */
  void StartTarget(const NodePlan& aPlan);
  /** Starts the nodes and then their targets. */
  void StartAll(const std::vector<NodePlan>& aPlans);

  [[nodiscard]] ChildProcess& Platform() { return *mPlatform; }
  [[nodiscard]] ChildProcess& NodeProcess(const std::string& aName);
  [[nodiscard]] ChildProcess& TargetProcess(const std::string& aName);
  [[nodiscard]] const std::vector<std::string>& NodeNames() const
  {
    return mNames;
  }
  [[nodiscard]] const NodePlan& Plan(const std::string& aName) const;

  /** Sends a call and runs the loop until its result is there. */
  HttpResult Send(HttpCall aCall);

  /** Sends an operator's call to the admin address of a node.
   *  @return the status and the parsed body. */
  std::pair<int, nlohmann::json> Admin(const std::string& aNode,
                                       const std::string& aMethod,
                                       const std::string& aPath,
                                       const nlohmann::json& aBody = {});

  /** Sends a caller's call through a node. */
  HttpResult CallThrough(const std::string& aNode,
                         const HttpRequest& aRequest,
                         Millis aTimeout = Seconds(5));

  /** Sets the faults of the platform's stand-in. */
  void SetPlatformFaults(const nlohmann::json& aFaults);

  /** Promotes a document through a node.
   *  @return the version, or nothing if it was refused. */
  std::optional<std::uint64_t> Promote(const std::string& aNode,
                                       const nlohmann::json& aDocument,
                                       std::uint64_t aParent);

  /** @return the document version in force at each node that answers. */
  std::map<std::string, std::uint64_t> DocumentVersions();

  /** @return the value of a metric of a node, summed over its labels. */
  double Metric(const std::string& aNode, const std::string& aName);

  /** Runs the loop until aCondition holds.
   *  @return the time it took, or nothing after aTimeout. */
  std::optional<Millis> WaitUntil(const std::function<bool()>& aCondition,
                                  Millis aTimeout = Seconds(20));

  /** Runs the loop for a time. */
  void RunFor(Millis aTime);

  [[nodiscard]] EventLoop& Loop() { return mLoop; }
  [[nodiscard]] HttpClient& Client() { return mClient; }
  [[nodiscard]] const ClusterOptions& Options() const { return mOptions; }

private:
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
